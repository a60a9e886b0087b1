"""What the demo does to its fleet, and what must hold afterwards."""

import time
from collections import Counter

import curio
import orjson
from attrs import asdict, define, field, frozen

from .callers import Answer, ask, ask_chat, make_item, read_tokens, upload, wait_until
from .deployment import Deployment

__all__ = ["Check", "DemoOptions", "DemoReport", "run_demo"]

WAIT_SECONDS = 120
STREAM_TOKENS = 24
LONG_STREAM_TOKENS = 250
ITEM_TOKENS = 4
FAIL_MARK = "NEVER-SUCCEEDS"
KILLED_ENGINE = "engine-west-2"
DRAINED_HOST = "east-2"
STARTS_BEFORE_KILL = 60
REPEATS = 5
FLOOD = 60


@frozen
class DemoOptions:
    """How much the demo does.

    Parameters
    ----------
    items : int
        Items of the batch job.
    failing : int
        How many of them can never succeed.
    streams : int
        Online streams through each host that stays.
    bookings : int
        Calls of the plain service, which may not be repeated.
    """

    items = field(default=200)
    failing = field(default=3)
    streams = field(default=12)
    bookings = field(default=20)


@frozen
class Check:
    """Something that had to hold."""

    name = field()
    held = field()
    seen = field()


@define
class DemoReport:
    """What happened.

    Parameters
    ----------
    checks : list of Check
    seconds : float
    """

    checks = field(factory=list)
    seconds = field(default=0.0)

    @property
    def held(self):
        """Whether everything held."""
        return bool(self.checks) and all(check.held for check in self.checks)

    def add(self, name, held, seen):
        """Add a check."""
        self.checks.append(Check(name, bool(held), seen))

    def to_dict(self):
        """Return what ``--json`` prints."""
        checks = [asdict(check) for check in self.checks]
        return {"held": self.held, "seconds": round(self.seconds, 1), "checks": checks}


async def run_demo(options=None, on_progress=None):
    """Run the demo and return its `DemoReport`.

    Parameters
    ----------
    options : DemoOptions, optional
    on_progress : callable, optional
        Called with the number of batch items done and their total.
    """
    started = time.monotonic()
    demo = _Demo(options or DemoOptions(), on_progress or (lambda done, total: None))
    await demo.fleet.start()
    try:
        await demo.run()
    finally:
        await demo.fleet.stop()
    demo.report.seconds = time.monotonic() - started
    return demo.report


class _Demo:
    def __init__(self, options, on_progress):
        self.options = options
        self.fleet = Deployment()
        self.report = DemoReport()
        self._on_progress = on_progress
        self._repeated = 0
        self._keys = {}

    async def run(self):
        """Do everything; the parts that belong together run at once."""
        for name in ("desk", "shops", "small"):
            self._keys[name], _ = await self.fleet.grant_key(name)
        withdrawn, withdrawn_id = await self.fleet.grant_key("shops")
        for key in (*self._keys.values(), withdrawn):
            await self._wait_for_key(key, 200)
        job = await self._submit_batch()
        async with curio.TaskGroup() as group:
            await group.spawn(self._run_streams)
            await group.spawn(self._run_bookings)
            await group.spawn(self._withdraw_key, withdrawn, withdrawn_id)
            await group.spawn(self._kill_engine)
            await group.spawn(self._drain_host)
            await group.spawn(self._use_up_rate)
        _raise_failure(group)
        await self._check_batch(job)

    async def _wait_for_key(self, key, status):
        """Return whether every host comes to answer `key` with `status`."""

        async def is_so():
            answers = [await self._list_models(host, key) for host in self._hosts]
            return all(answer.status == status for answer in answers)

        return await wait_until(is_so, WAIT_SECONDS)

    @property
    def _hosts(self):
        return [name for name in self.fleet.hosts if name != DRAINED_HOST]

    async def _list_models(self, host, key):
        return await ask(self.fleet.get_address(host), key, "GET", "/v1/models")

    async def _run_streams(self):
        """Stream chats through every host that stays, two at a time each."""
        wrong = []
        async with curio.TaskGroup() as group:
            for host in self._hosts:
                for half in range(2):
                    numbers = range(half, self.options.streams, 2)
                    await group.spawn(self._stream_each, host, numbers, wrong)
        _raise_failure(group)
        total = len(self._hosts) * self.options.streams
        seen = f"{total} streams, {len(wrong)} wrong, {self._repeated} repeated"
        self.report.add("each stream is whole and its caller's own", not wrong, seen)

    async def _stream_each(self, host, numbers, wrong):
        for number in numbers:
            prompt = f"{host} asks for brooch {number}"
            if not await self._stream_one(host, prompt):
                wrong.append(prompt)

    async def _stream_one(self, host, prompt):
        """Return whether the stream was right; one that broke off is repeated."""
        address, key = self.fleet.get_address(host), self._keys["desk"]
        for _ in range(REPEATS):
            answer = await ask_chat(address, key, prompt, STREAM_TOKENS)
            text = read_tokens(answer)
            if text is not None:
                return text == await self._read_reference(prompt, STREAM_TOKENS)
            self._repeated += 1
        return False

    async def _read_reference(self, prompt, max_tokens):
        """Return what an engine says when it is asked without a host between."""
        address = self.fleet.get_engine_address("engine-east-1")
        return read_tokens(await ask_chat(address, "", prompt, max_tokens))

    async def _run_bookings(self):
        """Book through hosts in turn; a booking may not run twice."""
        hosts = self._hosts
        answers = {}
        for number in range(self.options.bookings):
            address = self.fleet.get_address(hosts[number % len(hosts)])
            reference = f"booking-{number}"
            answers[reference] = await ask(
                address,
                self._keys["desk"],
                "POST",
                f"/bookings/{number}",
                reference.encode(),
                [("X-Reference", reference)],
            )
        runs = Counter()
        for service in self.fleet.services.values():
            runs.update(service.runs)
        own = [r for r, a in answers.items() if (a.status, a.body) == (200, r.encode())]
        twice = [call for call, count in runs.items() if count > 1]
        self.report.add(
            "each booking is answered with its own result, and ran once",
            len(own) == len(answers) == len(runs) and not twice,
            f"{len(own)} of {len(answers)} answered, {len(twice)} ran twice",
        )

    async def _withdraw_key(self, key, key_id):
        await curio.sleep(0.2)
        started = time.monotonic()
        await self.fleet.withdraw_key(key_id)
        stopped = await self._wait_for_key(key, 401)
        seconds = time.monotonic() - started
        good = await self._wait_for_key(self._keys["shops"], 200)
        self.report.add(
            "the withdrawn key stops at every host, its account's other key does not",
            stopped and good,
            f"after {seconds:.2f} s",
        )

    async def _kill_engine(self):
        async def is_busy():
            return self.fleet.count_started() >= STARTS_BEFORE_KILL

        busy = await wait_until(is_busy, WAIT_SECONDS)
        await self.fleet.kill(KILLED_ENGINE)
        prompt = "is anybody there?"
        answers = [await self._stream_one(host, prompt) for host in self._hosts]
        self.report.add(
            "an endpoint is killed while work runs, and every host serves on",
            busy and all(answers),
            f"{KILLED_ENGINE} killed, {sum(answers)} of {len(answers)} hosts serve",
        )

    async def _drain_host(self):
        address, key = self.fleet.get_address(DRAINED_HOST), self._keys["desk"]
        prompt = "a long story"
        streaming = await curio.spawn(
            ask_chat, address, key, prompt, LONG_STREAM_TOKENS
        )
        await self._wait_until_busy(DRAINED_HOST)
        await self.fleet.drain(DRAINED_HOST)
        answer = await streaming.join()
        text = read_tokens(answer)
        right = text is not None
        right = right and text == await self._read_reference(prompt, LONG_STREAM_TOKENS)
        refused = await ask(address, key, "GET", "/v1/models")
        self.report.add(
            "a host is drained, and the stream that it was serving is whole",
            right and refused == Answer(0),
            f"{DRAINED_HOST} drained, {len((text or '').split())} tokens",
        )

    async def _wait_until_busy(self, host):
        async def is_busy():
            return self.fleet.hosts[host].callers.busy_count > 0

        await wait_until(is_busy, WAIT_SECONDS)

    async def _use_up_rate(self):
        """Send far more than a small client account's burst."""
        address, key = self.fleet.get_address("west-1"), self._keys["small"]
        answers = [await ask_chat(address, key, "more", 1) for _ in range(FLOOD)]
        counts = Counter(answer.status for answer in answers)
        errors = [a.value["error"] for a in answers if a.status == 429]
        true = all(e["executed"] == "no" and e["retry_after"] > 0 for e in errors)
        self.report.add(
            "a client account above its rate is refused, and told when to come again",
            errors and true and set(counts) <= {200, 429},
            f"{counts[200]} served, {counts[429]} refused of {FLOOD}",
        )

    async def _submit_batch(self):
        lines = [self._make_line(number) for number in range(self.options.items)]
        address, key = self.fleet.get_address("west-1"), self._keys["shops"]
        file = (await upload(address, key, b"\n".join(lines))).value
        request = {
            "input_file_id": file["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        }
        body = orjson.dumps(request)
        return (await ask(address, key, "POST", "/v1/batches", body)).value["id"]

    def _make_line(self, number):
        prompt = f"catalogue item {number}"
        if number < self.options.failing:
            prompt += f" {FAIL_MARK}"
        return make_item(f"item-{number}", prompt, ITEM_TOKENS)

    async def _check_batch(self, job_id):
        """Wait for the job and read it at a host of the other data centre."""
        address, key = self.fleet.get_address("east-1"), self._keys["shops"]
        job = {}

        async def has_ended():
            answer = await ask(address, key, "GET", f"/v1/batches/{job_id}")
            if answer.status == 200:
                job.update(answer.value)
                counts = job["request_counts"]
                done = counts["completed"] + counts["failed"]
                self._on_progress(done, self.options.items)
            return job.get("status") == "completed"

        ended = await wait_until(has_ended, WAIT_SECONDS)
        good, bad, names = await self._read_results(address, key, job)
        wanted = {f"item-{number}" for number in range(self.options.items)}
        self.report.add(
            "the batch job is done, each item once",
            ended and set(names) == wanted and len(names) == len(wanted),
            f"{len(names)} results of {len(wanted)} items",
        )
        self.report.add(
            "just the items that can't succeed have failed",
            good == self.options.items - self.options.failing
            and bad == {f"item-{number}" for number in range(self.options.failing)},
            f"{good} succeeded, {len(bad)} failed",
        )

    async def _read_results(self, address, key, job):
        """Return how many succeeded, the names of the others, and all names."""
        files = [job.get("output_file_id"), job.get("error_file_id")]
        names, bad, good = [], set(), 0
        for file_id in filter(None, files):
            answer = await ask(address, key, "GET", f"/v1/files/{file_id}/content")
            for line in answer.body.splitlines():
                result = orjson.loads(line)
                names.append(result["custom_id"])
                if (result["response"] or {}).get("status_code") == 200:
                    good += 1
                else:
                    bad.add(result["custom_id"])
        return good, bad, names


def _raise_failure(group):
    """Raise what a task of the group raised: a check that ended holds nothing."""
    if group.exception is not None:
        raise group.exception
