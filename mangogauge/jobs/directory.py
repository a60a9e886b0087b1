"""Which jobs are open, claimed and ended, as the store's entries tell."""

from attrs import define, field

from ..fleet import Listener
from ..telemetry import get_logger
from .keys import CANCELLED, CLAIM, OPEN, split_work_key
from .records import OpenJob

__all__ = ["JobDirectory", "JobEntry"]

LAPSE_GRACE_SECONDS = 1.2

log = get_logger("work")


@define(eq=False)
class JobEntry:
    """One job's entries.

    Parameters
    ----------
    open_job : OpenJob or None
        None once the job is closed.
    open_revision : int
    claimant : str
        Who runs it; empty if nobody does.
    unclaimed_since : float
        Elapsed time since which nobody does.
    cancelled : bool
        Whether its caller has ended it.
    grace_until : float
        Elapsed time until which its claim may only have lapsed.
    """

    unclaimed_since = field()
    open_job = field(default=None)
    open_revision = field(default=0)
    claimant = field(default="")
    cancelled = field(default=False)
    grace_until = field(default=float("-inf"))


class JobDirectory(Listener):
    """Entries of all jobs that are open.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._entries = {}
        self._grace_until = float("-inf")
        self.loaded = False

    def get(self, job_id):
        """Return a `JobEntry`, or None."""
        return self._entries.get(job_id)

    def list_unclaimed(self):
        """Return the entries of open jobs that nobody runs."""
        return [e for e in self._entries.values() if e.open_job and not e.claimant]

    def list_claimed_by(self, claimant):
        """Return the entries of open jobs that a host has claimed."""
        entries = self._entries.values()
        return [e for e in entries if e.open_job and e.claimant == claimant]

    def is_in_grace_period(self, entry):
        """Return whether a claim may only have lapsed while the store was away.

        Its host claims the job again as soon as it reaches the store.
        """
        return self._clock.read_elapsed() < entry.grace_until

    def is_cancelled(self, job_id):
        """Return whether a job's caller has ended it."""
        entry = self._entries.get(job_id)
        return entry is not None and entry.cancelled

    def apply_snapshot(self, items):
        """Replace all entries."""
        before, self._entries = self._entries, {}
        for item in items:
            self._put(item)
        for job_id, entry in self._entries.items():
            known = before.get(job_id)
            if known is None or entry.claimant:
                continue
            if known.claimant:
                entry.grace_until = self._grace_until
            else:
                entry.unclaimed_since = known.unclaimed_since
                entry.grace_until = known.grace_until
        self.loaded = True

    def apply_changes(self, events):
        """Take in entries that came or went."""
        for event in events:
            if event.value is None:
                self._remove(event.key)
            else:
                self._put(event)

    def handle_store_regained(self):
        """From now on, for a moment, a missing claim may only have lapsed."""
        self._grace_until = self._clock.read_elapsed() + LAPSE_GRACE_SECONDS

    def _put(self, item):
        job_id, kind = split_work_key(item.key)
        now = self._clock.read_elapsed()
        entry = self._entries.setdefault(job_id, JobEntry(now))
        if kind == OPEN:
            entry.open_job = OpenJob.from_bytes(item.value)
            entry.open_revision = item.mod_revision
        elif kind == CLAIM:
            entry.claimant = item.value.decode()
        elif kind == CANCELLED:
            entry.cancelled = True
        else:
            log.warning("entry of an unknown kind", extra={"key": item.key})

    def _remove(self, key):
        job_id, kind = split_work_key(key)
        entry = self._entries.get(job_id)
        if entry is None:
            return
        if kind == OPEN:
            entry.open_job = None
        elif kind == CLAIM:
            entry.claimant = ""
            entry.unclaimed_since = self._clock.read_elapsed()
            entry.grace_until = self._grace_until
        elif kind == CANCELLED:
            entry.cancelled = False
        if entry.open_job is None and not entry.claimant and not entry.cancelled:
            del self._entries[job_id]
