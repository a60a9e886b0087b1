"""Steps of the pauses after failed reads of the store."""

import random

from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.sharing import ReadBackoff


@given("a host of rank {rank:d} among {hosts:d} whose reads of the store fail")
def make_backoff(context, rank, hosts):
    context.clock = ManualClock()
    context.backoff = ReadBackoff(context.clock, random.Random(3))
    context.rank, context.hosts = rank, hosts


@when("{count:d} reads have failed in a row")
def fail_reads(context, count):
    for _ in range(count):
        context.clock.advance(context.backoff.measure_wait())
        assert context.backoff.begin_read()
        context.backoff.note_failure(context.rank, context.hosts)


@then("its next pause is {least:g} to {most:g} s")
def check_pause(context, least, most):
    pause = context.backoff.measure_wait()
    assert least <= pause <= most, pause


@then("one success ends the pauses")
def check_success(context):
    context.backoff.note_success()
    assert context.backoff.measure_wait() == 0
