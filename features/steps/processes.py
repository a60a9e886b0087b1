"""Steps of how a host's process starts and ends."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

RUN_PROGRAM = "from mangogauge.processes import run_process; run_process('program')"
LIST_MODULES = "import sys, mangogauge.platform.service; print(*sys.modules)"
NO_FILE = "no-such-settings.ini"
SECONDS = 60


def run_python(*arguments, **environment):
    return subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        timeout=SECONDS,
        env={**os.environ, **environment},
    )


def run_program(*lines):
    with tempfile.TemporaryDirectory() as folder:
        text = "\n    ".join(("def main():", *lines))
        Path(folder, "program.py").write_text(text + "\n")
        return run_python("-c", RUN_PROGRAM, PYTHONPATH=folder)


@when("a program prints a line without flushing it and returns 7")
def run_printing(context):
    context.done = run_program("print('last line')", "return 7")


@when("a program raises an error")
def run_failing(context):
    context.done = run_program("raise ValueError('its reason')")


@when("a host's process starts without its settings' file")
def run_without_settings(context):
    context.done = run_python("-m", "mangogauge.platform", MANGOGAUGE_SETTINGS=NO_FILE)


@when("a host's program is imported in a new interpreter")
def list_modules(context):
    context.done = run_python("-c", LIST_MODULES)


@then("its line has come and its status is 7")
def check_line(context):
    done = context.done
    assert (done.stdout, done.returncode) == ("last line\n", 7), done


@then("its error has come and its status is 1")
def check_error(context):
    done = context.done
    assert done.returncode == 1 and "its reason" in done.stderr, done


@then("its status is 2 and it names the file")
def check_settings(context):
    done = context.done
    assert done.returncode == 2 and NO_FILE in done.stderr, done


@then("these modules are not imported")
def check_modules(context):
    assert context.done.returncode == 0, context.done
    imported = set(context.done.stdout.split())
    unwanted = {row["module"] for row in context.table}
    assert not unwanted & imported, unwanted & imported
