"""Steps of the settings' features."""

import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

from behave import then, when

from features.builders.mistakes import BASE, OVERLAYS, find_problems
from mangogauge.daemon.serving import ServingHost
from mangogauge.settings import (
    ConfigurationDocuments,
    SettingsError,
    read_fleet,
    read_host,
)
from mangogauge.settings.serving import read_serving

DEPLOYMENT = Path(__file__).resolve().parents[2] / "docs" / "deployment"


@then("the settings without a mistake are read without one")
def check_good(context):
    for file in ("base.ini", "host.ini"):
        assert find_problems(file, "", "", context.world.folder) == []


@then("each of these mistakes alone has its message")
def check_mistakes(context):
    for row in context.table:
        old, new = (unescape(row[name]) for name in ("instead of", "write"))
        problems = find_problems(row["file"], old, new, context.world.folder)
        assert len(problems) == 1, (row["mistake"], [str(p) for p in problems])
        check_problem(row, problems[0])


def unescape(text):
    return text.replace("\\n", "\n")


def check_problem(row, problem):
    place = (problem.section, problem.option)
    assert place == (row["section"], row["option"]), (row["mistake"], str(problem))
    assert problem.file.endswith(row["file"]), (row["mistake"], problem.file)
    assert row["read"] in ("*", problem.read), (row["mistake"], str(problem))
    assert row["allowed"] in problem.allowed, (row["mistake"], str(problem))


@when("{count:d} mistakes are made at once, of which {base_count:d} are in the base")
def make_mistakes(context, count, base_count):
    base = (
        BASE.replace("rate = 20", "rate = many\nrate = 20")
        .replace("burst = 10", "bust = 10")
        .replace("models = small", "models = smal")
    )
    overlays = {
        "west": "[limits]\nslots = 0\n",
        "east": OVERLAYS["east"].replace("30", "plenty"),
    }
    context.documents = ConfigurationDocuments(base, overlays)


@then("{count:d} messages come, of which {base_count:d} name the base file")
def check_all_told(context, count, base_count):
    try:
        read_fleet(context.documents, "west")
    except SettingsError as error:
        problems = error.problems
    told = [str(problem) for problem in problems]
    assert len(set(told)) == len(told) == count, told
    assert sum(p.file == "base.ini" for p in problems) == base_count, told
    context.told = told


@then("config check prints them all and ends with {code:d}")
def check_command(context, code):
    folder = context.world.folder
    texts = {"base": context.documents.base, **context.documents.overlays}
    for name, text in texts.items():
        (folder / f"{name}.ini").write_text(text)
    files = [str(folder / f"{name}.ini") for name in texts]
    done = run_check(*files)
    assert done.returncode == code, done
    for line in context.told:
        assert line in done.stderr, (line, done.stderr)


def run_check(*paths):
    command = [sys.executable, "-m", "mangogauge", "config", "check", *map(str, paths)]
    return subprocess.run(command, capture_output=True, text=True)


@then("the deployment's base file and its {count:d} overlays pass config check")
def check_deployment(context, count):
    overlays = [DEPLOYMENT / f"{name}.ini" for name in ("north", "south", "west")]
    assert len(overlays) == count
    done = run_check(DEPLOYMENT / "base.ini", *overlays)
    assert done.returncode == 0, done


@then("the deployment's host file is read without a mistake")
def check_deployment_host(context):
    secret = context.world.folder / "secret"
    text = (DEPLOYMENT / "north-1.ini").read_text()
    path = context.world.folder / "north-1.ini"
    path.write_text(text.replace("/etc/mangogauge/secret", str(secret)))
    settings = read_host(path)
    assert (settings.name, settings.callers.body_bytes) == ("north-1", 8388608)


@when('a host\'s file says "{line}" under [host]')
def read_host_file(context, line):
    path = Path(context.world.folder) / "host.ini"
    path.write_text(
        "[host]\nname = a0\ndata_centre = a\naddress = 192.0.2.1\n"
        f"first_report_port = 7000\nlast_report_port = 7001\n{line}\n"
        "[store]\naddress = 192.0.2.9:2379\n"
    )
    context.settings = read_serving(path)


@then("the host {does} online demand")
def check_forecast(context, does):
    host = SimpleNamespace(
        settings=context.settings,
        fleet=SimpleNamespace(directory=None, eligibility=None, board=None),
        clock=None,
    )
    outlook = ServingHost._make_outlook(host)
    assert (outlook is not None) == (does == "forecasts"), outlook
