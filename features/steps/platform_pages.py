"""Steps of settings, logs and the adapter's bounds on the platform."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from behave import then, when

from features.builders import wait_until

ROOT = Path(__file__).resolve().parents[2]
# Names that mean nothing but in the users' platform.
PLATFORM_WORDS = (
    "X-Server-Stamp",
    "X-Expect-Instance",
    "X-Not-Run",
    "X-Tenant",
    "X-Api-Key",
    "X-Wait-Ms",
    "/api/",
    "kv-txn",
    "kv-lease",
    '"slo_ms"',
    '"can_resume"',
    '"rate_per_s"',
    '"max_wait_s"',
    "op/config",
    "servers/",
    "MANGOGAUGE_SETTINGS",
)
EXPLAIN_SECONDS = 20


@when('"{name}" gets SIGHUP, and then settings that are wrong')
def reload_settings(context, name):
    process = context.world.processes[name]
    os.kill(process.pid, signal.SIGHUP)
    wait_until(lambda: "settings reloaded" in process.read_log(), "reloaded")
    text = process.settings.read_text()
    process.settings.write_text(text.replace("[store]", "[stor]"))


@then('"{name}" logs "{first}" and then "{second}"')
def check_log(context, name, first, second):
    process = context.world.processes[name]
    wait_until(lambda: second in process.read_log(), second)
    log = process.read_log()
    assert log.index(first) < log.index(second)


@then('the words that only the platform uses stand in "{folder}" alone')
def check_boundary(context, folder):
    found = []
    for path in sorted((ROOT / "mangogauge").rglob("*.py")):
        if path.is_relative_to(ROOT / folder):
            continue
        text = path.read_text()
        found += [(path.name, word) for word in PLATFORM_WORDS if word in text]
    assert not found, found


@then("the adapter has at most a twentieth of the product's lines")
def check_size(context):
    def count(folder):
        files = (ROOT / folder).rglob("*.py")
        return sum(len(path.read_text().splitlines()) for path in files)

    adapter, product = count("mangogauge/platform"), count("mangogauge")
    assert adapter * 20 <= product, f"{adapter} of {product} lines"


@then('"mangogauge explain" says of "{request_id}" that "{text}"')
def check_explanation(context, request_id, text):
    context.explanation = ""
    hosts = context.deployment.hosts
    logs = [context.world.processes[name].log_path for name in hosts]

    def is_explained():
        command = [sys.executable, "-m", "mangogauge", "explain", request_id, *logs]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        context.explanation = done.stdout
        return text in done.stdout.partition("\n")[0]

    wait_until(is_explained, f"{text}: {context.explanation}", EXPLAIN_SECONDS)


@then("it names the attempt that failed")
def check_attempt(context):
    assert "attempt 1 at e" in context.explanation, context.explanation
