"""Run a scenario again and again beside busy processes, and print how often it fails.

Usage: ``python -m features.repeat FEATURE [--name TEXT] [--runs N] [--at-once M]
[--busy K] [--seed S]``. It isn't part of continuous integration: it shows the rate of
a failure that is rare or needs a busy machine, and keeps the logs of runs that failed.
"""

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

from attrs import field, frozen
from cyclopts import App

from .run import WORKER, read_outcome

WRONG_INPUT = 2
MAX_RUNS = 10_000
MAX_PROCESSES = 200
BUSY_LOOP = "while True: pass"

app = App(help=__doc__.splitlines()[0])


class RepeatError(Exception):
    """The command can't be run as it was asked for."""


@frozen
class Repetition:
    """What is run, and how often.

    Parameters
    ----------
    feature : Path
    name : str
        Part of the scenarios' names; empty for all.
    seed : int
        Seed of the first run's hashes; each later run has the next one.
    """

    feature = field()
    name = field()
    seed = field()

    def run(self, number):
        """Run once more; return the `Outcome`."""
        options = ["-n", self.name] if self.name else []
        command = [sys.executable, "-m", "features.run", WORKER, str(self.feature)]
        environment = {**os.environ, "PYTHONHASHSEED": str(self.seed + number)}
        done = subprocess.run(
            [*command, *options], capture_output=True, text=True, env=environment
        )
        last = (done.stdout.splitlines() or [""])[-1]
        outcome = read_outcome(self.feature, last)
        self._print(number, outcome)
        return outcome

    def _print(self, number, outcome):
        load = os.getloadavg()[0]
        words = f"run {number}, seed {self.seed + number}, load average {load:.1f}"
        for name in sorted(outcome.failed):
            reason = outcome.reasons.get(name, "no reason is known")
            print(f"{words}: failed: {name}\n{reason}", flush=True)


@app.default
def repeat(
    feature: Path,
    *,
    name: str = "",
    runs: int = 30,
    at_once: int = 1,
    busy: int = 0,
    seed: int = 1,
):
    """Run the scenarios of a feature file repeatedly.

    Parameters
    ----------
    feature
        The feature file.
    name
        Part of the scenarios' names; all of the file's if not given.
    runs
        How often to run them.
    at_once
        How many runs at the same time.
    busy
        How many processes keep the machine busy beside them.
    seed
        Seed of the first run's hashes.
    """
    check_input(feature, runs, at_once, busy, seed)
    repetition = Repetition(feature, name, seed)
    with keep_busy(busy), ThreadPoolExecutor(at_once) as pool:
        outcomes = list(pool.map(repetition.run, range(runs)))
    if not any(outcome.ran for outcome in outcomes):
        raise RepeatError(f"no scenario of {feature} has {name!r} in its name")
    failed = sum(bool(outcome.failed) for outcome in outcomes)
    print(f"{failed} of {runs} runs failed, {at_once} at once beside {busy} busy")


def check_input(feature, runs, at_once, busy, seed):
    """Raise `RepeatError` if the command can't be run so."""
    if not feature.is_file():
        raise RepeatError(f"there is no feature file {feature}")
    bounds = {
        "--runs": (runs, 1, MAX_RUNS),
        "--at-once": (at_once, 1, MAX_PROCESSES),
        "--busy": (busy, 0, MAX_PROCESSES),
        "--seed": (seed, 0, 2**32 - 1 - MAX_RUNS),
    }
    for option, (value, least, most) in bounds.items():
        if not least <= value <= most:
            raise RepeatError(f"{option} must be from {least} to {most}, not {value}")


@contextmanager
def keep_busy(count):
    """Run so many processes that never sleep; end them by their handles."""
    command = [sys.executable, "-c", BUSY_LOOP]
    processes = [subprocess.Popen(command) for _ in range(count)]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


def main():
    """Run the command and return its exit code."""
    try:
        app()
    except RepeatError as error:
        print(error, file=sys.stderr)
        return WRONG_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
