"""Steps of a server whose listener closes."""

from behave import given, then, when

from features.builders.listeners import ClosingServer

ANSWERED = b"HTTP/1.1 200"


@given("a server with {count:d} callers that wait to be accepted")
def start_server(context, count):
    context.closing = ClosingServer(count)


@when("it drains, and one more caller connects while these are accepted")
def drain(context):
    context.answers, context.last = context.closing.drain()


@then("each of the {count:d} is answered by 200")
def check_answers(context, count):
    answered = [a for a in context.answers if a.startswith(ANSWERED)]
    assert len(answered) == count, context.answers


@then("the last caller is refused by the system, or answered by 200")
def check_last(context):
    last = context.last
    assert last is None or last.startswith(ANSWERED), last
