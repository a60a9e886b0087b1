"""Steps of bounded logs."""

import fcntl
import logging
import os

import orjson
from behave import given, then, when
from pythonjsonlogger.json import JsonFormatter

from mangogauge.telemetry import BoundedStreamHandler

F_SETPIPE_SZ = 1031
PIPE_BYTES = 1_048_576
READ_BYTES = 1 << 24


@given("a log whose reader has stopped")
def make_stopped(context):
    make_log(context, 4096)


@given("a log whose reader keeps up")
def make_reading(context):
    make_log(context, PIPE_BYTES)


def make_log(context, size):
    context.reading, writing = os.pipe()
    fcntl.fcntl(writing, F_SETPIPE_SZ, size)
    context.now = 0.0
    context.dropped = []
    context.handler = BoundedStreamHandler(
        writing, context.dropped.append, lambda: context.now
    )
    context.handler.setFormatter(JsonFormatter("%(levelname)s %(message)s"))
    context.log = logging.Logger("bounded")
    context.log.addHandler(context.handler)


@when("{count:d} lines are logged")
def log_lines(context, count):
    for number in range(count):
        context.now += 0.01
        context.log.info("line", extra={"number": number})


@then("logging went on, and the lines that were left out are counted")
def check_counted(context):
    assert context.handler._dropped or context.dropped


@when("the reader reads again and a warning is logged")
def read_again(context):
    context.lines = os.read(context.reading, READ_BYTES)
    context.now += 10
    context.log.warning("after")
    context.lines += os.read(context.reading, READ_BYTES)


@then("every line that was read is whole JSON")
def check_lines(context):
    context.values = [orjson.loads(line) for line in context.lines.splitlines()]
    assert "after" in [value["message"] for value in context.values]


@then("one line tells how many were left out")
def check_note(context):
    notes = [v for v in context.values if v["message"] == "log lines dropped"]
    assert len(notes) == 1, notes
    assert notes[0]["lines"] == sum(context.dropped) > 0, context.dropped


@when("{lines:d} ordinary lines and {warnings:d} warnings are logged at once")
def log_burst(context, lines, warnings):
    for number in range(lines):
        context.log.info("line")
        if number % (lines // warnings) == 0:
            context.log.warning("warning")


@then("at most {lines:d} ordinary lines were written, and all {warnings:d} warnings")
def check_burst(context, lines, warnings):
    read = os.read(context.reading, READ_BYTES).splitlines()
    levels = [orjson.loads(line)["levelname"] for line in read]
    assert 0 < levels.count("INFO") <= lines, levels.count("INFO")
    assert levels.count("WARNING") == warnings
