"""Steps of events that are not valid text, and of tasks that fail."""

import logging

import curio
from behave import given, then, when

from mangogauge.entry import StreamEvent
from mangogauge.http import HTTPReceiveError
from mangogauge.jobs.owned import OwnedItem
from mangogauge.supervision import keep_running

ERRORS = (ValueError("bad message"), KeyError("missing"), ZeroDivisionError("none"))


def make_event(number, data):
    return StreamEvent(b"id: %d\ndata: %s\n\n" % (number, data))


@given('an item that has the events "{texts}"')
def make_item(context, texts):
    context.item = OwnedItem(None, None, b"")
    for number, text in enumerate(texts.split(", "), 1):
        context.item.add_event(make_event(number, text.encode()))


def add_event(context, data):
    """Add the next event; return whether it ends the run with an error."""
    number = (context.item.last_event or 0) + 1
    try:
        context.item.add_event(make_event(number, data))
    except HTTPReceiveError:
        return True
    return False


@when("an event with the bytes {digits} arrives")
def add_bytes(context, digits):
    context.broken = add_event(context, bytes.fromhex(digits))


@when("events of {size:d} bytes arrive until the run is ended with an error")
def add_many(context, size):
    context.count = 0
    while not add_event(context, b"x" * size):
        context.count += 1


@then("the run is ended with an error")
def check_broken(context):
    assert context.broken


@then("fewer than {count:d} events were accepted")
def check_fewer(context, count):
    assert context.count < count, context.count


@then('the item has the events "{texts}", and resumes after number {number:d}')
def check_kept(context, texts, number):
    assert context.item.event_texts == texts.split(", "), context.item.event_texts
    assert context.item.last_event == number


@then("the item has no events, and is run from its start")
def check_reset(context):
    assert context.item.event_texts == [] and context.item.last_event is None


@given("a task that fails {count:d} times, each time with another error, and then ends")
def make_task(context, count):
    context.begun = 0
    assert count == len(ERRORS)

    async def run():
        context.begun += 1
        if context.begun <= count:
            raise ERRORS[context.begun - 1]

    context.run = run


class ErrorRecorder(logging.Handler):
    """Keeps the exceptions that are logged."""

    def __init__(self):
        super().__init__()
        self.errors = []

    def emit(self, record):
        self.errors.append(record.exc_info[1])


@when("it runs under supervision")
def run_task(context):
    context.error_recorder = ErrorRecorder()
    log = logging.getLogger("mangogauge.supervision")
    log.addHandler(context.error_recorder)
    context.add_cleanup(log.removeHandler, context.error_recorder)
    curio.run(keep_running, "task", context.run)


@then("it was started {count:d} times, and each error was logged")
def check_begun(context, count):
    assert context.begun == count
    assert context.error_recorder.errors == list(ERRORS)
