"""Steps of grouped wake-ups, datagrams and reads."""

import random
import socket

import curio
from behave import given, then, when

from features.builders.fleet import make_report
from features.builders.gathering import CountingSocket, PieceServer
from mangogauge.http import ClientConnection, ClientResponse, Headers
from mangogauge.sharing import sum_up
from mangogauge.sharing.datagrams import DatagramSocket
from mangogauge.sharing.messages import decode, join
from mangogauge.ticks import TICK_SECONDS, measure_to_tick

LOCAL = "127.0.0.1"
STARTS = 2_000
ROUNDING = 1e-6


@when("tasks pause for {seconds:g} s, starting at many different times")
def pause_tasks(context, seconds):
    rng = random.Random(7)
    context.seconds = seconds
    starts = [rng.uniform(0, 1000) for _ in range(STARTS)]
    context.pauses = [(now, measure_to_tick(seconds, now)) for now in starts]


@then(
    "each pauses for at least that long, and for at most a quarter and {extra:g} s more"
)
def check_pauses(context, extra):
    longest = context.seconds * 1.25 + extra
    for _, pause in context.pauses:
        assert context.seconds - ROUNDING <= pause <= longest, pause


@then("they wake up at multiples of {step:g} s only")
def check_wake_times(context, step):
    assert step % TICK_SECONDS < ROUNDING or TICK_SECONDS - step % TICK_SECONDS < (
        ROUNDING
    )
    for now, pause in context.pauses:
        ticks = (now + pause) / step
        assert abs(ticks - round(ticks)) < ROUNDING * 100, (now, pause)


@given("the reports of {hosts:d} hosts, and summaries of {data_centres:d} data centres")
def make_messages(context, hosts, data_centres):
    loads = {f"e{n}": (n, 1) for n in range(4)}
    reports = [make_report(f"h{n}", loads=loads) for n in range(hosts)]
    summaries = [
        sum_up(f"d{n}", reports[0], reports[1:5], {"desk": n}, lambda name: False)
        for n in range(data_centres)
    ]
    context.messages = [message.to_bytes() for message in reports + summaries]


@when("they are packed into datagrams of at most {limit:d} bytes")
def join_messages(context, limit):
    context.limit = limit
    context.datagrams = join(context.messages, limit)


@then("no datagram is larger")
def check_sizes(context):
    sizes = [len(data) for data in context.datagrams]
    assert max(sizes) <= context.limit, sizes


@then("each message is decoded again, in order")
def check_messages(context):
    decoded = [
        message.to_bytes() for data in context.datagrams for message in decode(data)
    ]
    assert decoded == context.messages


@then("there are fewer than half as many datagrams as messages")
def check_count(context):
    assert len(context.datagrams) * 2 < len(context.messages)


@given("a datagram socket with {count:d} pending datagrams")
def send_datagrams(context, count):
    context.datagram_socket = DatagramSocket()
    context.datagram_socket.bind(LOCAL, [0])
    context.sent = [b"%d" % n for n in range(count)]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in context.sent:
            sender.sendto(data, (LOCAL, context.datagram_socket.port))


@when("pending datagrams are read until none is left")
def read_datagrams(context):
    context.groups = []
    while datagrams := context.datagram_socket.read_pending():
        context.groups.append([datagram.data for datagram in datagrams])


@then("all of them were read, in order, at most {most:d} at a time")
def check_datagrams(context, most):
    assert [data for group in context.groups for data in group] == context.sent
    assert max(map(len, context.groups)) <= most


@given("a server that writes {count:d} pieces of a body, {pause:d} ms apart")
def make_piece_server(context, count, pause):
    context.servers = [PieceServer(count, pause / 1000) for _ in range(2)]


@when("one client reads it at once, and another with a delay of {seconds:g} s")
def read_bodies(context, seconds):
    context.bodies, context.reads = [], []
    for server, pause in zip(context.servers, (0.0, seconds), strict=True):
        body, reads = curio.run(_read_body, server, pause)
        context.bodies.append(body)
        context.reads.append(reads)


async def _read_body(server, seconds):
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(server.serve)
        reading = await group.spawn(_read_once, server.address, seconds)
    return reading.result


async def _read_once(address, seconds):
    connection = await ClientConnection.open(address)
    await connection.send_request("GET", "/", Headers())
    counting = connection._sock = CountingSocket(connection._sock)
    status, headers = await connection.read_head()
    response = ClientResponse(connection, status, headers, _release)
    response.gather(seconds)
    return await response.read(), counting.reads


async def _release(connection, reusable, headers):
    await connection.close()


@then("both have the whole body")
def check_bodies(context):
    assert context.bodies == [server.body for server in context.servers]


@then("the second has read from its socket at most half as often as there were pieces")
def check_reads(context):
    assert context.reads[1] * 2 <= context.servers[1].count, context.reads
