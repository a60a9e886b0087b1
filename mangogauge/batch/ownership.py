"""The lease that a host's claims hang on, and what its end means."""

import enum

import curio
from attrs import field, frozen
from returns.result import Failure

from ..store import StoreRefusedError

__all__ = ["Continuation", "HostLease", "LapsePolicy", "LeaseSight", "PlatformSight"]

RENEWALS_PER_LEASE = 3


class PlatformSight:
    """Whether the platform answers this host.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self.answers = True
        self.seen_at = clock.read_elapsed()
        self._returned_at = -float("inf")

    @property
    def silent_seconds(self):
        """Time since the platform's last answer."""
        return self._clock.read_elapsed() - self.seen_at

    def note(self, result):
        """Note the result of a call; return it."""
        failed = isinstance(result, Failure)
        refused = failed and isinstance(result.failure(), StoreRefusedError)
        self.note_answer(refused or not failed)
        return result

    def note_answer(self, answered):
        """Note whether a call was answered."""
        if not answered:
            self.answers = False
            return
        now = self._clock.read_elapsed()
        if not self.answers:
            self._returned_at = now
        self.answers, self.seen_at = True, now

    def has_returned_within(self, seconds):
        """Return whether an outage ended less than `seconds` ago."""
        return self._clock.read_elapsed() - self._returned_at < seconds


class HostLease:
    """One lease for all claims of a host.

    Parameters
    ----------
    store : Store
    clock : Clock
    sight : PlatformSight
    """

    def __init__(self, store, clock, sight):
        self._store = store
        self._clock = clock
        self._sight = sight
        self._lease = None
        self._lock = curio.Lock()

    @property
    def lease_id(self):
        """The platform's id of the lease; 0 if there is none."""
        return self._lease.lease_id if self._lease else 0

    @property
    def is_valid(self):
        """Whether the lease certainly lives, by this host's clock."""
        if self._lease is None:
            return False
        return self._clock.read_elapsed() < self._lease.valid_until

    @property
    def is_due(self):
        """Whether it is time to renew."""
        if self._lease is None:
            return True
        left = self._lease.valid_until - self._clock.read_elapsed()
        return left < self._lease.seconds * (1 - 1 / RENEWALS_PER_LEASE)

    async def ensure(self, seconds):
        """Grant or renew the lease where due; return whether it lives.

        Notes
        -----
        A lease that the platform no longer knows is replaced by a new one;
        claims that hung on the old one are gone with it.
        """
        async with self._lock:
            if self.is_due:
                await self._renew(seconds)
        return self.is_valid

    async def release(self):
        """Give the lease back, and with it every claim."""
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.revoke_lease(lease)

    async def _renew(self, seconds):
        if self._lease is not None:
            renewed = self._sight.note(await self._store.renew_lease(self._lease))
            if not isinstance(renewed, Failure):
                self._lease = renewed.unwrap()
                return
            if not isinstance(renewed.failure(), StoreRefusedError):
                return
            self._lease = None
        granted = self._sight.note(await self._store.grant_lease(seconds))
        if not isinstance(granted, Failure):
            self._lease = granted.unwrap()


class Continuation(enum.Enum):
    """What an owner does with its chunks."""

    GO_ON = "go on"
    STOP = "stop"


@frozen
class LeaseSight:
    """What a host knows when it decides whether to go on.

    Parameters
    ----------
    lease_valid : bool
    silent_seconds : float
        Time since the platform last answered this host.
    peer_sees_platform : bool
        Whether a live peer says that the platform answers it.
    held : int
        Results that wait to be committed.
    """

    lease_valid = field()
    silent_seconds = field()
    peer_sees_platform = field()
    held = field()


class LapsePolicy:
    """Decide whether chunks go on once their lease may have ended.

    While no one is known to reach the platform, no other host can have taken
    the chunks over, and stopping would waste the outage. As soon as a peer
    reaches it, this host is the one that is cut off, and gives way.

    Parameters
    ----------
    outage_seconds : float
        Longest silence of the platform for which items are started.
    held_items : int
        Largest number of results that wait.

    Examples
    --------
    >>> policy = LapsePolicy(outage_seconds=60, held_items=100)
    >>> policy.decide(LeaseSight(False, 20, peer_sees_platform=True, held=0)).value
    'stop'
    """

    def __init__(self, outage_seconds, held_items):
        self._outage_seconds = outage_seconds
        self._held_items = held_items

    def may_start(self, sight):
        """Return whether another item may be started."""
        if sight.held >= self._held_items:
            return False
        return self.decide(sight) is Continuation.GO_ON

    def decide(self, sight):
        """Return a `Continuation` for the items that run."""
        if sight.lease_valid:
            return Continuation.GO_ON
        if sight.peer_sees_platform or sight.silent_seconds > self._outage_seconds:
            return Continuation.STOP
        return Continuation.GO_ON
