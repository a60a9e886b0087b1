"""Run items on trial whose prompts have a part that has crashed endpoints.

Crashes may have had another cause, or the endpoints may have been mended since. Only
an answer shows it, and while all items with the part wait, there is none. So each of
them is run again at long intervals, one at a time over all hosts, until the part has
crashed so many endpoints that it can hardly be by chance.
"""

import curio
import xxhash
from returns.result import Failure

from ..store import Condition, Operation, Transaction
from ..telemetry import get_logger

__all__ = ["ItemTrials", "make_trial_key"]

# Time between an item's trials, and until the first.
TRIAL_INTERVAL_SECONDS = 17.0
# A part that has crashed so many endpoints is hardly sound. Those that are under way
# then end soon; after that time, so many more trials are made at most.
CRASHES_TO_DOUBT = 5
DOUBT_SECONDS = 3.0
MAX_DOUBTFUL_TRIALS = 2
# After this time other hosts have heard of a trial that has crashed its endpoint.
SETTLE_SECONDS = 1.25
# How long after a lock of another host was seen it is tried again.
RETRY_SECONDS = 0.5
LOCK_PREFIX = "quarantine/trials/"

log = get_logger("items")


class ItemTrials:
    """Decides when items may run on trial.

    Parameters
    ----------
    store : Store
    registration : Registration
        Provides the lease on which a trial's lock hangs.
    claimant : str
        Name of this process, unique among all processes.
    part_quarantine : PartQuarantine
    clock : Clock
    settle_seconds : float, optional
        How long after a trial another one of the same part may begin.
    """

    def __init__(
        self,
        store,
        registration,
        claimant,
        part_quarantine,
        clock,
        settle_seconds=SETTLE_SECONDS,
    ):
        self._store = store
        self._registration = registration
        self._claimant = claimant
        self._part_quarantine = part_quarantine
        self._clock = clock
        self._settle_seconds = settle_seconds
        # Locks that this host has, or may have since an answer was lost.
        self._held = set()
        self._doubtful = set()
        # Until when a lock isn't tried again.
        self._blocked_until = {}

    def is_due(self, item, parts):
        """Return whether an item that is held back may be run on trial.

        Parameters
        ----------
        item : OwnedItem
        parts : tuple of str
            The shared parts of its prompt.
        """
        now = self._clock.read_elapsed()
        if item.trial_at is None:
            item.trial_at = now + TRIAL_INTERVAL_SECONDS
        if now < item.trial_at:
            return False
        part = self._find_part(parts)
        return part is not None and not self._is_locked(make_trial_key(part))

    def find_next(self, item, parts):
        """Return the elapsed time from which an item may be due, infinity if never.

        Parameters
        ----------
        item : OwnedItem
        parts : tuple of str
            The shared parts of its prompt.
        """
        if self._find_part(parts) is None:
            return float("inf")
        return max(item.trial_at, self._clock.read_elapsed() + RETRY_SECONDS)

    async def begin(self, item, parts):
        """Begin a trial; return whether no other one of the same part is under way.

        Parameters
        ----------
        item : OwnedItem
        parts : tuple of str
            The shared parts of its prompt.
        """
        part = self._find_part(parts)
        if part is None or not await self._lock(make_trial_key(part)):
            return False
        # A trial that ended meanwhile may have been the last.
        if self._find_part(parts) != part:
            await self._release(make_trial_key(part))
            return False
        item.trial_at = self._clock.read_elapsed() + TRIAL_INTERVAL_SECONDS
        item.trial_part = part
        log.info(
            "item on trial",
            extra={
                "request_id": item.item.item_id,
                "job": item.job.job_id,
                "part": part,
                "crashes": len(self._part_quarantine.list_crash_times(part)),
            },
        )
        return True

    async def end(self, item):
        """End an item's trial; another may begin once all hosts know how it ended."""
        key = make_trial_key(item.trial_part)
        await curio.spawn(self._release_later, key, daemon=True)

    def _find_part(self, parts):
        """Return the part that an item may be run on trial for, or None."""
        culprits = self._part_quarantine.list_culprits(parts)
        if not culprits or any(map(self._is_beyond_doubt, culprits)):
            return None
        return culprits[0]

    def _is_locked(self, key):
        """Return whether a lock is this host's, or was another's a moment ago."""
        if key in self._held and key not in self._doubtful:
            return True
        now = self._clock.read_elapsed()
        return now < self._blocked_until.get(key, now)

    def _is_beyond_doubt(self, part):
        """Return whether a part has crashed so many endpoints that none is tried."""
        times = self._part_quarantine.list_crash_times(part)
        if len(times) < CRASHES_TO_DOUBT:
            return False
        since = times[CRASHES_TO_DOUBT - 1] + DOUBT_SECONDS
        return sum(time > since for time in times) >= MAX_DOUBTFUL_TRIALS

    async def _lock(self, key):
        if key in self._doubtful:
            await self._release(key)
        lease = self._registration.lease
        is_possible = lease is not None and self._registration.is_valid
        if not is_possible or key in self._held:
            return False
        self._held.add(key)
        lock = Operation(key, self._claimant.encode(), lease.lease_id)
        answer = await self._store.transact(Transaction([Condition(key, 0)], [lock]))
        if isinstance(answer, Failure) or not answer.unwrap().succeeded:
            self._blocked_until[key] = self._clock.read_elapsed() + RETRY_SECONDS
            # This write or an earlier one may have taken effect all the same.
            await self._release(key)
            return False
        self._blocked_until.pop(key, None)
        return True

    async def _release_later(self, key):
        await curio.sleep(self._settle_seconds)
        await self._release(key)

    async def _release(self, key):
        """Delete this host's lock; it stays doubtful if the store doesn't answer."""
        self._doubtful.add(key)
        answer = await self._store.get(key)
        if isinstance(answer, Failure):
            return
        lock = answer.unwrap()
        if lock is not None and lock.value == self._claimant.encode():
            deletion = Transaction(
                [Condition(key, lock.mod_revision)], [Operation(key)]
            )
            answer = await self._store.transact(deletion)
            if isinstance(answer, Failure):
                return
        self._doubtful.discard(key)
        self._held.discard(key)


def make_trial_key(part):
    """Return the key of the lock that a trial of a part holds."""
    return LOCK_PREFIX + xxhash.xxh3_64_hexdigest(part.encode())
