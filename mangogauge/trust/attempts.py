"""Observation of one attempt at an endpoint, as evidence on it."""

from .outcomes import Outcome

__all__ = ["AttemptObserver"]

# Minimum number of events for a meaningful mean interval.
MIN_EVENTS = 8


class AttemptObserver:
    """Observes one attempt of a request or an item while it runs.

    Parameters
    ----------
    trust : EndpointTrust
        Receives the observations.
    endpoint : FleetEndpoint
    began_at : float
        Elapsed time in seconds at which the attempt began.

    Attributes
    ----------
    overdue : bool
        Whether its silence was already counted against the endpoint.
    """

    __slots__ = (
        "_ended",
        "_events",
        "_first_at",
        "_last_at",
        "_running",
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
        self._running = 0
        self._ended = False

    @property
    def name(self):
        """Name of the endpoint."""
        return self.endpoint.name

    def note_progress(self, events=1):
        """Record that the answer began, or that further events arrived."""
        now = self._trust.read_now()
        if self._first_at is None:
            self._first_at = now
            self._running = self._trust.measure_load(self.name)
            self._trust.note_first_response(self, now - self.began_at)
        else:
            self._events += events
        self._last_at = now

    def end_answered(self):
        """End the attempt: the whole answer arrived."""
        if self._events >= MIN_EVENTS:
            interval = (self._last_at - self._first_at) / self._events
            running = (self._running + self._trust.measure_load(self.name)) / 2
            self._trust.note_event_interval(self.endpoint, interval, running)
        self._end(Outcome.ANSWERED)

    def end_failed(self):
        """End the attempt: the endpoint itself failed."""
        self._end(Outcome.FAILED)

    def end_refused(self):
        """End the attempt: refused, which is a failure if a slot was free."""
        has_free_slot = self._trust.has_free_slot(self.endpoint)
        self._end(Outcome.FAILED if has_free_slot else None)

    def end_interrupted(self):
        """End the attempt: the endpoint went silent or the connection broke."""
        silence = self._trust.read_now() - self._last_at
        is_excused = self._trust.excuses_silence(self.name, silence)
        self._end(None if is_excused else Outcome.CUT)

    def end(self):
        """End the attempt without evidence; no effect if it has ended."""
        self._end(None)

    def _end(self, outcome):
        if not self._ended:
            self._ended = True
            self._trust.note_end(self, outcome)
