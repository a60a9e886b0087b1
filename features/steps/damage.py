"""Steps of bytes that are no text, and of tasks that fail."""

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
    """Add the next event; return whether the run breaks off."""
    number = (context.item.last_event or 0) + 1
    try:
        context.item.add_event(make_event(number, data))
    except HTTPReceiveError:
        return True
    return False


@when("an event comes with the bytes {digits}")
def add_bytes(context, digits):
    context.broken = add_event(context, bytes.fromhex(digits))


@when("events of {size:d} bytes come until the run breaks off")
def add_many(context, size):
    context.count = 0
    while not add_event(context, b"x" * size):
        context.count += 1


@then("the run breaks off")
def check_broken(context):
    assert context.broken


@then("they were fewer than {count:d}")
def check_fewer(context, count):
    assert context.count < count, context.count


@then('the item has the events "{texts}", and goes on after number {number:d}')
def check_kept(context, texts, number):
    assert context.item.event_texts == texts.split(", "), context.item.event_texts
    assert context.item.last_event == number


@then("the item has no events, and starts anew")
def check_reset(context):
    assert context.item.event_texts == [] and context.item.last_event is None


@given("a task that fails {count:d} times, each in another way, and then ends")
def make_task(context, count):
    context.begun = 0
    assert count == len(ERRORS)

    async def run():
        context.begun += 1
        if context.begun <= count:
            raise ERRORS[context.begun - 1]

    context.run = run


class ErrorRecorder(logging.Handler):
    """Keeps what is logged."""

    def __init__(self):
        super().__init__()
        self.errors = []

    def emit(self, record):
        self.errors.append(record.exc_info[1])


@when("it is kept running")
def run_task(context):
    context.error_recorder = ErrorRecorder()
    log = logging.getLogger("mangogauge.supervision")
    log.addHandler(context.error_recorder)
    context.add_cleanup(log.removeHandler, context.error_recorder)
    curio.run(keep_running, "task", context.run)


@then("it has begun {count:d} times, and each error is in the log")
def check_begun(context, count):
    assert context.begun == count
    assert context.error_recorder.errors == list(ERRORS)
