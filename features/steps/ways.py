"""Steps of calls to the store that try several paths."""

import curio
from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.http import HTTPConnectError
from mangogauge.store import DetourTransport, DirectTransport

ADDRESS = "192.0.2.1:1"
RELAYS = ("192.0.2.2:1", "192.0.2.3:1")
CONNECT_SECONDS = 0.2
OUTAGE_SECONDS = 1.0
SHORT_SECONDS = 0.02
LONG_SECONDS = 3600.0


class SilentTransport:
    """Transport that never responds: each call takes its whole timeout."""

    def __init__(self, clock):
        self.clock = clock
        self.calls = 0

    async def request(self, method, target, body, seconds):
        self.calls += 1
        self.clock.advance(seconds)
        raise curio.TaskTimeout(seconds)


class UnreachableTransport:
    """Transport that accepts no connection."""

    def __init__(self, clock):
        self.clock = clock

    async def request(self, method, target, body, seconds):
        self.clock.advance(min(CONNECT_SECONDS, seconds))
        raise HTTPConnectError("no connection", step="connect")


@given("a host that has lost the store, and two relays that accept no connection")
def make_detour(context):
    clock = context.clock = ManualClock()
    transport = context.transport = DetourTransport(ADDRESS, CONNECT_SECONDS, clock)
    transport.direct = SilentTransport(clock)
    transport._relays = dict.fromkeys(RELAYS, UnreachableTransport(clock))
    transport.use_relays(lambda: RELAYS)
    transport.reach.note_failure()
    clock.advance(OUTAGE_SECONDS)


async def call(transport, seconds):
    try:
        await transport.request("GET", "/", b"", seconds)
    except curio.TaskTimeout:
        return
    raise AssertionError("it got an answer")


@when("it makes a call with a timeout of {seconds:g} s, and the store does not respond")
def make_call(context, seconds):
    context.started_at = context.clock.read_elapsed()
    curio.run(call, context.transport, seconds)


@then("the call has tried the store twice, and ended after {seconds:g} s")
def check_call(context, seconds):
    assert context.transport.direct.calls == 2
    taken = context.clock.read_elapsed() - context.started_at
    assert abs(taken - seconds) < SHORT_SECONDS, taken


class SilentPool:
    """Pool of connections that no longer respond."""

    closed = False

    async def request(self, *arguments):
        await curio.sleep(LONG_SECONDS)

    async def close(self):
        self.closed = True


@given("a store whose open connections no longer respond")
def make_pool(context):
    context.transport = DirectTransport(ADDRESS, CONNECT_SECONDS)
    context.pool = context.transport._pool = SilentPool()


@when("a call to it gets no answer")
def make_short_call(context):
    curio.run(call, context.transport, SHORT_SECONDS)


@then("the idle connections are closed")
def check_closed(context):
    assert context.pool.closed
