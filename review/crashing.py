"""Workers that crash on harmful requests, and come back after some seconds."""

import asyncio

from standins import FORGOTTEN_SECONDS, ZONES, Case, Worker, call, make_event_data

BACK_SECONDS = 2.0
STABLE_SECONDS = 3.0
WORKERS = 6


class CrashingWorker(Worker):
    """A worker that crashes as it begins to answer a harmful request.

    Parameters
    ----------
    name : str
    case : CrashCase
        Says which requests are harmful, and is told of them.
    """

    def __init__(self, name, case):
        super().__init__(name, case.record)
        self._case = case

    async def answer(self, writer, headers, fields):
        """Answer a sound request; crash on a harmful one."""
        if not self._case.trouble or not self._case.is_harmful(headers):
            await super().answer(writer, headers, fields)
            return
        self._case.note_harmful(self, headers["x-request-id"])
        if self._case.writes_first_event:
            writer.write(self._make_beginning(headers["x-request-id"]))
            await writer.drain()
        await asyncio.sleep(self._case.crash_seconds)
        await self.crash()
        raise ConnectionResetError

    def _make_beginning(self, request_id):
        """Return the head of an answer and its first event."""
        data = make_event_data(request_id, 1, self.event_bytes)
        event = f"id: 1\ndata: {data}\n\n"
        rows = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request_id}",
            f"X-Server-Stamp: stamp.{self.name}",
            "Transfer-Encoding: chunked",
            "",
            f"{len(event):x}",
            event,
        ]
        return "\r\n".join([*rows, ""]).encode()


class CrashCase(Case):
    """A case with workers that crash.

    Attributes
    ----------
    crash_seconds : float
        From the beginning of the answer to the end of the process.
    writes_first_event : bool
        Whether the answer's first event comes before the crash.
    crashes : list of float
        When workers have crashed.
    reached : list of (float, str)
        When which harmful request has reached a worker.
    """

    crash_seconds = 0.03
    writes_first_event = False

    def __init__(self, record, trouble):
        super().__init__(record, trouble)
        self.crashes = []
        self.reached = []
        self._crashed = set()
        self._starts = 0

    def is_harmful(self, headers):
        """Return whether a request crashes its worker."""
        raise NotImplementedError

    def note_harmful(self, worker, request_id):
        """Note that a harmful request has reached a worker, which will crash."""
        self.reached.append((self.record.now, request_id))
        if worker.name not in self._crashed:
            self._crashed.add(worker.name)
            self.spawn(self._replace(worker))

    async def start(self):
        """Start the store, the workers and the hosts."""
        await self.fleet.start_store()
        for _ in range(WORKERS):
            await self._start_worker()
        await self.fleet.start_hosts()

    async def ask(self, name, front, body, **headers):
        """Send one request of a client; note how it was answered."""
        fields = {
            "X-Api-Key": "key-a",
            "X-Request-Id": name,
            "X-Deadline-Ms": "5000",
            "X-Model": "m",
            "X-Token-Count": "250,16",
            **headers,
        }
        answer = await call(front, "POST", "/ask/1", fields, body)
        self.record(f"{name} is answered {answer.status}")

    def judge(self, crashes, most):
        """Return 1 if more than `most` came later than `STABLE_SECONDS` after a crash.

        Parameters
        ----------
        crashes : int
            Number of the crash from which on they count.
        most : int
        """
        if len(self.crashes) < crashes:
            self.record(f"fewer than {crashes} workers have crashed")
            return 0
        since = self.crashes[crashes - 1]
        self.record(f"crash {crashes} was at {since:.3f}")
        late = [row for row in self.reached if row[0] > since + STABLE_SECONDS]
        for at, name in late:
            self.record(f"reached a worker later than that + 3 s: {name} at {at:.3f}")
        return 1 if len(late) > most else 0

    async def _start_worker(self):
        """Start one more worker, under a name of its own."""
        self._starts += 1
        worker = CrashingWorker(f"i-{self._starts}", self)
        await self.fleet.start_worker(worker, ZONES[self._starts % len(ZONES)])

    async def _replace(self, worker):
        """Bring a worker back after its crash; its old entry goes later."""
        await asyncio.sleep(self.crash_seconds)
        self.crashes.append(self.record.now)
        self.record(f"{worker.name} crashes, crash {len(self.crashes)}")
        await asyncio.sleep(BACK_SECONDS)
        await self._start_worker()
        await asyncio.sleep(FORGOTTEN_SECONDS - BACK_SECONDS)
        self.fleet.store.delete(f"servers/{worker.name}")
