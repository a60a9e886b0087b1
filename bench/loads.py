"""Run ``mangogauge load`` against a deployment and read what it prints."""

import itertools
import subprocess
import sys
from pathlib import Path

import orjson
from attrs import field, frozen

from features.builders import make_section

_numbers = itertools.count()


@frozen
class LoadResult:
    """What a load printed, and its samples."""

    summary = field()
    samples = field()

    def get_percentile(self, name, measure="seconds", account=None):
        """Return a percentile such as ``p99`` of all or of one account."""
        part = self.summary["accounts"][account] if account else self.summary["all"]
        return part[measure].get(name, 0.0)

    def count(self, outcome, account=None):
        """Return how many requests ended so."""
        part = self.summary["accounts"][account] if account else self.summary["all"]
        return part["outcomes"].get(outcome, 0)

    @property
    def items_done(self):
        return sum(job["done"] for job in self.summary["jobs"])


class Load:
    """One run of the generator, started at once.

    Parameters
    ----------
    deployment : Deployment
    accounts : dict of str to dict
        Options of the plan's account sections; keys are filled in.
    seconds : float
    seed : int
    hosts : list of str, optional
        Where to send; the deployment's hosts if absent.
    **options
        Options of the plan's load section.
    """

    def __init__(
        self, deployment, accounts, seconds, seed, hosts=None, grace=1.0, **options
    ):
        number = next(_numbers)
        folder = Path(deployment.world.folder)
        plan = folder / f"plan{number}.ini"
        self._samples = folder / f"samples{number}.jsonl"
        hosts = ", ".join(hosts or deployment.hosts)
        parts = [make_section("load", hosts=hosts, seconds=seconds, **options)]
        for name, account in accounts.items():
            key = deployment.keys[name]
            parts.append(make_section(f"account {name}", key=key, **account))
        plan.write_text("\n".join(parts))
        command = [sys.executable, "-m", "mangogauge", "load", plan, "--seed", seed]
        command += ["--samples", self._samples, "--job-grace", grace]
        self._process = subprocess.Popen(
            [str(part) for part in command], stdout=subprocess.PIPE
        )

    def finish(self):
        """Wait for its end; return a `LoadResult`."""
        output, _ = self._process.communicate()
        summary = orjson.loads(output.splitlines()[-1])
        rows = self._samples.read_bytes().splitlines()
        return LoadResult(summary, [orjson.loads(row) for row in rows])


def run_load(*arguments, **options):
    """Run a load to its end."""
    return Load(*arguments, **options).finish()
