"""Steps of the commands' features."""

import os
import subprocess
import sys

import orjson
from behave import then, when

from features.steps.path import make_items


def run_command(context, *arguments, key=None):
    environment = {**os.environ, "COLUMNS": "200", "NO_COLOR": "1"}
    environment.pop("MANGOGAUGE_KEY", None)
    if key:
        environment["MANGOGAUGE_KEY"] = key
    command = [sys.executable, "-m", "mangogauge", *map(str, arguments)]
    return subprocess.run(
        command, capture_output=True, text=True, env=environment, timeout=300
    )


def get_address(context, host, number=0):
    return f"{context.world.address}:{context.world.hosts[host][number]}"


def run_job(context, *arguments, host="a1"):
    address = get_address(context, host)
    done = run_command(context, "job", *arguments, "--host", address, key=context.key)
    assert done.returncode == 0, done
    return done.stdout


@then("each of these commands has help that names its options")
def check_help(context):
    for row in context.table:
        done = run_command(context, *row["command"].split(), "--help")
        assert done.returncode == 0, done
        for name in row["names"].split(", "):
            assert name in done.stdout, (row["command"], name, done.stdout)


@then('the help of "{command}" documents the exit codes')
def check_exit_help(context, command):
    done = run_command(context, *command.split(), "--help")
    assert "5 the other side can't be reached" in " ".join(done.stdout.split()), done


@when("a file of {count:d} items is submitted and waited for by command")
def submit_file(context, count):
    context.count = count
    path = context.world.folder / "items.jsonl"
    path.write_bytes(make_items(count))
    job = orjson.loads(run_job(context, "submit", path, "--wait", "--json"))
    assert job["status"] == "completed", job
    assert job["request_counts"]["completed"] == count, job
    context.job = job["id"]


@then('the job\'s status, list and results are there by command at host "{host}"')
def check_job(context, host):
    job = orjson.loads(run_job(context, "status", context.job, "--json", host=host))
    assert job["status"] == "completed", job
    rows = run_job(context, "list", "--json", host=host).splitlines()
    assert [orjson.loads(row)["id"] for row in rows] == [context.job], rows
    assert context.job in run_job(context, "list", host=host)
    lines = run_job(context, "results", context.job, host=host).splitlines()
    assert len(lines) == context.count, lines
    path = context.world.folder / "results.jsonl"
    run_job(context, "results", context.job, "--output", path, host=host)
    assert path.read_text().splitlines() == lines


@then("cancelling it by command leaves it completed")
def check_cancel(context):
    job = orjson.loads(run_job(context, "cancel", context.job, "--json"))
    assert job["status"] == "completed", job


@then("hosts and endpoints are listed by command")
def check_state(context):
    secret = context.world.folder / "secret"
    options = ["--operator", get_address(context, "a1", 2), "--secret-file", secret]
    done = run_command(context, "hosts", *options, "--json")
    rows = [orjson.loads(line) for line in done.stdout.splitlines()]
    assert [row["name"] for row in rows] == ["a1", "b1"], done
    done = run_command(context, "endpoints", *options)
    assert done.returncode == 0, done
    for name in context.world.endpoints:
        assert name in done.stdout, done.stdout


@then("these commands end so")
def check_ends(context):
    places = {
        "NOWHERE": f"{context.world.address}:{context.world.take_port()}",
        "HOST": get_address(context, "a1"),
        "OPERATOR": get_address(context, "a1", 2),
    }
    odd = context.world.folder / "odd-key"
    odd.write_text("two\nlines")
    places["ODD"] = str(odd)
    for row in context.table:
        words = [places.get(word, word) for word in row["command"].split()]
        done = run_command(context, *words, key=context.key)
        assert done.returncode == int(row["code"]), (row, done)
        assert row["says"] in done.stderr, (row, done)


@then("without a key a job command ends with {code:d}")
def check_no_key(context, code):
    done = run_command(context, "job", "list", "--host", get_address(context, "a1"))
    assert done.returncode == code and "MANGOGAUGE_KEY" in done.stderr, done
