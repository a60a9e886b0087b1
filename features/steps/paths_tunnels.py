"""Steps of connections that peers carry."""

from collections import Counter

import curio
from behave import given, then, when

from features.builders.tunnels import PIECE, PIECES, TunnelWorld
from mangogauge.http import HTTPError, TunnelRefusedError

PATIENCE_SECONDS = 10.0
HOLD_SECONDS = 0.5
# More than any scenario opens, unless it is about the bound.
MAX_TUNNELS = 64


async def read(response):
    """Return the body, or the error that broke it off."""
    try:
        return await response.read()
    except HTTPError as error:
        return error


def run(context, play):
    """Run a coroutine function of a `TunnelWorld` with a limit of time."""

    async def play_in_time():
        async with curio.timeout_after(PATIENCE_SECONDS):
            world = TunnelWorld(context.max_tunnels)
            for prepare in context.preparations:
                await prepare(world)
            return await world.run(play)

    context.result = curio.run(play_in_time)


@given('a peer that reaches the endpoint "e1"')
def prepare_peer(context):
    context.preparations = []
    context.max_tunnels = MAX_TUNNELS


@given(
    'a peer that reaches the endpoint "e1" and carries {count:d} connections at most'
)
def prepare_bounded_peer(context, count):
    prepare_peer(context)
    context.max_tunnels = count


@given('the endpoint "e1" has ended')
def end_endpoint(context):
    async def end(world):
        await world.endpoint.close()

    context.preparations.append(end)


@given('no endpoint is called "e9"')
def know_no_endpoint(context):
    pass


@given('the peer has lost its path to "e1"')
def lose_path(context):
    async def lose(world):
        world.peer_paths.note_tunnel("e1")

    context.preparations.append(lose)


@given('nobody reaches "e1"')
def lose_endpoint(context):
    async def lose(world):
        world.peer_paths.note_loss("e1")

    context.preparations.append(lose)


@given('the peer knows that "e1" is evacuated')
def evacuate(context):
    async def learn(world):
        world.evacuated.add("e1")

    context.preparations.append(learn)


@given("the peer is about to stop")
def stop_peer(context):
    async def stop(world):
        await world.relay.drain()

    context.preparations.append(stop)


@when('{count:d} requests are sent to "e1" through the peer, one after the other')
def send_requests(context, count):
    async def play(world):
        answers = []
        for _ in range(count):
            response = await world.request("framed")
            answers.append((response.headers.get("x-number"), await read(response)))
        await world.relay.drain()
        return answers, world.endpoint.connections

    run(context, play)


@then("each gets its own answer, byte for byte")
def check_answers(context):
    answers, _ = context.result
    assert answers == [(str(n + 1), PIECE) for n in range(len(answers))], answers


@then('"e1" took {count:d} connections, and the peer carries none any more')
def check_connections(context, count):
    assert context.result[1] == count, context.result


@when("a request is sent whose answer ends with the connection")
def send_unframed(context):
    async def play(world):
        return await read(await world.request("unframed"))

    run(context, play)


@when("an answer ends with the connection at a peer that keeps its own open")
def send_to_holding_peer(context):
    async def play(world):
        world.peers.addresses = [await world.start_holding_peer()]
        return await read(await world.request("unframed"))

    run(context, play)


@when(
    '{count:d} requests are sent to "e1" through the peer, '
    "each answer closing the connection"
)
def send_to_closing(context, count):
    async def play(world):
        answers = []
        for _ in range(count):
            response = await world.request("last")
            answers.append((response.headers.get("x-number"), await read(response)))
        return answers, world.endpoint.connections

    run(context, play)


@then("each is answered on a connection of its own")
def check_own_connections(context):
    check_answers(context)
    answers, connections = context.result
    assert connections == len(answers), context.result


@then("the answer is whole")
def check_whole(context):
    assert context.result in (PIECE, PIECE * PIECES), context.result


@when(
    "a request is sent whose answer ends with the connection, "
    "and the endpoint's connection breaks within it"
)
def break_endpoint(context):
    async def play(world):
        return await read(await world.request("reset"))

    run(context, play)


@when(
    "a request is sent whose answer ends with the connection, "
    "and the peer is lost within it"
)
def lose_peer(context):
    async def play(world):
        response = await world.request("slowly")
        await world.serving_peer.cancel()
        return await read(response)

    run(context, play)


@then("the answer is broken off")
def check_broken(context):
    assert isinstance(context.result, HTTPError), context.result


@when('a request to "e1" is given up before its answer comes')
def give_up(context):
    async def play(world):
        async with curio.ignore_after(0.2):
            await world.request("never")
        await world.endpoint.ended.wait()
        return world.endpoint.connections

    run(context, play)


@then('the connection to "e1" ends')
def check_ended(context):
    assert context.result == 1, context.result


@when('a request is sent to "{endpoint}" through the peer')
def send_one(context, endpoint):
    async def play(world):
        try:
            await world.request("framed", endpoint)
        except TunnelRefusedError as error:
            context.failed_for = world.peers.failed_for
            return error.status, world.peers.failed == world.peers.addresses
        return None

    run(context, play)


@then("it was not sent, and the peer's status is {status:d}")
def check_refused(context, status):
    assert context.result == (status, True), context.result


@then("the peer is avoided for all")
def check_avoided(context):
    assert context.failed_for == [None], context.failed_for


@then('the peer is avoided for "{endpoint}"')
def check_avoided_for(context, endpoint):
    assert context.failed_for == [endpoint], context.failed_for


@when('{count:d} requests are sent to "e1" through the peer at the same time')
def send_together(context, count):
    async def play(world):
        statuses = Counter()

        async def send():
            try:
                async with curio.ignore_after(HOLD_SECONDS):
                    await world.request("never")
            except TunnelRefusedError as error:
                statuses[error.status] += 1

        async with curio.TaskGroup() as group:
            for _ in range(count):
                await group.spawn(send)
        return world.endpoint.connections, statuses

    run(context, play)


@then("{carried:d} connections were carried, and {refused:d} refused with {status:d}")
def check_bound(context, carried, refused, status):
    assert context.result == (carried, {status: refused}), context.result


@when("the peer stops while it carries an answer of 1 s")
def drain_peer(context):
    async def play(world):
        response = await world.request("slowly")
        reading = await curio.spawn(read, response)
        await world.relay.drain()
        return await reading.join()

    run(context, play)


@when("the peer stops 1 s before an answer begins that it is to carry")
def drain_awaited(context):
    async def play(world):
        async def ask():
            return await read(await world.request("late"))

        asking = await curio.spawn(ask)
        await world.endpoint.asked.wait()
        await world.relay.drain()
        await world.serving_peer.cancel()
        return await asking.join()

    run(context, play)


@when("the peer stops after it carried an answer")
def drain_idle(context):
    async def play(world):
        await read(await world.request("framed"))
        await world.relay.drain()
        return "stopped"

    run(context, play)


@then("it stops, though the asking host lives on")
def check_stopped(context):
    assert context.result == "stopped", context.result


@when("a request is sent whose answer lasts longer than a tunnel may be idle")
def send_long(context):
    async def play(world):
        body = await read(await world.request("slowly"))
        await world.endpoint.ended.wait()
        return body

    run(context, play)


@then("the tunnel ends by itself")
def check_tunnel_ended(context):
    # The play ends only when it has.
    assert context.result
