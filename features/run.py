"""Run all features; pass over just the failures that KNOWN-RED.txt lists.

Usage: ``python -m features.run [--jobs N] [behave's arguments]``.

Feature files run side by side, each in a process of its own; every scenario has
a loopback address of its own, so they don't meet.
"""

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from textwrap import indent

import orjson
from attrs import field, frozen
from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "
DEFAULT_JOBS = 8
WORKER = "--worker"
REASON_CHARACTERS = 1500
BEHAVE_DEFAULTS = ("--no-color", "--format", "progress2", "--no-capture-hooks")


@frozen
class Outcome:
    """What became of some scenarios."""

    ran = field()
    failed = field(converter=frozenset)
    broken = field(default=False)
    reasons = field(factory=dict)


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
    if arguments[:1] == [WORKER]:
        return run_worker(arguments[1:])
    jobs = DEFAULT_JOBS
    if arguments[:1] == ["--jobs"]:
        jobs, arguments = int(arguments[1]), arguments[2:]
    config = Configuration(list(arguments))
    options = [a for a in arguments if a not in config.paths]
    files = find_files(config.paths or [ROOT / "features"])
    with ThreadPoolExecutor(jobs) as pool:
        outcomes = list(pool.map(lambda file: run_file(file, options), files))
    return report(outcomes)


def find_files(paths):
    """Return the feature files under `paths`, the largest first."""
    files = set()
    for path in map(Path, paths):
        files.update(path.rglob("*.feature") if path.is_dir() else [path])
    return sorted(files, key=lambda file: (-file.stat().st_size, file))


def run_file(file, options):
    """Run one feature file in a process of its own and print its output."""
    command = [sys.executable, "-m", "features.run", WORKER, str(file), *options]
    environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
    done = subprocess.run(command, capture_output=True, text=True, env=environment)
    *lines, last = done.stdout.splitlines() or [""]
    outcome = read_outcome(file, last)
    # What was logged to standard error matters only where something failed.
    errors = done.stderr if outcome.failed else ""
    print("\n".join(line for line in lines if line), errors, flush=True)
    return outcome


def read_outcome(file, line):
    """Read a worker's last line; a worker that died has failed as a whole."""
    try:
        return Outcome(**orjson.loads(line))
    except (ValueError, TypeError):
        return Outcome(0, [f"{file}: {line}"], broken=True)


def run_worker(arguments):
    """Run behave in this process; the last line of output is the outcome."""
    runner = Runner(Configuration([*BEHAVE_DEFAULTS, *arguments]))
    failed_at_large = runner.run()
    scenarios = [s for f in runner.features for s in f.walk_scenarios()]
    ran = [s for s in scenarios if s.status not in (Status.skipped, Status.untested)]
    bad = [s for s in ran if s.status != Status.passed]
    outcome = {
        "ran": len(ran),
        "failed": sorted({s.name.strip() for s in bad}),
        "broken": failed_at_large,
        "reasons": {s.name.strip(): describe_failure(s) for s in bad},
    }
    print(orjson.dumps(outcome).decode(), flush=True)
    return 0


def describe_failure(scenario):
    """Return which steps of a scenario failed, and how, shortened."""
    steps = [s for s in scenario.all_steps if s.status.has_failed()]
    lines = [f"{s.keyword} {s.name}: {s.error_message or s.status.name}" for s in steps]
    text = "\n".join(lines) or scenario.error_message or scenario.status.name
    return text[:REASON_CHARACTERS]


def report(outcomes):
    """Print what failed and return the exit code."""
    failed = frozenset().union(*(outcome.failed for outcome in outcomes))
    known = failed & read_known_red()
    reasons = {n: r for outcome in outcomes for n, r in outcome.reasons.items()}
    for name in sorted(failed, key=lambda name: (name not in known, name)):
        word = "known red" if name in known else "failed"
        print(f"{word}: {name}\n{indent(reasons.get(name, ''), '    ')}")
    ran = sum(outcome.ran for outcome in outcomes)
    print(f"{ran - len(failed)} passed, {len(failed - known)} failed")
    broken = any(o.broken and not o.failed for o in outcomes)
    return 1 if failed - known or broken or not ran else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
