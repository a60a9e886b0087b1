"""Run single requests and items on trial whose part has crashed endpoints.

Crashes may have had another cause, or the endpoints may have been mended since. Only
an answer shows it, and while all that has the part waits, there is none. So one
request or item at a time is run again, over all hosts, until the part has crashed so
many endpoints that it can hardly be by chance.
"""

import curio
import orjson
import xxhash
from returns.result import Failure

from ..store import Condition, Operation, Transaction
from ..telemetry import get_logger
from .schedule import count_late, find_quick_time, find_slow_time

__all__ = ["PartTrials", "make_trial_key", "make_tries_key"]

# Crashes and trials after a part is hardly sound any more.
MAX_LATE_TRIALS = 2
# A crash so long after a trial's begin is that trial's. Each host that passes on when a
# crash was seen may tell an earlier time.
TRIAL_SECONDS = 3.0
EARLY_SECONDS = 1.0
# After this time other hosts have heard of a trial that has crashed its endpoint.
SETTLE_SECONDS = 1.25
# How long the store may take to tell of earlier trials.
STORE_SECONDS = 0.5
# How long after a lock of another host was seen it is tried again.
RETRY_SECONDS = 0.5
# How long trials count. No part is in quarantine for longer.
LEASE_SECONDS = 600.0
LOCK_PREFIX = "quarantine/trials/"
TRIES_PREFIX = "quarantine/tries/"

log = get_logger("crashes")


class PartTrials:
    """Decides when a part may be tried, for requests and items.

    A trial holds a lock in the store, and is recorded there: crashes that no host has
    noted, as those of a host that has ended, count by their trials.

    Parameters
    ----------
    store : Store
    registration : Registration
        Provides the lease on which a trial's lock hangs.
    claimant : str
        Name of this process, unique among all processes.
    part_quarantine : PartQuarantine
    clock : Clock
    is_first : callable, optional
        Returns whether this host alone may try without the store.
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
        is_first=lambda: False,
        settle_seconds=SETTLE_SECONDS,
    ):
        self._store = store
        self._registration = registration
        self._claimant = claimant
        self._part_quarantine = part_quarantine
        self._clock = clock
        self._is_first = is_first
        self._settle_seconds = settle_seconds
        # Locks that this host has, or may have since an answer was lost.
        self._held = set()
        self._doubtful = set()
        # Parts whose trial here began without the store.
        self._alone = set()
        # Parts whose last trial here was not run.
        self._unrun = set()
        # Until when a lock isn't tried again.
        self._blocked_until = {}
        # When trials have begun, as last read or made, by the part's name.
        self._tries = {}
        # Leases of the records of trials that this host has written.
        self._leases = {}

    def find_part(self, parts):
        """Return the part that a trial would be of; None if there is to be none.

        Parameters
        ----------
        parts : tuple of str
            The shared parts of a prompt.
        """
        culprits = self._part_quarantine.list_culprits(parts)
        if not culprits or any(map(self._is_beyond_doubt, culprits)):
            return None
        return culprits[0]

    def find_time(self, parts, slow_at=None):
        """Return the elapsed time from which a trial may begin, infinity if never.

        Parameters
        ----------
        parts : tuple of str
        slow_at : float, optional
            When one is due in any case; by default what is right for a request.
        """
        if not self._part_quarantine.list_culprits(parts):
            # It is only suspected, and will be known in a moment.
            return self._clock.read_elapsed()
        part = self.find_part(parts)
        if part is None:
            return float("inf")
        due_at = self._find_due(part, slow_at)
        return max(due_at, self._blocked_until.get(make_trial_key(part), due_at))

    def may_be_sound(self, parts):
        """Return whether nothing but crashes tells against a part that is to be tried.

        Parameters
        ----------
        parts : tuple of str
        """
        part = self.find_part(parts)
        if part is None or self._part_quarantine.has_followed(part):
            return False
        return self._find_quick(part) < float("inf")

    def is_due(self, parts, slow_at=None):
        """Return whether a trial may begin now; see `find_time`."""
        part = self.find_part(parts)
        if part is None:
            return False
        key = make_trial_key(part)
        if key in self._held and key not in self._doubtful:
            return False
        return self._clock.read_elapsed() >= self.find_time(parts, slow_at)

    def take_turn(self, parts, slow_at=None):
        """Return whether a trial is due, and let no other be for a moment."""
        if not self.is_due(parts, slow_at):
            return False
        self._block(self.find_part(parts))
        return True

    async def begin(self, parts, slow_at=None, may_be_alone=False):
        """Begin a trial; return its part, or None if there is to be none now.

        Parameters
        ----------
        parts : tuple of str
        slow_at : float, optional
        may_be_alone : bool, optional
            Whether a trial without the store is of use.
        """
        part = self.find_part(parts)
        if part is None:
            return None
        if not await self._lock(part, slow_at, may_be_alone):
            return None
        if not self._part_quarantine.list_culprits((part,)):
            # An answer has cleared it meanwhile.
            await self._release(part)
            return None
        log.info(
            "part on trial",
            extra={
                "part": part,
                "crashes": len(self._part_quarantine.list_crash_times(part)),
                "tries": len(self._tries.get(part, [])),
                "ambiguous": self._part_quarantine.is_ambiguous(part),
            },
        )
        return part

    async def end(self, part, has_run=True):
        """End a trial; another may begin once all hosts know how it ended.

        Parameters
        ----------
        part : str
        has_run : bool, optional
            Whether an endpoint may have run what was tried; else it doesn't count.
        """
        if not has_run:
            self._unrun.add(part)
        seconds = self._settle_seconds if has_run else 0.0
        await curio.spawn(self._release_later, part, seconds, daemon=True)

    def _find_due(self, part, slow_at):
        if slow_at is None:
            slow_at = find_slow_time(self._list_events(part))
        return min(slow_at, self._find_quick(part))

    def _find_quick(self, part):
        if not self._part_quarantine.is_ambiguous(part):
            return float("inf")
        has_followed = self._part_quarantine.has_followed(part)
        return find_quick_time(self._list_events(part), has_followed)

    def _list_events(self, part):
        """Return the times of a part's crashes, and of trials without one, in order."""
        crashes = self._part_quarantine.list_crash_times(part)
        lone = [
            began_at
            for began_at in self._tries.get(part, [])
            if not any(
                began_at - EARLY_SECONDS <= at <= began_at + TRIAL_SECONDS
                for at in crashes
            )
        ]
        return sorted(crashes + lone)

    def _is_beyond_doubt(self, part):
        """Return whether a part has crashed so many endpoints that none is tried."""
        return count_late(self._list_events(part)) >= MAX_LATE_TRIALS

    async def _lock(self, part, slow_at, may_be_alone):
        key = make_trial_key(part)
        if key in self._doubtful:
            await self._release(part)
        if key in self._held:
            return False
        self._held.add(key)
        try:
            return await self._take_lock(part, slow_at, may_be_alone)
        except BaseException:
            # Whoever was to be tried has left; the lock may be written all the same.
            await self.end(part, has_run=False)
            raise

    async def _take_lock(self, part, slow_at, may_be_alone):
        """Return whether a trial may begin; if not, its lock is held no longer."""
        key = make_trial_key(part)
        lease = self._registration.lease
        is_possible = lease is not None and self._registration.is_valid
        revision = None
        if is_possible:
            async with curio.ignore_after(STORE_SECONDS):
                revision = await self._read_tries(part)
        if revision is None and not (may_be_alone and self._is_first()):
            self._block(part)
        elif self._is_still_due(part, slow_at):
            if revision is None:
                self._alone.add(part)
                self._add_try(part)
                return True
            if await self._write_lock(part, lease, revision):
                self._blocked_until.pop(key, None)
                return True
            self._block(part)
            # This write or an earlier one may have taken effect all the same.
            await self._release(part)
            return False
        self._held.discard(key)
        return False

    def _is_still_due(self, part, slow_at):
        """Return whether a trial is due by all that is known of earlier ones."""
        if self._is_beyond_doubt(part):
            return False
        return self._clock.read_elapsed() >= self._find_due(part, slow_at)

    def _block(self, part):
        until = self._clock.read_elapsed() + RETRY_SECONDS
        self._blocked_until[make_trial_key(part)] = until

    def _add_try(self, part):
        now = self._clock.read_elapsed()
        self._tries[part] = [*self._tries.get(part, []), now]

    async def _read_tries(self, part):
        """Read when a part was tried; return the record's revision, None if unknown."""
        answer = await self._store.get(make_tries_key(part))
        if isinstance(answer, Failure):
            return None
        record = answer.unwrap()
        self._merge_tries(part, record)
        return 0 if record is None else record.mod_revision

    def _merge_tries(self, part, record):
        if record is None:
            self._tries.pop(part, None)
            return
        offset = self._clock.read_calendar() - self._clock.read_elapsed()
        try:
            times = [float(at) - offset for at in orjson.loads(record.value)]
        except (ValueError, TypeError) as error:
            log.warning("record of trials is invalid", extra={"reason": repr(error)})
            return
        self._tries[part] = sorted(times)

    async def _write_lock(self, part, lease, revision):
        """Write a trial's lock and record; return whether that has succeeded."""
        granted = await self._store.grant_lease(LEASE_SECONDS)
        if isinstance(granted, Failure):
            return False
        self._add_try(part)
        self._leases[part] = granted.unwrap().lease_id
        key, tries_key = make_trial_key(part), make_tries_key(part)
        answer = await self._store.transact(
            Transaction(
                [Condition(key, 0), Condition(tries_key, revision)],
                [
                    Operation(key, self._claimant.encode(), lease.lease_id),
                    Operation(tries_key, self._encode_tries(part), self._leases[part]),
                ],
            )
        )
        if not isinstance(answer, Failure) and answer.unwrap().succeeded:
            return True
        # It is read again before the next trial.
        self._tries[part].pop()
        return False

    async def _release_later(self, part, seconds):
        if seconds:
            await curio.sleep(seconds)
        await self._release(part)

    async def _release(self, part):
        """Delete this host's lock; it stays doubtful if the store doesn't answer.

        Notes
        -----
        The trials of a part that has proved to be sound count no more, nor does one
        that was not run.
        """
        key = make_trial_key(part)
        if part in self._alone:
            self._correct_tries(part)
            self._alone.discard(part)
            self._unrun.discard(part)
            self._held.discard(key)
            return
        self._doubtful.add(key)
        answer = await self._store.get(key)
        if isinstance(answer, Failure):
            return
        lock = answer.unwrap()
        if lock is not None and lock.value == self._claimant.encode():
            operations = [Operation(key), *self._correct_tries(part)]
            deletion = Transaction([Condition(key, lock.mod_revision)], operations)
            answer = await self._store.transact(deletion)
            if isinstance(answer, Failure):
                return
        self._doubtful.discard(key)
        self._held.discard(key)
        self._unrun.discard(part)

    def _correct_tries(self, part):
        """Return the operations that take trials out of the record, if any."""
        times = self._tries.get(part, [])
        if not self._part_quarantine.list_culprits((part,)):
            times = []
        elif part in self._unrun:
            times = times[:-1]
        else:
            return []
        self._tries[part] = times
        lease_id = self._leases.get(part)
        if not times or lease_id is None:
            return [Operation(make_tries_key(part))]
        return [Operation(make_tries_key(part), self._encode_tries(part), lease_id)]

    def _encode_tries(self, part):
        offset = self._clock.read_calendar() - self._clock.read_elapsed()
        return orjson.dumps([round(at + offset, 3) for at in self._tries[part]])


def make_trial_key(part):
    """Return the key of the lock that a trial of a part holds."""
    return LOCK_PREFIX + xxhash.xxh3_64_hexdigest(part.encode())


def make_tries_key(part):
    """Return the key of the record of when a part was tried."""
    return TRIES_PREFIX + xxhash.xxh3_64_hexdigest(part.encode())
