"""Steps of the demo."""

import contextlib
import io

import curio
import orjson
from behave import then, when

from features.steps.commands import run_command
from mangogauge.commands import demo as command
from mangogauge.demo import DemoOptions, DemoReport, scenario


@when("the demo runs with {items:d} items")
def run_whole(context, items):
    done = run_command(context, "demo", "--json", "--items", items)
    context.code, context.output = done.returncode, done.stdout


@then("it ends with {code:d} and one line of JSON in which {count:d} checks held")
def check_whole(context, code, count):
    report = orjson.loads(context.output.splitlines()[-1])
    assert (context.code, report["held"]) == (code, True), report
    assert len(report["checks"]) == count, report
    assert all(check["held"] for check in report["checks"]), report


async def run_badly(options, on_progress):
    report = DemoReport()
    report.add("the sun goes round the earth", False, "it did not")
    return report


@when("the demo runs and a check does not hold")
def run_unheld(context):
    kept, command.run_demo = command.run_demo, run_badly
    output = io.StringIO()
    try:
        with contextlib.redirect_stdout(output):
            command.demo(json=True)
        context.code = 0
    except SystemExit as ending:
        context.code = ending.code
    finally:
        command.run_demo = kept
    context.output = output.getvalue()


@then("it ends with {code:d} and says so in its JSON")
def check_unheld(context, code):
    report = orjson.loads(context.output.splitlines()[-1])
    assert context.code == code and report["held"] is False, (context.code, report)


@when("a part of the demo fails by itself")
def break_off(context):
    async def fail(demo):
        raise LookupError("a mistake in the demo")

    kept, scenario._Demo._run_bookings = scenario._Demo._run_bookings, fail
    try:
        curio.run(scenario.run_demo, DemoOptions(items=4, failing=1, streams=1))
        context.error = None
    except LookupError as error:
        context.error = error
    finally:
        scenario._Demo._run_bookings = kept


@then("the demo fails")
def check_failed(context):
    assert context.error is not None
