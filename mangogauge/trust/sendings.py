"""One sending of a request or an item to an endpoint, as evidence."""

from .outcomes import Outcome

__all__ = ["Sending"]

# Events from which on the time between them says something.
LEAST_EVENTS = 8


class Sending:
    """What is seen of one sending while it runs.

    Parameters
    ----------
    trust : EndpointTrust
        Told of what it shows.
    name : str
        Of the endpoint.
    had_room : bool
        Whether the endpoint had a free slot for it, as far as was known.
    began_at : float
        Elapsed time in seconds.

    Attributes
    ----------
    overdue : bool
        Whether its silence was held against the endpoint already.
    """

    __slots__ = (
        "_events",
        "_first_at",
        "_last_at",
        "_trust",
        "began_at",
        "had_room",
        "name",
        "overdue",
    )

    def __init__(self, trust, name, had_room, began_at):
        self._trust = trust
        self.name = name
        self.had_room = had_room
        self.began_at = began_at
        self.overdue = False
        self._first_at = None
        self._last_at = began_at
        self._events = 0

    def note_progress(self, events=1):
        """Note that events, or the first bytes of an answer, have come."""
        now = self._trust.read_now()
        if self._first_at is None:
            self._first_at = now
            self._trust.note_first(self, now - self.began_at)
        else:
            self._events += events
        self._last_at = now

    def end_answered(self):
        """Note that the whole answer has come."""
        if self._events >= LEAST_EVENTS:
            pace = (self._last_at - self._first_at) / self._events
            self._trust.note_pace(self.name, pace)
        self._trust.note_end(self, Outcome.ANSWERED)

    def end_failed(self):
        """Note that the endpoint itself failed."""
        self._trust.note_end(self, Outcome.FAILED)

    def end_refused(self):
        """Note that the endpoint refused: that speaks against it if it had room."""
        self._trust.note_end(self, Outcome.FAILED if self.had_room else None)

    def end_cut(self):
        """Note that the endpoint fell silent, or the connection broke."""
        self._trust.note_end(self, Outcome.CUT)

    def end(self):
        """Note an end that says nothing of the endpoint."""
        self._trust.note_end(self, None)
