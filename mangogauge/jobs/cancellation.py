"""Decide whether a host's view of cancelled jobs is recent enough to start items.

A caller may cancel a job while the store is unavailable or just recovering, or while
the connection on which a runner watches for changes is dead without an error. Once a
cancellation is acknowledged, no item of the job may start seconds later.
"""

__all__ = ["CancellationCheck"]

# Greatest age of the host's view of cancellations when an item starts.
MAX_AGE_SECONDS = 2.0


class CancellationCheck:
    """Checks that a job is not cancelled, as of a recent read of the store.

    Parameters
    ----------
    directory : JobDirectory
    measure_age : callable
        Returns the age in seconds of the contents of `directory`, counted from
        when the read was sent.
    clock : Clock

    Notes
    -----
    A cancellation is acknowledged only after its mark is in the store, so every read
    sent later shows it. A read may be used for `MAX_AGE_SECONDS`. A claim counts as
    a read too, since its transaction requires that there is no mark. The limit also
    applies while the store is unavailable: a cancellation may have been written right
    before.
    """

    def __init__(self, directory, measure_age, clock):
        self._directory = directory
        self._measure_age = measure_age
        self._clock = clock

    def may_start(self, job):
        """Return whether items of an `OwnedJob` may start now.

        Parameters
        ----------
        job : OwnedJob

        Returns
        -------
        bool
        """
        if self._directory.is_cancelled(job.job_id):
            return False
        claim_age = self._clock.read_elapsed() - job.claimed_at
        return min(claim_age, self._measure_age()) <= MAX_AGE_SECONDS
