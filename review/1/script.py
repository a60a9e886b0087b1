"""Results that are ready while the platform's store is down are never listed."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import Fleet, Record, Worker, read_results, submit  # noqa: E402

# The figures of the class catalogue-batch and of the troubles in mmsc-shopfront.toml.
ITEMS = 24
MOST_EVENTS = 352
EVENT_BYTES = 390
DOWN_SECONDS = 4.5
FINISH_SECONDS = 18.0
EVENT_SECONDS = 0.02


async def run(record, trouble):
    """Play the case; return the exit status."""
    fleet = Fleet(record)
    try:
        return await play(fleet, record, trouble)
    finally:
        fleet.end()


async def play(fleet, record, trouble):
    """Submit one job, take the store down, and read what is listed."""
    await fleet.start_store()
    zones = ("brum-a", "notts-b")
    for number in range(6):
        worker = Worker(
            f"i-{number}",
            record,
            event_seconds=EVENT_SECONDS,
            event_bytes=EVENT_BYTES,
        )
        await fleet.start_worker(worker, zones[number % 2])
    for number, zone in enumerate(zones):
        fleet.start_host(f"front-{number}", "entry.ini", zone)
        fleet.start_host(f"store-{number}", "runner.ini", zone)
    await fleet.wait_until_ready()
    await asyncio.sleep(4.0)
    fronts = list(fleet.fronts.values())
    # Items of different lengths, so that they end one after the other.
    items = [(f"item-{n:02d}", MOST_EVENTS - 10 * n) for n in range(ITEMS)]
    answer = await submit(fronts[0], "job-1", items)
    record(f"job-1 with {ITEMS} items: {answer.status}")
    if answer.status != 202:
        return 2
    await asyncio.sleep(2.0)
    if trouble:
        record(f"the store is down for {DOWN_SECONDS} s")
        await fleet.store.pause(DOWN_SECONDS)
        record("the store is back")
    else:
        await asyncio.sleep(DOWN_SECONDS)
    for _ in range(int(FINISH_SECONDS) + 7):
        await asyncio.sleep(1.0)
        results, status = await read_results(fronts[1], "job-1")
        record(
            f"read: status {status}, {len(results)} of {ITEMS} listed,"
            f" {sum(len(w.running) for w in fleet.workers.values())} running,"
            f" {fleet.store.refused} writes refused for their size"
        )
        if len(results) == ITEMS:
            break
    if status != 200:
        return 2
    listed = {row["id"] for row in results}
    missing = [item_id for item_id, _ in items if item_id not in listed]
    record(f"never listed: {missing}")
    return 1 if missing else 0


def main():
    """Write the record; return the exit status."""
    record = Record(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        status = asyncio.run(run(record, trouble))
    except Exception as error:
        record(f"could not run: {error!r}")
        status = 2
    record(f"exit {status}")
    return status


if __name__ == "__main__":
    sys.exit(main())
