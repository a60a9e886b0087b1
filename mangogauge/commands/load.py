"""``mangogauge load``: send load from a seeded plan and measure it."""

import sys
from contextlib import ExitStack
from pathlib import Path

import curio
import orjson
from attrs import asdict
from rich.console import Console
from rich.progress import Progress

from ..clock import SystemClock
from ..load import LoadGenerator, Outcome, read_plan
from ..load.jobs import run_jobs
from ..settings import SettingsError
from .exits import ExitCode
from .output import print_error, print_json

__all__ = ["load"]

JOB_GRACE_SECONDS = 5.0


def load(
    plan: Path,
    *,
    seed: int = 0,
    samples: Path | None = None,
    job_grace: float = JOB_GRACE_SECONDS,
):
    """Send load and print counts and latencies as one line of JSON.

    Parameters
    ----------
    plan
        INI file with [load] and [account NAME] sections.
    seed
        Seed of arrivals, lengths and hosts.
    samples
        File that takes one JSON line for each request.
    job_grace
        Seconds for which batch jobs are waited for after the last request.
    """
    try:
        read = read_plan(plan)
    except (SettingsError, OSError) as error:
        print_error(str(error))
        sys.exit(ExitCode.USAGE)
    with ExitStack() as stack:
        observers = _open_observers(stack, samples)
        clock = SystemClock()
        generator = LoadGenerator(
            read, seed, clock, lambda sample: [see(sample) for see in observers]
        )
        if sys.stderr.isatty():
            observers.append(_show_progress(stack, generator.planned))
        jobs = curio.run(_run, generator, read, clock, job_grace)
    value = {
        "seed": seed,
        "planned": generator.planned,
        **generator.tally.summarize(),
        "jobs": [asdict(job) for job in jobs],
    }
    print_json(value)
    if generator.planned and not generator.tally.count(Outcome.ANSWERED):
        sys.exit(ExitCode.FAILED)


async def _run(generator, plan, clock, job_grace):
    until = clock.read_elapsed() + plan.settings.seconds + job_grace
    following = await curio.spawn(run_jobs, plan, clock, until)
    await generator.run()
    return await following.join()


def _open_observers(stack, samples):
    if samples is None:
        return []
    file = stack.enter_context(samples.open("wb"))

    def write(sample):
        value = {**asdict(sample), "outcome": sample.outcome.value}
        file.write(orjson.dumps(value) + b"\n")

    return [write]


def _show_progress(stack, planned):
    progress = stack.enter_context(Progress(console=Console(stderr=True)))
    task = progress.add_task("requests", total=planned)
    return lambda sample: progress.advance(task)
