"""Stand-in for a model engine with continuous batching.

Requests are admitted as they arrive, without priorities. A step takes longer
the more requests run in it; a prompt whose prefix is cached is cheaper. Tokens
depend on the prompt only, so a stream can be resumed at another engine.
"""

import os
import time
from collections import OrderedDict, deque

import curio
import orjson
import xxhash
from attrs import define, field

from ..http import Headers, HTTPServer, ServerLimits
from .answers import read_json, send_json

__all__ = ["Engine", "EngineOptions"]

CRASH_MARK = "CRASH-ENGINE"
FAIL_MARK = "NEVER-SUCCEEDS"
PREFIX_BLOCK_CHARACTERS = 64
CHARACTERS_PER_TOKEN = 4
IDLE_INTERVAL = 0.005
DEFAULT_MAX_TOKENS = 16
RECORDS_KEPT = 200_000


@define
class EngineOptions:
    """How fast the engine is, and what it does wrong.

    Parameters
    ----------
    models : tuple of str
    step_seconds : float
        Time of a step with one request running.
    running_seconds : float
        Time that each further running request adds to a step.
    prefill_seconds : float
        Time that each prompt token which is not cached adds to a step.
    slots : int
        Largest number of requests running at once; others wait in order.
    cache_blocks : int
        Number of prefix blocks kept.
    load_lag : float
        Seconds by which the load report is old.
    fencing : bool
        Whether orders with an old fencing number are refused.
    slowness : float
        Factor on the time of each step.
    hanging : bool
        Whether steps stand still.
    leaving : bool
        Whether the engine says that it is leaving.
    error_status : int
        Answer every request at once with this status; 0 for none.
    """

    models = field(default=("small",), converter=tuple)
    step_seconds = field(default=0.004)
    running_seconds = field(default=0.0004)
    prefill_seconds = field(default=0.00005)
    slots = field(default=32)
    cache_blocks = field(default=4096)
    load_lag = field(default=1.0)
    fencing = field(default=True)
    slowness = field(default=1.0)
    hanging = field(default=False)
    leaving = field(default=False)
    error_status = field(default=0)


@define(eq=False)
class _Generation:
    """One request within the engine."""

    request_id = field()
    prompt = field()
    max_tokens = field()
    produced = field()
    tokens = field(factory=curio.Queue)
    cancelled = field(default=False)
    prompt_tokens = field(default=0)


class Engine:
    """An engine behind an HTTP port.

    Parameters
    ----------
    options : EngineOptions, optional
    exit_process : callable, optional
        What a crash does; ends the process if absent.
    """

    def __init__(self, options=None, exit_process=None):
        self.options = options or EngineOptions()
        self._exit = exit_process or (lambda: os._exit(139))
        self._waiting = deque()
        self._running = []
        self._cache = OrderedDict()
        self._reports = deque([(0.0, self._measure_load())])
        self._fencing_number = 0
        self.records = deque(maxlen=RECORDS_KEPT)
        self.server = HTTPServer(self.handle, ServerLimits())

    async def handle(self, exchange):
        """Serve one request."""
        handlers = {
            "/v1/chat/completions": self._complete,
            "/v1/completions": self._complete,
            "/load": self._report_load,
            "/order": self._take_order,
            "/control": self._control,
        }
        handler = handlers.get(exchange.path)
        if handler is None:
            await send_json(exchange, 404, {"error": {"message": "not found"}})
            return
        await handler(exchange)

    async def run_steps(self):
        """Run batching steps until cancelled."""
        while True:
            self._note_load()
            if self.options.hanging or not (self._running or self._waiting):
                await curio.sleep(IDLE_INTERVAL)
                continue
            seconds = self._admit_waiting()
            seconds += self.options.step_seconds
            seconds += self.options.running_seconds * len(self._running)
            await curio.sleep(seconds * self.options.slowness)
            await self._produce_tokens()

    def _admit_waiting(self):
        """Move waiting requests into the batch; return their prefill time."""
        fresh_tokens = 0
        while self._waiting and len(self._running) < self.options.slots:
            generation = self._waiting.popleft()
            if generation.cancelled:
                continue
            self._running.append(generation)
            fresh_tokens += self._count_uncached(generation.prompt)
        return fresh_tokens * self.options.prefill_seconds

    def _count_uncached(self, prompt):
        digest = xxhash.xxh3_64()
        uncached = 0
        for start in range(0, len(prompt), PREFIX_BLOCK_CHARACTERS):
            block = prompt[start : start + PREFIX_BLOCK_CHARACTERS]
            digest.update(block.encode())
            key = digest.intdigest()
            if key in self._cache:
                self._cache.move_to_end(key)
                continue
            self._cache[key] = True
            uncached += len(block)
        while len(self._cache) > self.options.cache_blocks:
            self._cache.popitem(last=False)
        return uncached // CHARACTERS_PER_TOKEN

    async def _produce_tokens(self):
        remaining = []
        for generation in self._running:
            if generation.cancelled:
                continue
            token = _make_token(generation.prompt, generation.produced)
            generation.produced += 1
            await generation.tokens.put(token)
            if generation.produced < generation.max_tokens:
                remaining.append(generation)
            else:
                await generation.tokens.put(None)
        self._running = remaining

    async def _complete(self, exchange):
        request = await read_json(exchange)
        if self.options.error_status:
            error = {"error": {"message": "The engine is broken."}}
            await send_json(exchange, self.options.error_status, error)
            return
        prompt = _read_prompt(request)
        request_id = exchange.headers.get("x-request-id", "")
        self._record("started", exchange, request_id)
        if CRASH_MARK in prompt:
            self._exit()
        if FAIL_MARK in prompt:
            error = {"error": {"message": "The prompt is not allowed."}}
            await send_json(exchange, 400, error)
            return
        generation = _Generation(
            request_id=request_id,
            prompt=prompt,
            max_tokens=int(request.get("max_tokens") or DEFAULT_MAX_TOKENS),
            produced=int(exchange.headers.get("x-resume-from", 0)),
            prompt_tokens=max(1, len(prompt) // CHARACTERS_PER_TOKEN),
        )
        if generation.produced < generation.max_tokens:
            self._waiting.append(generation)
        else:
            await generation.tokens.put(None)
        try:
            answer = _Answer(exchange, request, generation)
            await answer.send()
            self._record("finished", exchange, request_id)
        finally:
            if generation.produced < generation.max_tokens:
                generation.cancelled = True
                self._record("cancelled", exchange, request_id)

    async def _report_load(self, exchange):
        now = time.monotonic()
        while len(self._reports) > 1 and self._reports[1][0] <= self._lagged(now):
            self._reports.popleft()
        await send_json(exchange, 200, self._reports[0][1])

    async def _take_order(self, exchange):
        order = await read_json(exchange)
        number = int(order.get("fencing_number", 0))
        if self.options.fencing and number < self._fencing_number:
            await send_json(exchange, 409, {"fencing_number": self._fencing_number})
            return
        self._fencing_number = max(number, self._fencing_number)
        if order["kind"] == "load":
            self.options.models = (*self.options.models, order["model"])
        await send_json(exchange, 200, {"fencing_number": self._fencing_number})

    async def _control(self, exchange):
        request = await read_json(exchange)
        for name, value in request.items():
            setattr(self.options, name, value)
        answer = {
            "records": list(self.records),
            "running": len(self._running),
            "waiting": len(self._waiting),
        }
        await send_json(exchange, 200, answer)

    def _record(self, what, exchange, request_id):
        attempt_id = exchange.headers.get("x-attempt-id", "")
        seen = sorted(name.lower() for name, _ in exchange.headers)
        self.records.append(
            {
                "what": what,
                "request": request_id,
                "attempt": attempt_id,
                "headers": seen,
            }
        )

    def _measure_load(self):
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "slots": self.options.slots,
            "models": list(self.options.models),
            "leaving": self.options.leaving,
        }

    def _note_load(self):
        now = time.monotonic()
        load = self._measure_load()
        if load != self._reports[-1][1]:
            self._reports.append((now, load))
        while len(self._reports) > 1 and self._reports[1][0] <= self._lagged(now):
            self._reports.popleft()

    def _lagged(self, now):
        return now - self.options.load_lag


class _Answer:
    """Write a generation's tokens in the OpenAI shapes."""

    def __init__(self, exchange, request, generation):
        self._exchange = exchange
        self._generation = generation
        self._is_chat = exchange.path.endswith("chat/completions")
        self._stream = bool(request.get("stream"))
        usage_wanted = request.get("stream_options") or {}
        self._usage_wanted = bool(usage_wanted.get("include_usage"))
        self._model = request.get("model", "")
        self._id = f"cmpl-{generation.request_id}"
        self._first = generation.produced

    async def send(self):
        """Send the whole answer, as a stream or in one piece."""
        if self._stream:
            await self._send_stream()
            return
        text = "".join([token async for token in self._iterate_tokens()])
        await send_json(self._exchange, 200, self._make_whole(text))

    async def _send_stream(self):
        headers = Headers(
            [
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-cache"),
                ("Transfer-Encoding", "chunked"),
            ]
        )
        await self._exchange.start_response(200, headers)
        async for token in self._iterate_tokens():
            await self._send_event(self._make_chunk(token, None))
        await self._send_event(self._make_chunk("", "length"))
        if self._usage_wanted:
            await self._send_event(
                {**self._make_base(True), "choices": [], "usage": self._make_usage()}
            )
        await self._exchange.send_data(b"data: [DONE]\n\n")
        await self._exchange.finish()

    async def _iterate_tokens(self):
        while True:
            token = await self._generation.tokens.get()
            if token is None:
                return
            yield token

    async def _send_event(self, value):
        await self._exchange.send_data(b"data: " + orjson.dumps(value) + b"\n\n")

    def _make_base(self, chunk):
        kind = "chat.completion" if self._is_chat else "text_completion"
        if chunk and self._is_chat:
            kind += ".chunk"
        return {
            "id": self._id,
            "object": kind,
            "created": int(time.time()),
            "model": self._model,
        }

    def _make_chunk(self, token, reason):
        choice = {"index": 0, "finish_reason": reason}
        if self._is_chat:
            choice["delta"] = {"content": token} if token else {}
        else:
            choice["text"] = token
        return {**self._make_base(True), "choices": [choice]}

    def _make_whole(self, text):
        choice = {"index": 0, "finish_reason": "length"}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            **self._make_base(False),
            "choices": [choice],
            "usage": self._make_usage(),
        }

    def _make_usage(self):
        prompt = self._generation.prompt_tokens
        completion = self._generation.produced - self._first
        return {
            "prompt_tokens": prompt,
            "completion_tokens": completion,
            "total_tokens": prompt + completion,
        }


def _read_prompt(request):
    if "messages" in request:
        return "\n".join(str(m.get("content", "")) for m in request["messages"])
    prompt = request.get("prompt", "")
    return prompt if isinstance(prompt, str) else orjson.dumps(prompt).decode()


def _make_token(prompt, index):
    digest = xxhash.xxh3_64_intdigest(f"{index}:{prompt}".encode())
    return f"w{digest % 10_000} "
