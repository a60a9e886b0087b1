"""Steps of statements about limits, and of what hosts tell each other of them."""

import math
import re

from behave import given, then, when

from mangogauge.backpressure import (
    NO_LIMIT,
    AnnouncedLimits,
    LimitNews,
    LimitRow,
    LimitStatement,
    TakenCounts,
)
from mangogauge.clock import ManualClock
from mangogauge.http import Headers
from mangogauge.platform.endpoints import PlatformEndpoints
from mangogauge.platform.names import HEADERS
from mangogauge.sharing import ReportError
from mangogauge.sharing.messages import decode

NAME = "e1"
FIRST_START_MS, SECOND_START_MS = 1000, 2000


def read_rate(text):
    return NO_LIMIT if text == "none" else float(text)


def note(context, statement, start_time_ms=FIRST_START_MS):
    context.limits.note(NAME, start_time_ms, statement, "its answer")


@given("these answers of an endpoint, in the order in which they arrive")
def note_answers(context):
    context.limits = AnnouncedLimits(ManualClock())
    for row in context.table:
        asked, answered = float(row["asked"]), float(row["answered"])
        note(context, LimitStatement(read_rate(row["limit"]), asked, answered))


@given(
    "another host tells that it was {rate:g} when asked at {asked:g} "
    "and answered at {answered:g}"
)
def note_told(context, rate, asked, answered):
    note(context, LimitStatement(rate, asked, answered))


@then("the limit in force is {limit}")
def check_limit(context, limit):
    rate = context.limits.get_rate(NAME, FIRST_START_MS)
    assert rate == read_rate(limit), rate


@when("it starts again")
def start_again(context):
    context.limits.remove_old({NAME: SECOND_START_MS})


@then("no limit is in force for its new process")
def check_no_limit(context):
    assert context.limits.get_rate(NAME, SECOND_START_MS) == NO_LIMIT


@when("the new process names the limit {rate:g}")
def note_new(context, rate):
    note(context, LimitStatement(rate, 3.0, 4.0), SECOND_START_MS)


@when("another host tells that the old process took {rate:g}")
def note_old(context, rate):
    note(context, LimitStatement(rate, 5.0, 6.0))


@then("the new process's limit is {rate:g}")
def check_new(context, rate):
    found = context.limits.get_rate(NAME, SECOND_START_MS)
    assert found == rate, found


@when('an answer has "{value}" where a limit stands')
def read_value(context, value):
    headers = Headers([(HEADERS.limit, value)])
    context.rate = PlatformEndpoints().read_limit(headers)


@then("it names {rate:g}")
def check_rate(context, rate):
    assert math.isclose(context.rate, rate), context.rate


@then("it says nothing")
def check_nothing(context):
    assert context.rate is None, context.rate


@then("none of these is taken for news of limits")
def check_unreadable(context):
    for row in context.table:
        try:
            found = decode(row["value"].encode())
        except ReportError:
            continue
        raise AssertionError((row["value"], found))


def make_news(number, taken, incarnation="1"):
    row = LimitRow(NAME, FIRST_START_MS, 2.0, 0.1, 0.0, taken)
    return LimitNews("h2", incarnation, number, [row])


@given(
    "another host tells, in messages 1 to {count:d}, that it has sent {totals} requests"
)
def plan_news(context, count, totals):
    context.totals = list(map(int, re.findall(r"\d+", totals)))
    assert len(context.totals) == count
    context.counts, context.counted = TakenCounts(), 0


@when("the messages arrive as {numbers}")
def merge(context, numbers):
    for number in map(int, numbers.split(", ")):
        merge_one(context, make_news(number, context.totals[number - 1]))


@when("it starts again and tells in message {number:d} that it has sent {taken:d}")
def merge_restarted(context, number, taken):
    merge_one(context, make_news(number, taken, "2"))


def merge_one(context, news):
    context.counted += sum(context.counts.merge(news).values())


@then("{count:d} requests are counted")
def check_counted(context, count):
    assert context.counted == count, context.counted
