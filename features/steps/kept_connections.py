"""Steps of connections that callers keep."""

import curio
import h11
from behave import given, then, when

from features.builders.kept import KeptConnection

BODY = b"x" * 20_000
ERRORS = {
    "a time-out": curio.TaskTimeout(0.0),
    "an error of another's socket": ConnectionResetError(104, "not the caller's"),
    "an answer that is no HTTP": h11.LocalProtocolError("no such status"),
}


def keep(context, **limits):
    context.kept = KeptConnection(**limits)
    context.add_cleanup(context.kept.close)
    # The connection has served a request, as one that is kept has.
    context.answer = context.kept.ask()
    check(context, 200)


@given("a kept connection whose caller may be idle for {seconds:g} s")
def keep_idle(context, seconds):
    keep(context, header_timeout=seconds)


@given("a kept connection whose caller may send a head of {size:d} bytes")
def keep_small(context, size):
    keep(context, header_bytes=size)


@when("the caller may be idle for {seconds:g} s, and sends a request after {pause:g} s")
def ask_later(context, seconds, pause):
    context.kept.set_limits(header_timeout=seconds)
    context.kept.wait(pause)
    context.answer = context.kept.ask()


@when("the caller may send a head of {size:d} bytes, and sends one of {sent:d} bytes")
def ask_more(context, size, sent):
    context.kept.set_limits(header_bytes=size)
    context.answer = context.kept.ask(X_Filling="x" * sent)


@when("half of a request has come, the connection is to end, and the rest comes")
def ask_across_end(context):
    context.answer = context.kept.ask_across_end(BODY)


@when("the connection is to end, and a request comes before its reader has noticed")
def ask_after_end(context):
    context.begun_before = context.kept.begun_count
    context.answer = context.kept.ask_after_end()


@when("the handler of a request ends by {error}")
def ask_for_error(context, error):
    async def fail(exchange):
        await exchange.read_body()
        raise ERRORS[error]

    context.kept.handler = fail
    context.answer = context.kept.ask()


@then("that request is answered by {status:d}")
def check(context, status):
    assert context.answer.startswith(b"HTTP/1.1 %d" % status), context.answer


@then("that request was not begun, and its connection ended without a byte")
def check_unread(context):
    assert context.kept.begun_count == context.begun_before
    assert context.answer == b"", context.answer


@then('the server\'s log says "{message}"')
def check_log(context, message):
    assert message in context.kept.recorder.messages, context.kept.recorder.messages
