"""Steps of the command that repeats scenarios."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

FEATURE = "features/entry/versions.feature"
ROOT = Path(__file__).resolve().parents[2]


@when('"{options}" is asked for, of the scenarios named "{name}"')
def repeat(context, options, name):
    command = [sys.executable, "-m", "features.repeat", FEATURE, "--name", name]
    context.done = subprocess.run(
        [*command, *options.split()], capture_output=True, text=True, cwd=ROOT
    )


@then('it prints "{line}" and ends with {code:d}')
def check_printed(context, line, code):
    assert context.done.stdout.strip() == line, context.done
    assert context.done.returncode == code, context.done


@then('it tells "{problem}" and ends with {code:d}')
def check_told(context, problem, code):
    assert problem in context.done.stderr, context.done
    assert context.done.returncode == code, context.done
