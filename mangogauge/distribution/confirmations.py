"""Which hosts have a change in force: each is asked itself, none is guessed."""

import curio
import orjson
from attrs import field, frozen
from returns.result import Failure, Success

from ..http import Headers, HTTPError, open_response

__all__ = ["Confirmation", "Confirmations"]

ASK_TIMEOUT = 2.0
ASK_INTERVAL = 0.2


@frozen
class Confirmation:
    """What is known of a change on all hosts.

    Parameters
    ----------
    confirmed : tuple of str
        Names of the hosts that have it in force.
    missing : tuple of str
        Names of the hosts that have not said so.
    seconds : float
        How long it took until all had, or until the wait was given up.
    """

    confirmed = field()
    missing = field()
    seconds = field()


class Confirmations:
    """Ask hosts how far their replicas are.

    Parameters
    ----------
    roster : Roster
    secret : str
        The operators' secret.
    clock : Clock
    interval : float, optional
        Seconds between two rounds of questions.
    """

    def __init__(self, roster, secret, clock, interval=ASK_INTERVAL):
        self._roster = roster
        self._secret = secret
        self._clock = clock
        self._interval = interval

    async def wait(self, replica_name, position, seconds, on_progress=None):
        """Wait until every listed host has reached `position`.

        Parameters
        ----------
        replica_name : str
            ``"configuration"`` or ``"keys"``.
        position : int
        seconds : float
            When to give up.
        on_progress : callable, optional
            Called with a `Confirmation` after each round.

        Returns
        -------
        returns.result.Result
            ``Success(Confirmation)``, or ``Failure(StoreError)`` if the
            roster can't be read.
        """
        started = self._clock.read_elapsed()
        confirmed = {}
        while True:
            listed = await self._roster.list_all()
            if isinstance(listed, Failure):
                return listed
            now = self._clock.read_calendar()
            entries = [e for e in listed.unwrap() if _may_serve(e, now)]
            pending = [e for e in entries if confirmed.get(e.name) != e.incarnation]
            await self._ask_all(pending, replica_name, position, confirmed)
            outcome = self._summarize(entries, confirmed, started)
            if on_progress is not None:
                on_progress(outcome)
            if not outcome.missing or outcome.seconds >= seconds:
                return Success(outcome)
            await curio.sleep(self._interval)

    async def _ask_all(self, entries, replica_name, position, confirmed):
        async with curio.TaskGroup() as group:
            for entry in entries:
                await group.spawn(self._ask, entry, replica_name, position, confirmed)

    async def _ask(self, entry, replica_name, position, confirmed):
        state = await self._read_state(entry)
        if state is None:
            return
        reached = state["positions"].get(replica_name, -1)
        if reached >= position and state["host"] == entry.name:
            confirmed[entry.name] = state["incarnation"]

    async def _read_state(self, entry):
        headers = Headers([("Authorization", f"Bearer {self._secret}")])
        try:
            async with curio.timeout_after(ASK_TIMEOUT):
                response = await open_response(
                    entry.operator_address, "GET", "/state", headers
                )
                return orjson.loads(await response.read())
        except (HTTPError, curio.TaskTimeout, ValueError):
            return None

    def _summarize(self, entries, confirmed, started):
        done = [e.name for e in entries if confirmed.get(e.name) == e.incarnation]
        missing = [e.name for e in entries if e.name not in done]
        elapsed = self._clock.read_elapsed() - started
        return Confirmation(tuple(sorted(done)), tuple(sorted(missing)), elapsed)


def _may_serve(entry, now):
    return entry.seen_at + entry.trust_seconds >= now
