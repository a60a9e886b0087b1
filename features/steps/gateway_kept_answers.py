"""Steps of answers that are kept in memory, and of bodies that are read whole."""

import curio
from behave import given, then, when

from mangogauge.entry import EventStream
from mangogauge.gateway.calls import Call
from mangogauge.gateway.relays import AnswerRelay
from mangogauge.gateway.sinks import MemorySink
from mangogauge.http import (
    BufferBudget,
    ClientPool,
    Headers,
    HTTPLimitError,
    HTTPReceiveError,
    HTTPServer,
)
from mangogauge.settings import Route, RouteKind

LOCAL = "127.0.0.1"
BLOCK = bytes(65_536)
HEADERS = Headers([("Content-Type", "application/octet-stream")])
ENDLESS_BLOCKS = 100_000


def read_size(text):
    return int(text.replace(",", ""))


async def send_blocks(count):
    for _ in range(count):
        yield BLOCK
        await curio.sleep(0)


async def keep(sink, blocks):
    """Return None if an answer of so many blocks is kept whole, else why not."""
    route = Route("stock", "/stock/", RouteKind.SERVICE)
    call = Call("r", "desk", route, "POST", "/stock/1", Headers(), b"", 10.0)
    try:
        await AnswerRelay(call, sink).take(200, HEADERS, send_blocks(blocks))
    except HTTPLimitError as error:
        return error
    return None


@given("{count:d} items' answers that are kept, with {size} bytes for all")
def make_sinks(context, count, size):
    context.budget = BufferBudget(read_size(size))
    context.sinks = [MemorySink(context.budget) for _ in range(count)]


@when("the first answer sends without end")
def send_without_end(context):
    context.errors = [curio.run(keep, context.sinks[0], ENDLESS_BLOCKS)]


class EndlessResponse:
    """An answer that is one event without end."""

    def __init__(self, budget):
        self.buffers = budget

    async def iterate(self):
        while True:
            yield BLOCK
            await curio.sleep(0)

    async def close(self):
        """Do nothing: there is no connection."""


@given("{count:d} answers, each an event without end, with {size} bytes for all")
def make_endless(context, count, size):
    context.budget = BufferBudget(read_size(size))
    context.sinks = []
    context.streams = [
        EventStream(EndlessResponse(context.budget)) for _ in range(count)
    ]


@when("all are read at once")
def read_all(context):
    async def read_one(stream):
        try:
            await stream.read_events()
        except HTTPReceiveError as error:
            return error
        finally:
            await stream.close()

    context.errors = curio.run(run_watched, context, read_one, context.streams)


@then('each broke off, and some by "{limit}"')
def check_all_broken(context, limit):
    assert None not in context.errors
    limits = [getattr(error, "limit", None) for error in context.errors]
    assert limit in limits, limits


async def run_watched(context, function, arguments):
    """Call a function for each argument at once; note the most bytes held."""
    context.most_bytes = 0

    async def watch():
        while True:
            context.most_bytes = max(context.most_bytes, context.budget.used_bytes)
            await curio.sleep(0)

    watching = await curio.spawn(watch, daemon=True)
    tasks = [await curio.spawn(function, argument) for argument in arguments]
    errors = [await task.join() for task in tasks]
    await watching.cancel()
    return errors


@when("all answers send {size} bytes at once")
def send_all(context, size):
    async def keep_one(sink):
        error = await keep(sink, read_size(size) // len(BLOCK))
        if error is not None:
            # As whoever keeps an answer does once it has failed.
            sink.close()
        return error

    context.errors = curio.run(run_watched, context, keep_one, context.sinks)


@then('it broke off after {size} bytes, by "{limit}"')
def check_broken(context, size, limit):
    (error,) = context.errors
    assert error.limit == limit, error
    kept = sum(map(len, context.sinks[0]._pieces))
    assert kept <= read_size(size) < kept + len(BLOCK), kept


@then('{count:d} of them are whole, and the others broke off by "{limit}"')
def check_some_whole(context, count, limit):
    failed = [error for error in context.errors if error is not None]
    assert {error.limit for error in failed} == {limit}, failed
    assert len(context.errors) - len(failed) >= 1, failed
    assert len(context.errors) - len(failed) <= count, failed


@then("at most {size} bytes were held")
def check_held(context, size):
    assert 0 < context.most_bytes <= read_size(size), context.most_bytes


@then("nothing is held any more")
def check_nothing_held(context):
    for sink in context.sinks:
        sink.close()
    assert context.budget.used_bytes == 0, context.budget.used_bytes


async def answer_without_end(exchange):
    await exchange.start_response(200, HEADERS)
    while True:
        await exchange.send_data(BLOCK)


@given("a server whose answers never end")
def make_server(context):
    context.server = HTTPServer(answer_without_end)
    context.server.bind(LOCAL, 0)


@when("a client reads an answer whole")
def read_whole(context):
    async def read():
        serving = await curio.spawn(context.server.serve, daemon=True)
        pool = ClientPool()
        address = f"{LOCAL}:{context.server.port}"
        response = await pool.request(address, "GET", "/", Headers(), b"")
        try:
            await response.read()
        except HTTPLimitError as error:
            return error
        finally:
            await response.close()
            await serving.cancel()

    context.error = curio.run(read)


@then('it broke off by "{reason}"')
def check_reason(context, reason):
    assert context.error is not None and reason in context.error.message, context.error
