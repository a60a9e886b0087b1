"""One sending of a request or an item to an endpoint, as evidence."""

from .outcomes import Outcome

__all__ = ["AttemptObserver"]

# Events from which on the time between them says something.
MIN_EVENTS = 8


class AttemptObserver:
    """What is seen of one sending while it runs.

    Parameters
    ----------
    trust : EndpointTrust
        Told of what it shows.
    endpoint : FleetEndpoint
    began_at : float
        Elapsed time in seconds.

    Attributes
    ----------
    overdue : bool
        Whether its silence was held against the endpoint already.
    """

    __slots__ = (
        "_ended",
        "_events",
        "_first_at",
        "_last_at",
        "_trust",
        "began_at",
        "endpoint",
        "overdue",
    )

    def __init__(self, trust, endpoint, began_at):
        self._trust = trust
        self.endpoint = endpoint
        self.began_at = began_at
        self.overdue = False
        self._first_at = None
        self._last_at = began_at
        self._events = 0
        self._ended = False

    @property
    def name(self):
        """Name of the endpoint."""
        return self.endpoint.name

    def note_progress(self, events=1):
        """Note that events, or the first bytes of an answer, have come."""
        now = self._trust.read_now()
        if self._first_at is None:
            self._first_at = now
            self._trust.note_first_response(self, now - self.began_at)
        else:
            self._events += events
        self._last_at = now

    def end_answered(self):
        """Note that the whole answer has come."""
        if self._events >= MIN_EVENTS:
            interval = (self._last_at - self._first_at) / self._events
            self._trust.note_event_interval(self.name, interval)
        self._end(Outcome.ANSWERED)

    def end_failed(self):
        """Note that the endpoint itself failed."""
        self._end(Outcome.FAILED)

    def end_refused(self):
        """Note that the endpoint refused: that speaks against it if it had room."""
        has_free_slot = self._trust.has_free_slot(self.endpoint)
        self._end(Outcome.FAILED if has_free_slot else None)

    def end_interrupted(self):
        """Note that the endpoint fell silent, or the connection broke."""
        self._end(Outcome.CUT)

    def end(self):
        """Note an end that says nothing of the endpoint; nothing if it has ended."""
        self._end(None)

    def _end(self, outcome):
        if not self._ended:
            self._ended = True
            self._trust.note_end(self, outcome)
