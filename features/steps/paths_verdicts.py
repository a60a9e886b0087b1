"""Steps of hosts that find out whether an endpoint or the path to it has failed."""

from collections import Counter

import curio
from behave import given, then, when

from features.builders.paths import PathWorld


@given('a host that can ask the peers "{names}" about the endpoint "e1"')
def make_world(context, names):
    context.world_of_paths = PathWorld(names.split(", "))


@given('"e1" accepts this host\'s connections')
def accept(context):
    context.world_of_paths.start_endpoint()


@given('"e1" refuses this host\'s connections, and "{peer}" reaches it')
@given('the peer "{peer}" reaches it all the same')
@when('"{peer}" reaches it from then on')
def reach(context, peer):
    context.world_of_paths.tunnels.reaching.add(peer)


@given('"e1" refuses this host\'s connections, and peers refuse with {status:d}')
@when("after that peers refuse with {status:d}")
def refuse(context, status):
    tunnels = context.world_of_paths.tunnels
    tunnels.reaching.clear()
    tunnels.status = status


@given('"e1" refuses this host\'s connections, and no peer answers')
def lose_peers(context):
    context.world_of_paths.tunnels.status = None


@when('a connection to "e1" fails')
def fail(context):
    curio.run(context.world_of_paths.fail)


@when(
    "a direct connection that was begun before fails now, "
    "while peers refuse with {status:d}"
)
def fail_late(context, status):
    refuse(context, status)
    curio.run(context.world_of_paths.fail)


@when('a connection to "e1" fails, and the check of its path ends')
def fail_and_settle(context):
    curio.run(context.world_of_paths.fail_and_settle)


@when('a connection to "e1" fails, and an open one brings an answer meanwhile')
def fail_beside_answer(context):
    world = context.world_of_paths

    async def fail_and_answer():
        failing = await curio.spawn(world.fail)
        while not world.tunnels.asked:
            await curio.sleep(0)
        world.health.note_answer("e1")
        await failing.join()

    curio.run(fail_and_answer)


@when('{count:d} connections to "e1" fail at the same time')
def fail_together(context, count):
    async def fail_all():
        async with curio.TaskGroup() as group:
            for _ in range(count):
                await group.spawn(context.world_of_paths.fail)

    curio.run(fail_all)


@when('a connection to "e1" has failed, and no peer has answered yet')
def fail_only(context):
    context.world_of_paths.health.note_unreachable("e1")


@when('"e1" accepts this host\'s connections, and its path is checked')
def check_accepting(context):
    world = context.world_of_paths
    world.start_endpoint()
    curio.run(world.check)


@when('an answer of "e1" comes')
def answer(context):
    context.world_of_paths.health.note_answer("e1")


@when('no peer reaches "e1" any longer, and a connection through one fails')
def fail_tunnel(context):
    world = context.world_of_paths
    world.tunnels.reaching.clear()
    world.health.note_unreachable("e1")


@when('it is asked whether "e1" refuses connections')
def ask_refusal(context):
    world = context.world_of_paths
    context.result = curio.run(world.checker.refuses_connections, world.endpoint)


@then("a crash would be noted: {answer}")
def check_refusal(context, answer):
    assert context.result is (answer == "yes"), context.result


@when('a request to "e1" gets no answer')
def go_silent(context):
    context.world_of_paths.health.note_failure("e1", is_confirmed=False)


@when('a connection breaks that carries a request to "e1"')
def break_connection(context):
    context.world_of_paths.break_connection()


@then('others get no evidence against "e1"')
def check_no_evidence(context):
    evidence = context.world_of_paths.list_evidence()
    assert evidence == {}, evidence


@then('others get the evidence that "e1" was cut off once')
def check_evidence(context):
    evidence = context.world_of_paths.list_evidence()
    assert evidence["e1"].cut == 1, evidence


@when('a request to "e1" gets a wrong answer')
def answer_wrongly(context):
    context.world_of_paths.health.note_failure("e1")


@when("its path is checked in the background")
def probe(context):
    curio.run(context.world_of_paths.probe)


@when("its path is checked in the background for {seconds:g} s")
def probe_for(context, seconds):
    curio.run(context.world_of_paths.probe_for, seconds)


@then('"e1" is {state}, and gets requests')
def check_used(context, state):
    health = context.world_of_paths.health
    assert health.paths.get("e1").value == state, health.paths.get("e1")
    assert not health.is_unhealthy("e1")


@then('"e1" is {state}, and gets no requests')
def check_unused(context, state):
    health = context.world_of_paths.health
    assert health.paths.get("e1").value == state, health.paths.get("e1")
    assert health.is_unhealthy("e1")


@then('others aren\'t told that "e1" is unhealthy')
def check_silent(context):
    assert context.world_of_paths.health.list_unhealthy() == []


@then('others are told that "e1" is unhealthy')
def check_told(context):
    assert context.world_of_paths.health.list_unhealthy() == ["e1"]


@then('others were never told that "e1" is unhealthy')
def check_never_told(context):
    assert not context.world_of_paths.was_told


@then("{count:d} peers had answered when its request went on")
def check_answered(context, count):
    assert context.world_of_paths.tunnels.answered == count


@then("{count:d} peers were asked in all")
def check_asked_in_all(context, count):
    asked = context.world_of_paths.tunnels.asked
    assert len(asked) == count, asked


@when("its path is checked each {pause:g} s for {seconds:g} s")
def check_again(context, pause, seconds):
    world = context.world_of_paths

    async def check_all():
        for _ in range(round(seconds / pause)):
            world.clock.advance(pause)
            await world.check()

    curio.run(check_all)


@then("each peer was asked {count:d} times at most")
def check_asked_rarely(context, count):
    asked = Counter(context.world_of_paths.tunnels.asked)
    assert all(times <= count for times in asked.values()), asked


@then("each peer was asked once at most")
def check_asked(context):
    asked = context.world_of_paths.tunnels.asked
    assert len(asked) == len(set(asked)) > 0, asked
