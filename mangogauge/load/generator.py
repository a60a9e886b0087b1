"""Send a plan's requests, each at its own time whatever the others do."""

import curio
import orjson

from ..errors import MangogaugeError
from ..http import ClientPool, Headers, HTTPConnectError, HTTPError
from .plan import make_arrivals
from .tally import Outcome, Sample, Tally

__all__ = ["LoadGenerator"]


class LoadGenerator:
    """An open-loop generator.

    Parameters
    ----------
    plan : LoadPlan
    seed : int
    clock : Clock
    observe : callable, optional
        Called with each `Sample`.

    Notes
    -----
    A request starts at its planned time even if earlier ones have not ended,
    and its latency counts from that time, not from when it was sent: a server
    that stalls is charged for all the requests that would have come meanwhile.
    """

    def __init__(self, plan, seed, clock, observe=None):
        self._plan = plan
        self._clock = clock
        self._observe = observe or (lambda sample: None)
        self._arrivals = make_arrivals(plan, seed)
        self._keys = {account.name: account.key for account in plan.accounts}
        self._pool = ClientPool()
        self.tally = Tally()

    @property
    def planned(self):
        """Number of requests in the plan."""
        return len(self._arrivals)

    async def run(self):
        """Send everything and wait for the answers; return the `Tally`."""
        started = self._clock.read_elapsed()
        async with curio.TaskGroup(wait=all) as group:
            for arrival in self._arrivals:
                left = started + arrival.at - self._clock.read_elapsed()
                if left > 0:
                    await curio.sleep(left)
                await group.spawn(self._send, arrival, started + arrival.at)
        await self._pool.close()
        return self.tally

    async def _send(self, arrival, intended):
        late = self._clock.read_elapsed() - intended
        try:
            async with curio.timeout_after(self._plan.settings.deadline):
                sample = await self._exchange(arrival, intended, late)
        except curio.TaskTimeout:
            sample = self._fail(arrival, intended, late, Outcome.BROKEN)
        except HTTPConnectError:
            sample = self._fail(arrival, intended, late, Outcome.UNREACHED)
        except (HTTPError, MangogaugeError):
            sample = self._fail(arrival, intended, late, Outcome.BROKEN)
        self.tally.add(sample)
        self._observe(sample)

    async def _exchange(self, arrival, intended, late):
        settings = self._plan.settings
        response = await self._pool.request(
            arrival.host,
            "POST",
            settings.path,
            self._make_headers(arrival),
            self._make_body(arrival),
        )
        times = []
        pieces = []
        try:
            async for piece in response.iterate():
                times.append(self._clock.read_elapsed())
                pieces.append(piece)
        finally:
            await response.close()
        ended = self._clock.read_elapsed()
        good = response.status == 200
        return Sample(
            at=arrival.at,
            account=arrival.account,
            host=arrival.host,
            outcome=Outcome.ANSWERED if good else Outcome.REFUSED,
            status=response.status,
            code="" if good else _read_code(b"".join(pieces)),
            seconds=ended - intended,
            first=(times[0] if times else ended) - intended,
            between=tuple(b - a for a, b in zip(times, times[1:], strict=False)),
            late=late,
        )

    def _fail(self, arrival, intended, late, outcome):
        return Sample(
            at=arrival.at,
            account=arrival.account,
            host=arrival.host,
            outcome=outcome,
            seconds=self._clock.read_elapsed() - intended,
            late=late,
        )

    def _make_headers(self, arrival):
        headers = Headers([("Content-Type", "application/json")])
        key = self._keys[arrival.account]
        if key:
            headers.add("Authorization", f"Bearer {key}")
        milliseconds = round(self._plan.settings.deadline * 1000)
        headers.add("X-Deadline-Ms", str(milliseconds))
        return headers

    def _make_body(self, arrival):
        settings = self._plan.settings
        return orjson.dumps(
            {
                "model": settings.model,
                "messages": [{"role": "user", "content": arrival.prompt}],
                "max_tokens": arrival.max_tokens,
                "stream": settings.stream,
            }
        )


def _read_code(body):
    try:
        return orjson.loads(body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return "unreadable"
