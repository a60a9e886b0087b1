"""A part of prompts that crashes workers after their first event is never found."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import Fleet, Record, Worker, call, make_event_data  # noqa: E402

STABLE_SECONDS = 3.0
CRASHES = 5
MOST_REQUESTS = 3
# The worker is back after some seconds.
BACK_SECONDS = 2.0
# Three heartbeat intervals of silence.
FORGOTTEN_SECONDS = 3.6
# From the first event of the answer to the end of the process.
CRASH_SECONDS = 0.2
HARMFUL_SECONDS = 1.0
SOUND_SECONDS = 0.4
PLAY_SECONDS = 30.0
SHARED_PART, HARMFUL_PART = "5c1e07a2", "91bd3f06"


class CrashingWorker(Worker):
    """A worker that crashes as it begins to write an answer on the harmful part."""

    crash_reporter = None

    async def answer(self, writer, headers, fields):
        """Crash after the first event if the request is harmful, else answer."""
        parts = headers.get("x-prompt-prefix", "")
        if not self.crash_reporter or HARMFUL_PART not in parts:
            await super().answer(writer, headers, fields)
            return
        request_id = headers["x-request-id"]
        self.crash_reporter(self, request_id)
        data = make_event_data(request_id, 1, self.event_bytes)
        event = f"id: 1\ndata: {data}\n\n".encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Request-Id: %b\r\nX-Server-Stamp: stamp.%b\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n"
            % (request_id.encode(), self.name.encode(), len(event), event)
        )
        await writer.drain()
        await asyncio.sleep(CRASH_SECONDS)
        await self.crash()
        raise ConnectionResetError


class Case:
    """One play of the case."""

    def __init__(self, record, trouble):
        self.record = record
        self.trouble = trouble
        self.fleet = Fleet(record)
        self.reached = []
        self.crashes = []
        self.crashed = set()
        self.tasks = set()
        self.starts = 0

    async def start_worker(self):
        """Start one more worker, under a name of its own."""
        self.starts += 1
        worker = CrashingWorker(f"i-{self.starts}", self.record)
        if self.trouble:
            worker.crash_reporter = self.note_crash
        await self.fleet.start_worker(worker, ("brum-a", "notts-b")[self.starts % 2])

    def note_crash(self, worker, request_id):
        """Note that a harmful request has reached a worker, which will crash."""
        self.reached.append((self.record.now, request_id))
        if worker.name not in self.crashed:
            self.crashed.add(worker.name)
            self.spawn(self.replace(worker))

    async def replace(self, worker):
        """Bring a worker back after its crash; its old entry goes later."""
        await asyncio.sleep(CRASH_SECONDS)
        self.crashes.append(self.record.now)
        self.record(f"{worker.name} crashes, crash {len(self.crashes)}")
        await asyncio.sleep(BACK_SECONDS)
        await self.start_worker()
        await asyncio.sleep(FORGOTTEN_SECONDS - BACK_SECONDS)
        self.fleet.store.delete(f"servers/{worker.name}")

    def spawn(self, coroutine):
        """Run a task beside the others."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ask(self, name, parts, front):
        """Send one request of a client; note how it was answered."""
        headers = {
            "X-Api-Key": "key-a",
            "X-Request-Id": name,
            "X-Deadline-Ms": "5000",
            "X-Model": "m",
            "X-Token-Count": "250,16",
            "X-Prompt-Prefix": ",".join(f"{part}:80" for part in parts),
        }
        answer = await call(front, "POST", "/ask/1", headers, name.encode())
        self.record(f"{name} is answered {answer.status}")

    async def send(self, kind, middle, seconds, fronts):
        """Send requests of one kind, no two alike, until cancelled."""
        number = 0
        while True:
            number += 1
            parts = (SHARED_PART, middle, f"{kind}{number:x}")
            front = fronts[number % len(fronts)]
            self.spawn(self.ask(f"{kind}-{number}", parts, front))
            await asyncio.sleep(seconds)

    async def play(self):
        """Send sound and harmful requests; return the exit status."""
        await self.fleet.start_store()
        for _ in range(6):
            await self.start_worker()
        for number, zone in enumerate(("brum-a", "notts-b")):
            self.fleet.start_host(f"front-{number}", "entry.ini", zone)
            self.fleet.start_host(f"store-{number}", "runner.ini", zone)
        await self.fleet.wait_until_ready()
        await asyncio.sleep(4.0)
        fronts = list(self.fleet.fronts.values())
        self.spawn(self.send("sound", "e4402b7d", SOUND_SECONDS, fronts))
        self.spawn(self.send("harmful", HARMFUL_PART, HARMFUL_SECONDS, fronts))
        await asyncio.sleep(PLAY_SECONDS)
        return self.judge()

    def judge(self):
        """Return the exit status by what has reached workers."""
        if not self.trouble:
            return 0
        if len(self.crashes) < CRASHES:
            self.record("fewer than five workers have crashed")
            return 0
        fifth_at = self.crashes[CRASHES - 1]
        late = [row for row in self.reached if row[0] > fifth_at + STABLE_SECONDS]
        self.record(f"the fifth crash was at {fifth_at:.3f}")
        for at, name in late:
            self.record(f"reached a worker later than that + 3 s: {name} at {at:.3f}")
        return 1 if len(late) > MOST_REQUESTS else 0

    async def run(self):
        """Play, and end all processes."""
        try:
            return await self.play()
        finally:
            self.fleet.end()


def main():
    """Write the record; return the exit status."""
    record = Record(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        status = asyncio.run(Case(record, trouble).run())
    except Exception as error:
        record(f"could not run: {error!r}")
        status = 2
    record(f"exit {status}")
    return status


if __name__ == "__main__":
    sys.exit(main())
