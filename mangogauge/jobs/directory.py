"""Local view of the open jobs' entries in the store."""

from attrs import define, field

from ..fleet import Listener
from ..telemetry import get_logger
from .keys import CANCELLED, CLAIM, OPEN, split_work_key
from .records import OpenJob

__all__ = ["JobDirectory", "JobEntry"]

LAPSE_GRACE_SECONDS = 1.2
# What decodes a job's entries, by their kind.
KINDS = {OPEN: OpenJob.from_bytes, CLAIM: bytes.decode, CANCELLED: lambda value: True}

log = get_logger("work")


@define(eq=False)
class JobEntry:
    """The store's entries of one job.

    Parameters
    ----------
    unclaimed_since : float
        Elapsed time since which the job has no claim.
    open_job : OpenJob or None
        None once the job is closed.
    open_revision : int
        Store's revision of the entry that says that the job is open.
    claimant : str
        Name of the process that has claimed the job; empty if none has.
    cancelled : bool
        Whether the caller has cancelled the job.
    grace_until : float
        Elapsed time until which the job is reserved for the host whose claim lapsed.
    """

    unclaimed_since = field()
    open_job = field(default=None)
    open_revision = field(default=0)
    claimant = field(default="")
    cancelled = field(default=False)
    grace_until = field(default=float("-inf"))


class JobDirectory(Listener):
    """Entries of all open jobs, as last read from the store.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    loaded : bool
        Whether a snapshot of the entries has been applied.
    """

    def __init__(self, clock):
        self._clock = clock
        self._entries = {}
        self._grace_until = float("-inf")
        self.loaded = False

    def get(self, job_id):
        """Return the `JobEntry` of a job, or None if there is none."""
        return self._entries.get(job_id)

    def list_unclaimed(self):
        """Return the entries of open jobs without a claim."""
        return [e for e in self._entries.values() if e.open_job and not e.claimant]

    def list_claimed_by(self, claimant):
        """Return the entries of open jobs that a process has claimed."""
        entries = self._entries.values()
        return [e for e in entries if e.open_job and e.claimant == claimant]

    def is_in_grace_period(self, entry):
        """Return whether a job without a claim is still reserved for its former host.

        A claim that is missing after an outage of the store may have lapsed with its
        host's lease. The host reclaims the job once it reaches the store again.
        """
        return self._clock.read_elapsed() < entry.grace_until

    def is_cancelled(self, job_id):
        """Return whether the caller has cancelled a job."""
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
        """Apply entries that were written or deleted."""
        for event in events:
            if event.value is None:
                self._remove(event.key)
            else:
                self._put(event)

    def handle_store_regained(self):
        """Start the grace period for claims that lapsed during the outage."""
        self._grace_until = self._clock.read_elapsed() + LAPSE_GRACE_SECONDS

    def _put(self, item):
        try:
            self._put_valid(item)
        except ValueError as error:
            log.warning(
                "job's entry can't be read",
                extra={"key": item.key, "reason": str(error)},
            )

    def _put_valid(self, item):
        """Apply an entry, or raise `ValueError` if it is none of a job."""
        job_id, kind = split_work_key(item.key)
        if kind not in KINDS:
            raise ValueError("it is of no known kind")
        value = KINDS[kind](item.value)
        if kind == OPEN and value.job_id != job_id:
            raise ValueError(f"it is the entry of {value.job_id!r}")
        now = self._clock.read_elapsed()
        entry = self._entries.setdefault(job_id, JobEntry(now))
        if kind == OPEN:
            entry.open_job = value
            entry.open_revision = item.mod_revision
        elif kind == CLAIM:
            entry.claimant = value
        else:
            entry.cancelled = value

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
