"""Results that are ready while the platform's store is down are never listed."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import ZONES, Case, Worker, read_results, submit  # noqa: E402

# The figures of the class catalogue-batch and of the troubles in mmsc-shopfront.toml.
ITEMS = 24
MOST_EVENTS = 352
EVENT_BYTES = 390
DOWN_SECONDS = 4.5
FINISH_SECONDS = 18.0
EVENT_SECONDS = 0.02
WORKERS = 6


class OutageCase(Case):
    """One job, and one outage of the store while its items end."""

    async def play(self):
        """Submit one job, take the store down, and read what is listed."""
        await self.fleet.start_store()
        for number in range(WORKERS):
            worker = Worker(
                f"i-{number}",
                self.record,
                event_seconds=EVENT_SECONDS,
                event_bytes=EVENT_BYTES,
            )
            await self.fleet.start_worker(worker, ZONES[number % len(ZONES)])
        await self.fleet.start_hosts()
        first, second = self.fleet.fronts.values()
        # Items of different lengths, so that they end one after the other.
        items = [(f"item-{n:02d}", MOST_EVENTS - 10 * n) for n in range(ITEMS)]
        answer = await submit(first, "job-1", items)
        self.record(f"job-1 with {ITEMS} items: {answer.status}")
        if answer.status != 202:
            return 2
        await asyncio.sleep(2.0)
        await self.pause_store()
        return await self.judge(second, items)

    async def pause_store(self):
        """Take the store down for a while, unless there is no trouble."""
        if not self.trouble:
            await asyncio.sleep(DOWN_SECONDS)
            return
        self.record(f"the store is down for {DOWN_SECONDS} s")
        await self.fleet.store.pause(DOWN_SECONDS)
        self.record("the store is back")

    async def judge(self, front, items):
        """Read the job until its items must be listed; return the exit status."""
        for _ in range(int(FINISH_SECONDS) + 7):
            await asyncio.sleep(1.0)
            results, status = await read_results(front, "job-1")
            running = sum(len(w.running) for w in self.fleet.workers.values())
            self.record(
                f"read: status {status}, {len(results)} of {len(items)} listed,"
                f" {running} running, {self.fleet.store.refused} writes refused for"
                " their size"
            )
            if len(results) == len(items):
                break
        if status != 200:
            return 2
        listed = {row["id"] for row in results}
        left = self.list_left_lying([item_id for item_id, _ in items], listed)
        self.record(f"left lying: {left}")
        return 1 if left else 0


if __name__ == "__main__":
    OutageCase.main(FOLDER)
