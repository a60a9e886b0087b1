"""All workers of a service crash once while a batch backlog with one prompt waits."""

import time

from review.stage2 import BROKEN, HELD, has_trouble, main, wait_for

WORKERS = [f"w{number}" for number in range(1, 7)]
SLOTS = 8
JOBS = ["job1", "job2", "job3", "job4"]
ITEMS_PER_JOB = 40
EVENTS = 200
SHARED_PART = "5c1e07a2:100"
CRASH_AFTER_SECONDS = 1.0
DOWN_SECONDS = 1.0
# Bounds of the pages.
FINISH_SECONDS = 18.0
CALM_SECONDS = 5.0
QUIET_SECONDS = 3.0
FAILED_SECONDS = 20.0
READ_SECONDS = 60.0


def play(stage):
    """Return whether each item that could be done was listed in time."""
    platform = stage.platform
    for name in WORKERS:
        stage.start_worker(name)
    platform.write_configuration()
    for name in ("front1", "front2"):
        platform.start_host(name)
    for name in ("store1", "store2"):
        platform.start_host(name, "runner")
    platform.wait_until_acquainted()
    for job in JOBS:
        submit(stage, job)
    if not wait_for(lambda: len(stage.read_runs()) >= len(WORKERS) * SLOTS, 20):
        raise RuntimeError("the workers did not get their items")
    time.sleep(CRASH_AFTER_SECONDS)
    if has_trouble():
        for name in WORKERS:
            stage.kill_worker(name)
    ended_at = time.time()
    stage.note("traffic has ended")
    if has_trouble():
        time.sleep(DOWN_SECONDS)
        for name in WORKERS:
            stage.restart_worker(name)
    time.sleep(ended_at + FINISH_SECONDS - time.time())
    listed = {job: list_results(stage, job, 10) for job in JOBS}
    runs = stage.read_runs()
    status = judge(stage, listed, runs, time.time())
    follow(stage)
    stage.note_runs()
    return status


def submit(stage, job):
    """Submit a job whose items share the first part of their prompts."""
    items = [(f"{job}-{n}", "/night/x", EVENTS) for n in range(ITEMS_PER_JOB)]
    parts = ("X-Prompt-Prefix", f"{SHARED_PART},{job}:250")
    answer = stage.platform.submit("front1", job, items, [parts])
    stage.note(f"{job} of {ITEMS_PER_JOB} items is answered {answer.status}")
    if answer.status != 202:
        raise RuntimeError("a job was not accepted")


def list_results(stage, job, seconds):
    """Return the results that are listed now, by item."""
    found = {}
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        answer = stage.platform.read_job("front2", job, len(found))
        if answer.status != 200:
            continue
        rows = answer.json["results"]
        if not rows:
            break
        found.update((row["id"], row["state"]) for row in rows)
    return found


def judge(stage, listed, runs, now):
    """Apply the rule, with its excuses, to the items that are not listed."""
    last_seen, unended = {}, {}
    for row in runs:
        last_seen[row["id"]] = row["at"]
        unended[row["id"]] = row["what"] == "begins"
    finished = [row["at"] for row in runs if row["what"] == "ends"]
    if any(at > now - QUIET_SECONDS for at in finished):
        stage.note(f"items were finished in the last {QUIET_SECONDS} s: not judged")
        return HELD
    status = HELD
    for job, found in listed.items():
        stage.note(f"{job}: {len(found)} of {ITEMS_PER_JOB} are listed")
        items = [f"{job}-{n}" for n in range(ITEMS_PER_JOB)]
        missing = [item for item in items if item not in found]
        if any(was_had(item, last_seen, unended, now) for item in missing):
            stage.note(f"{job}: a worker had one of them in the last {CALM_SECONDS} s")
            continue
        lying = [i for i in missing if now - last_seen.get(i, 0.0) > FAILED_SECONDS]
        stage.note(f"{job}: {len(lying)} lie that were not at a worker for 20 s")
        if lying:
            status = BROKEN
    return status


def was_had(item, last_seen, unended, now):
    """Return whether a worker had an item in the last seconds.

    Runs that a crash ended have no line of their own: they began before it.
    """
    seen = last_seen.get(item, 0.0)
    if seen > now - CALM_SECONDS:
        return True
    return unended.get(item, False) and seen > now - FINISH_SECONDS


def follow(stage):
    """Write to the record when the items are listed at last."""
    until = time.monotonic() + READ_SECONDS
    counts = {}
    while time.monotonic() < until:
        found = {job: len(list_results(stage, job, 5)) for job in JOBS}
        if found != counts:
            counts = found
            stage.note(f"listed: {found}")
        if all(count == ITEMS_PER_JOB for count in found.values()):
            return
        time.sleep(0.5)


if __name__ == "__main__":
    main(__file__, play)
