"""Health of endpoints as one host observes it.

An endpoint may crash, stop answering or become unreachable while requests keep
arriving. After a failure it is unhealthy for a backoff that grows with each further
failure in a row; one answer clears it. An endpoint that refuses connections is
unhealthy until it accepts one again. The connection is tried in the background, so
that no request is spent on it. While any endpoint is unreachable, those that
haven't answered since are unverified: the same network fault may affect them.
"""

from attrs import define, field

__all__ = ["EndpointHealth"]

FIRST_BACKOFF_SECONDS = 0.5
LONGEST_BACKOFF_SECONDS = 4.0
BACKOFF_FACTOR = 2.0


@define
class _FailureRecord:
    """Consecutive failures of an endpoint, and the end of its backoff."""

    failures = field(default=0)
    unreachable = field(default=False)
    backoff_until = field(default=float("-inf"))


class EndpointHealth:
    """Failures of endpoints that this host has observed.

    Parameters
    ----------
    clock : Clock

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
        self._answered_at = {}
        self._unreachable_since = None

    def note_answer(self, name):
        """Record that an endpoint answered."""
        self._records.pop(name, None)
        self._note_contact(name)

    def note_failure(self, name):
        """Record that an endpoint failed or stopped answering."""
        now = self._clock.read_elapsed()
        record = self._records.setdefault(name, _FailureRecord())
        if now < record.backoff_until:
            # Requests that ran at the same time fail together; count them once.
            return
        seconds = FIRST_BACKOFF_SECONDS * BACKOFF_FACTOR**record.failures
        record.failures += 1
        record.backoff_until = now + min(LONGEST_BACKOFF_SECONDS, seconds)

    def note_unreachable(self, name):
        """Record that an endpoint accepted no connection."""
        if self._unreachable_since is None:
            self._unreachable_since = self._clock.read_elapsed()
        self._records.setdefault(name, _FailureRecord()).unreachable = True

    def note_reachable(self, name):
        """Record that an endpoint accepted a connection again."""
        record = self._records.get(name)
        if record is not None:
            record.unreachable = False
        self._note_contact(name)

    def is_unverified(self, name):
        """Return whether it hasn't answered since another became unreachable."""
        if self._unreachable_since is None:
            return False
        return self._answered_at.get(name, float("-inf")) < self._unreachable_since

    def list_unreachable(self):
        """Return the names of endpoints that last accepted no connection."""
        return [name for name, r in self._records.items() if r.unreachable]

    def is_unhealthy(self, name):
        """Return whether an endpoint should get no requests for now."""
        record = self._records.get(name)
        if record is None:
            return False
        if record.unreachable:
            return True
        return self._clock.read_elapsed() < record.backoff_until

    def list_unhealthy(self):
        """Return the names of unhealthy endpoints."""
        return [name for name in self._records if self.is_unhealthy(name)]

    def forget(self, name):
        """Remove an endpoint that no longer exists."""
        self._records.pop(name, None)
        self._answered_at.pop(name, None)
        self._update_unreachable_since()

    def _note_contact(self, name):
        self._answered_at[name] = self._clock.read_elapsed()
        self._update_unreachable_since()

    def _update_unreachable_since(self):
        if not self.list_unreachable():
            self._unreachable_since = None
