"""Which endpoints this host had better leave alone, and for how long.

The load this answers: endpoints that crash, fall silent or become unreachable
while requests go on arriving. Each failure shuns an endpoint for a while, and
each further one in a row for longer; one answer clears it. One that takes no
connections is shunned until it takes one again, which is tried in the background,
so that no request has to find out. While any endpoint is unreachable, those that have
not answered since are in doubt: the same cut may lie before them.
"""

from attrs import define, field

__all__ = ["EndpointHealth"]

FIRST_BACKOFF_SECONDS = 0.5
LONGEST_BACKOFF_SECONDS = 4.0
BACKOFF_FACTOR = 2.0


@define
class _FailureRecord:
    """Failures in a row, and until when the endpoint is shunned."""

    failures = field(default=0)
    unreachable = field(default=False)
    backoff_until = field(default=float("-inf"))


class EndpointHealth:
    """Failures of endpoints, as this host has seen them.

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
        """Note that an endpoint answered."""
        self._records.pop(name, None)
        self._note_contact(name)

    def note_failure(self, name):
        """Note that an endpoint could not be reached, or fell silent."""
        now = self._clock.read_elapsed()
        record = self._records.setdefault(name, _FailureRecord())
        if now < record.backoff_until:
            # Requests that were under way together fail together.
            return
        seconds = FIRST_BACKOFF_SECONDS * BACKOFF_FACTOR**record.failures
        record.failures += 1
        record.backoff_until = now + min(LONGEST_BACKOFF_SECONDS, seconds)

    def note_unreachable(self, name):
        """Note that an endpoint took no connection."""
        if self._unreachable_since is None:
            self._unreachable_since = self._clock.read_elapsed()
        self._records.setdefault(name, _FailureRecord()).unreachable = True

    def note_reachable(self, name):
        """Note that an endpoint took a connection again."""
        record = self._records.get(name)
        if record is not None:
            record.unreachable = False
        self._note_contact(name)

    def is_unverified(self, name):
        """Return whether an endpoint may be behind the same cut as another."""
        if self._unreachable_since is None:
            return False
        return self._answered_at.get(name, float("-inf")) < self._unreachable_since

    def list_unreachable(self):
        """Return the names of endpoints that took no connection lately."""
        return [name for name, r in self._records.items() if r.unreachable]

    def is_unhealthy(self, name):
        """Return whether an endpoint should get nothing for now."""
        record = self._records.get(name)
        if record is None:
            return False
        if record.unreachable:
            return True
        return self._clock.read_elapsed() < record.backoff_until

    def list_unhealthy(self):
        """Return the names of shunned endpoints."""
        return [name for name in self._records if self.is_unhealthy(name)]

    def forget(self, name):
        """Forget an endpoint that is gone."""
        self._records.pop(name, None)
        self._answered_at.pop(name, None)
        self._update_unreachable_since()

    def _note_contact(self, name):
        self._answered_at[name] = self._clock.read_elapsed()
        self._update_unreachable_since()

    def _update_unreachable_since(self):
        if not self.list_unreachable():
            self._unreachable_since = None
