"""Which job a host takes work from, and which of its chunks runs next."""

from attrs import define, field, frozen

__all__ = ["FairShare", "JobOutlook", "OpenWork", "RiskBoard"]

UNSEEN_WEIGHT = 1.0
# Every so many looks go to the smallest job first, so that a large one that is
# due earlier doesn't hold up small ones of the same account.
SMALL_JOB_TURN = 4
RECHECK_SECONDS = 30.0
# A job whose owner is about to give chunks back is looked at sooner.
HANDOVER_RECHECK_SECONDS = 2.0
FORGET_SECONDS = 600.0
# A job of which nothing is done yet is at risk once so much of its time is gone.
IDLE_RISK_PART = 0.5


class FairShare:
    """Weighted-fair order of client accounts, by the work done for each.

    An account's virtual time grows with the work that it got, divided by its
    weight; the one that is furthest behind goes first. One that comes back
    after a pause starts level with the others: unused time isn't saved up.

    Examples
    --------
    >>> share = FairShare()
    >>> share.set_weights({"a": 1.0, "b": 2.0})
    >>> share.charge("a", 10), share.charge("b", 10)
    (None, None)
    >>> sorted(["a", "b"], key=share.get_rank(["a", "b"]))
    ['b', 'a']
    """

    def __init__(self):
        self._weights = {}
        self._times = {}
        self._floor = 0.0

    def set_weights(self, weights):
        """Take new weights: ``{account: float}``."""
        self._weights = dict(weights)

    def charge(self, account, work):
        """Note that `work` was done for an account."""
        weight = self._weights.get(account, UNSEEN_WEIGHT)
        self._times[account] = self._read_time(account) + work / weight

    def get_rank(self, active):
        """Return a key function of accounts for sorting.

        Parameters
        ----------
        active : iterable of str
            The accounts that want work done now.
        """
        for name in active:
            self._times[name] = self._read_time(name)
        times = [self._times[name] for name in active]
        self._floor = max(self._floor, min(times, default=self._floor))
        return self._read_time

    def _read_time(self, account):
        return max(self._floor, self._times.get(account, 0.0))


@define
class _Note:
    """What was seen when a job's chunks were last listed."""

    checked_at = field()
    owners = field()


class OpenWork:
    """Which open jobs are worth a look.

    A job all of whose chunks were claimed is looked at again once an owner
    no longer seems to live, or after a while; so a fleet that waits costs the
    platform few calls.

    Parameters
    ----------
    share : FairShare
    clock : Clock
    """

    def __init__(self, share, clock):
        self._share = share
        self._clock = clock
        self._notes = {}
        self._turn = 0

    def choose(self, jobs, is_owner_sound, limit, is_handing=lambda host: False):
        """Return up to `limit` of `jobs`, the most urgent first.

        Parameters
        ----------
        jobs : list of OpenJob
        is_owner_sound : callable
            Whether a host, by name, seems to live and to reach the platform.
        limit : int
        is_handing : callable, optional
            Whether a host, by name, is expected to give chunks back.
        """
        worth = [job for job in jobs if self._is_worth(job, is_owner_sound, is_handing)]
        rank = self._share.get_rank({job.account for job in worth})
        self._turn = (self._turn + 1) % SMALL_JOB_TURN
        by_size = self._turn == 0
        worth.sort(
            key=lambda job: (
                rank(job.account),
                job.items if by_size else job.due_at,
            )
        )
        return worth[:limit]

    def note_claimed(self, job_id, owners):
        """Note that nothing of a job is free; `owners` hold its chunks."""
        self._notes[job_id] = _Note(self._clock.read_elapsed(), frozenset(owners))
        self._forget()

    def note_free(self, job_id):
        """Note that a job may have free chunks."""
        self._notes.pop(job_id, None)

    def note_all_free(self):
        """Note that any job may have chunks that this host can run now."""
        self._notes.clear()

    def _is_worth(self, job, is_owner_sound, is_handing):
        note = self._notes.get(job.job_id)
        if note is None or not all(map(is_owner_sound, note.owners)):
            return True
        is_soon = any(map(is_handing, note.owners))
        pause = HANDOVER_RECHECK_SECONDS if is_soon else RECHECK_SECONDS
        return self._clock.read_elapsed() - note.checked_at > pause

    def _forget(self):
        oldest = self._clock.read_elapsed() - FORGET_SECONDS
        for job_id, note in list(self._notes.items()):
            if note.checked_at < oldest:
                del self._notes[job_id]


@frozen
class JobOutlook:
    """How a job is getting on.

    Parameters
    ----------
    total, settled : int
        Items, and those that have a committed result.
    created_at, due_at, now : float
        Seconds since the Unix epoch.

    Examples
    --------
    >>> outlook = JobOutlook(100, 10, created_at=0, due_at=500, now=100)
    >>> outlook.expected_end, outlook.is_at_risk
    (1000.0, True)
    """

    total = field()
    settled = field()
    created_at = field()
    due_at = field()
    now = field()

    @property
    def rate(self):
        """Items a second so far."""
        return self.settled / max(1.0, self.now - self.created_at)

    @property
    def expected_end(self):
        """When it will end at this rate, in calendar time; None if not known."""
        if not self.settled:
            return None
        return self.now + (self.total - self.settled) / self.rate

    @property
    def is_at_risk(self):
        """Whether it will miss its due time as things go."""
        if self.expected_end is not None:
            return self.expected_end > self.due_at
        window = self.due_at - self.created_at
        return self.now > self.created_at + window * IDLE_RISK_PART


class RiskBoard:
    """Jobs that this host has seen to be at risk, by client account.

    Parameters
    ----------
    gauge : prometheus_client.Gauge
        Labelled by client account.
    """

    def __init__(self, gauge):
        self._gauge = gauge
        self._jobs = {}

    def note(self, job_id, account, at_risk):
        """Take in how a job was seen to stand."""
        jobs = self._jobs.setdefault(account, set())
        if at_risk:
            jobs.add(job_id)
        else:
            jobs.discard(job_id)
        self._gauge.labels(account).set(len(jobs))
