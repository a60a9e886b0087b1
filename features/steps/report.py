"""Steps of the burn report."""

import subprocess
import sys

import orjson
from behave import given, then, when

from features.builders import make_section
from features.builders.world import SECRET
from features.steps.load import read_load, run_load, write_plan
from mangogauge.report import (
    Snapshot,
    append_snapshots,
    compute_burns,
    list_missing,
    read_snapshots,
)
from mangogauge.settings import (
    ConfigurationDocuments,
    Objective,
    ObjectiveKind,
    SettingsError,
    read_fleet,
)

START = 1_000_000.0
MINUTE = 60.0
LABELS = (("client_account", "desk"), ("route", "chat"))


def make_objective(kind=ObjectiveKind.AVAILABILITY, **options):
    return Objective(name="desk", kind=kind, **{"target": 0.999, **options})


def make_samples(**outcomes):
    samples = {}
    for outcome, value in outcomes.items():
        labels = tuple(sorted((*LABELS, ("outcome", outcome))))
        samples["mangogauge_requests_total", labels] = float(value)
    return samples


def add_snapshots(context, host, answered, broken, created=None):
    pairs = zip(answered, broken, strict=True)
    for number, (good, bad) in enumerate(pairs):
        samples = make_samples(answered=good, broken=bad)
        if created is not None:
            for name, labels in list(samples):
                created_name = name.replace("_total", "_created")
                samples[created_name, labels] = created
        snapshot = Snapshot(START + number * MINUTE, host, samples)
        context.snapshots = [*getattr(context, "snapshots", []), snapshot]


def read_numbers(text):
    return [float(part) for part in text.split(",")]


@given(
    "snapshots of one host: {each:d} requests a minute, of which {few:d} fail,"
    " for {calm:d} minutes, then {many:d} for {bad:d} minutes"
)
def make_hand_case(context, each, few, calm, many, bad):
    good = broken = 0
    answered, failed = [0], [0]
    for minute in range(calm + bad):
        now_failing = few if minute < calm else many
        good += each - now_failing
        broken += now_failing
        answered.append(good)
        failed.append(broken)
    add_snapshots(context, "a1", answered, failed)


@given('snapshots of host "{host}" with answered {answered} and broken {broken}')
def make_snapshots(context, host, answered, broken):
    add_snapshots(context, host, read_numbers(answered), read_numbers(broken))


@given(
    'snapshots of host "{host}", created within the window,'
    " with answered {answered} and broken {broken}"
)
def make_created(context, host, answered, broken):
    good, bad = read_numbers(answered), read_numbers(broken)
    add_snapshots(context, host, good, bad, created=START - 1)


@when("the burn of an objective of 99.9 percent is computed")
def compute(context):
    (context.burn,) = compute_burns([make_objective()], context.snapshots)


@then("the burn over the last 5 minutes is {expected:f}")
def check_short(context, expected):
    assert abs(context.burn.windows[0].short_rate - expected) < 0.001, context.burn


@then("the burn over the last hour is {expected:f}")
def check_long(context, expected):
    assert abs(context.burn.windows[0].long_rate - expected) < 0.001, context.burn


@then("the budget left is {expected:f}")
def check_budget(context, expected):
    assert abs(context.burn.budget_left - expected) < 0.001, context.burn


@then("only the alerts of {first} and {second} fire")
def check_alerts(context, first, second):
    fired = [w.window.name for w in context.burn.windows if w.fires]
    assert fired == [first, second], context.burn


@then("{total:d} requests were counted, of which {bad:d} were bad")
def check_counts(context, total, bad):
    counts = context.burn.counts
    assert (counts.total, counts.bad) == (total, bad), counts


@then('"{host}" is the only host missing')
def check_missing(context, host):
    now = max(snapshot.at for snapshot in context.snapshots)
    assert list(list_missing(context.snapshots, now)) == [host]


@then("a line that was cut off is left out when the file is read again")
def check_cut_off(context):
    path = context.world.folder / "snapshots.jsonl"
    append_snapshots(path, context.snapshots)
    with path.open("ab") as file:
        file.write(b'{"at": 1, "host": "a1", "sam')
    kept = sorted(context.snapshots, key=lambda snapshot: snapshot.at)
    assert read_snapshots([path]) == kept


@given(
    "a host's histogram with {low:d} answers within 0.4 s,"
    " {high:d} within 0.6 s and {total:d} in all"
)
def make_histogram(context, low, high, total):
    metric = "mangogauge_first_token_seconds"
    samples = {(f"{metric}_count", LABELS): float(total)}
    for bound, value in (("0.4", low), ("0.6", high), ("+Inf", total)):
        labels = tuple(sorted((*LABELS, ("le", bound))))
        samples[f"{metric}_bucket", labels] = float(value)
    zeros = dict.fromkeys(samples, 0.0)
    context.snapshots = [
        Snapshot(START, "a1", zeros),
        Snapshot(START + MINUTE, "a1", samples),
    ]


@then(
    "an objective of 0.5 s counts {low:d} of {total:d},"
    " one of 0.6 s counts {high:d} of {again:d}"
)
def check_histogram(context, low, total, high, again):
    for threshold, good in ((0.5, low), (0.6, high)):
        objective = make_objective(ObjectiveKind.FIRST_TOKEN, threshold=threshold)
        (burn,) = compute_burns([objective], context.snapshots)
        assert (burn.counts.good, burn.counts.total) == (good, total), burn


@given("a host that counted {total:d} requests and {bad:d} refusals within rate")
def make_refusals(context, total, bad):
    samples = make_samples(answered=total)
    samples["mangogauge_refused_within_rate_total", LABELS] = float(bad)
    context.snapshots = [
        Snapshot(START, "a1", dict.fromkeys(samples, 0.0)),
        Snapshot(START + MINUTE, "a1", samples),
    ]


@then("the objective on refusals counts {good:d} of {total:d}")
def check_refusals(context, good, total):
    objective = make_objective(ObjectiveKind.REFUSED_WITHIN_RATE)
    (burn,) = compute_burns([objective], context.snapshots)
    assert (burn.counts.good, burn.counts.total) == (good, total), burn


@given("a base file with an objective of an unknown kind for an unknown account")
def make_mistakes(context):
    first = make_section("objective one", kind="speed", target=0.9)
    second = make_section(
        "objective two", kind="availability", target=0.9, account="nobody"
    )
    context.documents = ConfigurationDocuments("\n".join([first, second]))


@then("checking it names both the kind and the account")
def check_mistakes(context):
    try:
        read_fleet(context.documents, "")
    except SettingsError as error:
        assert "speed" in str(error) and "availability" in str(error), error
        context.documents = ConfigurationDocuments(
            make_section(
                "objective two", kind="availability", target=0.9, account="nobody"
            )
        )
    try:
        read_fleet(context.documents, "")
    except SettingsError as error:
        assert "nobody" in str(error), error
        return
    raise AssertionError("the mistakes were not seen")


@given("the hosts' metrics are scraped")
@when("the hosts' metrics are scraped")
def scrape(context):
    world = context.world
    secret = world.folder / "operators-secret"
    secret.write_text(SECRET)
    context.snapshot_file = world.folder / "live.jsonl"
    operators = [f"{n}={world.address}:{p[2]}" for n, p in world.hosts.items()]
    command = ["report", "scrape", *operators, "--secret-file", secret]
    answer = world.run(*command, "--output", context.snapshot_file)
    assert answer == {"missed": []}, answer


@when(
    "load runs at {rate:d} requests a second for {seconds:d} seconds"
    " and an engine refuses a part"
)
def run_live(context, rate, seconds):
    for name in ("engine-a", "engine-b"):
        context.world.get_standin(name).control(error_status=503)
    account = {"key": context.key, "rate": rate}
    path = write_plan(context, seconds / 3, {"desk": account})
    first = read_load(run_load(path, "--seed", "3"))
    for name in ("engine-a", "engine-b"):
        context.world.get_standin(name).control(error_status=0)
    path = write_plan(context, seconds, {"desk": account})
    second = read_load(run_load(path, "--seed", "4"))
    context.loads = [first, second]


@then("the report counts as many good and bad requests as the load")
def check_live(context):
    section = make_section(
        "objective desk", kind="availability", target=0.999, route="chat"
    )
    context.world.extra = section
    context.base = context.world.write_configuration()[0]
    context.page = context.world.folder / "burn.html"
    context.done = run_report(context, "--json", "--page", context.page)
    (shown,) = orjson.loads(context.done.stdout)["objectives"]
    good = sum(load["all"]["outcomes"].get("answered", 0) for load in context.loads)
    planned = sum(load["planned"] for load in context.loads)
    assert good and planned > good, context.loads
    assert (shown["good"], shown["total"]) == (good, planned), (shown, context.loads)


@then("its exit code is 8, its page has a plot, and its rules name the objective")
def check_outputs(context):
    assert context.done.returncode == 8, context.done
    assert "data:image/png;base64," in context.page.read_text()
    command = [sys.executable, "-m", "mangogauge", "report", "rules", context.base]
    printed = subprocess.run(command, capture_output=True, check=True).stdout
    rules = orjson.loads(printed)["groups"][0]["rules"]
    assert len(rules) == 3
    for rule in rules:
        assert rule["labels"]["objective"] == "desk"
        assert 'route="chat"' in rule["expr"]


def run_report(context, *options):
    command = [sys.executable, "-m", "mangogauge", "report", "burn"]
    command += [context.snapshot_file, "--base", context.base, *options]
    return subprocess.run(list(map(str, command)), capture_output=True)
