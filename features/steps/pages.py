"""Steps that check pages against what they speak of."""

import re
from pathlib import Path

from behave import then

from mangogauge.settings.reference import make_reference

ROOT = Path(__file__).parent.parent.parent
FEATURE_PATTERN = re.compile(r"features/[\w/]+\.feature")
DAY_PATTERN = re.compile(r"`fleetbench (?:run|score|hunt|sweep)`")
RUN_PATTERN = re.compile(
    r"`((?:bench\.\w+)|control|parts|proxy|harm|fair|limits|batch|faults)`"
)


def read_rows(path):
    """Return the rows of all tables of a page, without their heads."""
    lines = (ROOT / path).read_text().splitlines()
    rows = []
    for before, line in zip(["", *lines], lines, strict=False):
        is_head = line.startswith("|") and not before.startswith("|")
        if line.startswith("|") and not is_head and not line.startswith("|---"):
            rows.append(line)
    return rows


@then('"{path}" is what "report settings" prints')
def check_reference(context, path):
    assert (ROOT / path).read_text() == make_reference()


@then(
    'each line of "{path}" names features that exist,'
    " a section of the measurements, or says that it is not proved"
)
def check_promises(context, path):
    rows = read_rows(path)
    assert rows
    measured = (ROOT / "docs/measurements.md").read_text()
    for row in rows:
        features = FEATURE_PATTERN.findall(row)
        for feature in features:
            assert (ROOT / feature).exists(), feature
        names = RUN_PATTERN.findall(row) if "measurements.md" in row else []
        for name in names:
            assert f"## `{name}`" in measured, name
        assert features or names or "not proved" in row, row


@then('each line of figures of "{path}" names a run, or says that it is not measured')
def check_figures(context, path):
    rows = [row for row in read_rows(path) if re.search(r"\d", row)]
    assert rows
    for row in rows:
        assert names_run(row) or "not measured" in row, row


def names_run(row):
    """Return whether a line names an experiment, a played day or a feature."""
    features = FEATURE_PATTERN.findall(row)
    assert all((ROOT / feature).exists() for feature in features), row
    return RUN_PATTERN.search(row) or DAY_PATTERN.search(row) or features
