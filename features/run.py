"""Run all features; pass over just the failures that KNOWN-RED.txt lists.

Usage: ``python -m features.run [behave's arguments]``.
"""

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_red():
    """Return the names of scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def main(arguments):
    """Run and return the exit code."""
    defaults = ["--no-color", "--format", "progress2", "--no-capture-hooks"]
    config = Configuration([*defaults, *arguments])
    if not config.paths:
        config.paths = [str(ROOT / "features")]
    runner = Runner(config)
    failed_at_large = runner.run()
    scenarios = [s for f in runner.features for s in f.walk_scenarios()]
    ran = [s for s in scenarios if s.status not in (Status.skipped, Status.untested)]
    failed = {s.name for s in ran if s.status != Status.passed}
    known = failed & read_known_red()
    for name in sorted(known):
        print(f"known red: {name}")
    for name in sorted(failed - known):
        print(f"failed: {name}")
    print(f"{len(ran) - len(failed)} passed, {len(failed - known)} failed")
    broken = failed_at_large and not failed
    return 1 if failed - known or broken or not ran else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
