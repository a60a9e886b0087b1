"""Health of endpoints as one host observes it.

An endpoint may crash, stop answering or become unreachable while requests keep
arriving. After a failure it is unhealthy for a backoff that grows with each further
failure in a row; one answer clears it. An endpoint to which no path leads is unhealthy
until one does again. The paths are tried in the background, so that no request is
spent on it. A silence or a broken connection may be the path's fault, so it is told to
other hosts only once the path has been checked.
"""

from attrs import define, field

from ..paths import PathState, PathTable

__all__ = ["EndpointHealth"]

FIRST_BACKOFF_SECONDS = 0.5
LONGEST_BACKOFF_SECONDS = 4.0
BACKOFF_FACTOR = 2.0


@define
class _FailureRecord:
    """Consecutive failures of an endpoint, and the end of its backoff.

    Attributes
    ----------
    is_confirmed : bool
        Whether the failures are known to be the endpoint's, not the path's.
    """

    failures = field(default=0)
    backoff_until = field(default=float("-inf"))
    is_confirmed = field(default=True)


class EndpointHealth:
    """Failures of endpoints that this host has observed.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    paths : PathTable
        Paths from this host to the endpoints.

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> health = EndpointHealth(clock)
    >>> health.note_failure("e")
    >>> health.is_unhealthy("e")
    True
    >>> clock.advance(0.6)
    >>> health.is_unhealthy("e")
    False
    """

    def __init__(self, clock):
        self._clock = clock
        self._records = {}
        self._silent = set()
        self.paths = PathTable(clock)

    def note_answer(self, name):
        """Record that an endpoint answered."""
        self._records.pop(name, None)
        self._silent.discard(name)
        self.paths.note_answer(name)

    def note_failure(self, name, is_confirmed=True):
        """Record that an endpoint failed or stopped answering.

        Parameters
        ----------
        name : str
        is_confirmed : bool, optional
            Whether the endpoint itself has failed; otherwise the path may have.
        """
        now = self._clock.read_elapsed()
        record = self._records.setdefault(name, _FailureRecord())
        if now < record.backoff_until:
            # Requests that ran at the same time fail together; count them once.
            return
        seconds = FIRST_BACKOFF_SECONDS * BACKOFF_FACTOR**record.failures
        record.failures += 1
        record.backoff_until = now + min(LONGEST_BACKOFF_SECONDS, seconds)
        record.is_confirmed = is_confirmed
        if not is_confirmed:
            self._silent.add(name)

    def note_silence(self, name):
        """Record that an answer is overdue, so that the path is checked."""
        self._silent.add(name)

    def note_unreachable(self, name):
        """Record that no connection to an endpoint could be made."""
        self.paths.note_failed_connection(name)

    def note_reachable(self, name):
        """Record that an endpoint accepted a connection again."""
        self.paths.note_connection(name)
        self.confirm(name)

    def note_path_lost(self, name):
        """Forget what may be the fault of this host's path to the endpoint."""
        self._silent.discard(name)
        record = self._records.get(name)
        if record is not None and not record.is_confirmed:
            del self._records[name]

    def confirm(self, name):
        """Record that a silence or a broken connection was the endpoint's own."""
        self._silent.discard(name)
        record = self._records.get(name)
        if record is not None:
            record.is_confirmed = True

    def is_unverified(self, name):
        """Return whether it hasn't answered since another became unreachable."""
        return self.paths.is_unverified(name)

    def is_path_doubtful(self, name):
        """Return whether a broken connection may be the fault of this host's path."""
        if name in self._silent or self.is_unverified(name):
            return True
        return self.paths.get(name) is not PathState.DIRECT

    def list_unreachable(self):
        """Return the names of endpoints that aren't reached directly."""
        return self.paths.list_indirect()

    def list_silent(self):
        """Return the names of endpoints whose path has to be checked."""
        return list(self._silent)

    def is_unhealthy(self, name):
        """Return whether an endpoint should get no requests for now."""
        if not self.paths.is_usable(name):
            return True
        record = self._records.get(name)
        return record is not None and self._clock.read_elapsed() < record.backoff_until

    def list_unhealthy(self):
        """Return the names of unhealthy endpoints, as other hosts are told them."""
        now = self._clock.read_elapsed()
        lost = [n for n in self.paths.list_indirect() if self._is_lost(n)]
        failed = [
            name
            for name, record in self._records.items()
            if record.is_confirmed and record.backoff_until > now
        ]
        return list(dict.fromkeys([*lost, *failed]))

    def forget(self, name):
        """Remove an endpoint that no longer exists."""
        self._records.pop(name, None)
        self._silent.discard(name)
        self.paths.forget(name)

    def _is_lost(self, name):
        return self.paths.get(name) is PathState.LOST
