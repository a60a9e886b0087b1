"""A worker is killed while it sends answers that end with their connection."""

import time

from review.stage2 import BROKEN, HELD, has_trouble, main, wait_for

WORKERS = [f"w{number}" for number in range(1, 7)]
JOBS = ["job1", "job2", "job3"]
ITEMS_PER_JOB = 12
EVENTS = 200
# Items take 2.4 s: the worker is killed within its first ones.
KILL_AFTER_SECONDS = 1.0
DOWN_SECONDS = 4.0
READ_SECONDS = 60


def play(stage):
    """Return whether each result that is done has the item's whole output."""
    platform = stage.platform
    for name in WORKERS:
        stage.start_worker(name, framing="unframed")
    platform.write_configuration()
    for name in ("front1", "front2"):
        platform.start_host(name)
    for name in ("store1", "store2"):
        platform.start_host(name, "runner")
    platform.wait_until_acquainted()
    for job in JOBS:
        items = [(f"{job}-{n}", "/night/x", EVENTS) for n in range(ITEMS_PER_JOB)]
        answer = platform.submit("front1", job, items)
        stage.note(f"{job} of {ITEMS_PER_JOB} items is answered {answer.status}")
        if answer.status != 202:
            raise RuntimeError("a job was not accepted")
    if not wait_for(lambda: len(stage.read_runs()) >= len(WORKERS), 20):
        raise RuntimeError("no items run")
    time.sleep(KILL_AFTER_SECONDS)
    if has_trouble():
        victim = find_busiest(stage)
        stage.kill_worker(victim)
        time.sleep(DOWN_SECONDS)
        stage.restart_worker(victim)
    results = read_results(stage)
    stage.note_runs()
    return judge(stage, results)


def find_busiest(stage):
    """Return the worker at which most items run."""
    running = {}
    for row in stage.read_runs():
        found = running.setdefault(row["worker"], set())
        (found.add if row["what"] == "begins" else found.discard)(row["id"])
    return max(running, key=lambda name: len(running[name]))


def read_results(stage):
    """Read all results, each once."""
    results = {job: [] for job in JOBS}
    until = time.monotonic() + READ_SECONDS
    while time.monotonic() < until and any(
        len(found) < ITEMS_PER_JOB for found in results.values()
    ):
        for job, found in results.items():
            answer = stage.platform.read_job("front2", job, len(found), 1000)
            if answer.status == 200:
                found.extend(answer.json["results"])
    return results


def judge(stage, results):
    """Compare the results with the outputs."""
    status = HELD
    for job, found in results.items():
        stage.note(f"{job}: {len(found)} of {ITEMS_PER_JOB} results")
        for result in found:
            numbers = [int(line.split("-")[2]) for line in result["text"].split("\n")]
            whole = numbers == list(range(1, EVENTS + 1))
            stage.note(
                f"{result['id']} {result['state']}: {len(numbers)} of {EVENTS} events"
            )
            if result["state"] == "done" and not whole:
                status = BROKEN
        if len(found) < ITEMS_PER_JOB:
            stage.note(f"{job} has not ended")
    return status


if __name__ == "__main__":
    main(__file__, play)
