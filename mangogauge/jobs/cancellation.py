"""Whether a job's caller may have ended it without this host knowing.

The load this answers: callers who end jobs just when the store is away or back, or
when the connection on which a runner awaits news has died without a sign. Whoever was
told that a job is ended counts on it that no item of it starts seconds later.
"""

__all__ = ["CancellationCheck"]

# How old what this host knows may be when an item starts.
MAX_AGE_SECONDS = 2.0


class CancellationCheck:
    """Decides whether items of a job may start.

    Parameters
    ----------
    directory : JobDirectory
    measure_age : callable
        Returns the seconds since the store was asked for what `directory` shows.
    clock : Clock

    Notes
    -----
    A job that is ended has a mark at the store before its caller is told. So a read
    that was asked for later shows it, and an older one may be trusted for
    `MAX_AGE_SECONDS`. A claim is such a read too: it is made only where there is no
    mark. That holds while the store is away as well: an end may have been written
    right before it went.
    """

    def __init__(self, directory, measure_age, clock):
        self._directory = directory
        self._measure_age = measure_age
        self._clock = clock

    def may_start(self, job):
        """Return whether items of an `OwnedJob` may start now."""
        if self._directory.is_cancelled(job.job_id):
            return False
        claim_age = self._clock.read_elapsed() - job.claimed_at
        return min(claim_age, self._measure_age()) <= MAX_AGE_SECONDS
