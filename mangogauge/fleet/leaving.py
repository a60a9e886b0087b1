"""Endpoints that said in their answers that they are leaving.

The load this answers: an endpoint is taken away while the platform's store is out
of reach or has not heard of it yet. Its own answers are the first, and then the only,
news of it.
"""

__all__ = ["LeavingEndpoints"]

# How long the news is kept: an entry that lapsed comes back well within it.
RETENTION_SECONDS = 600.0


class LeavingEndpoints:
    """Processes of endpoints that are leaving.

    A process is named by its endpoint and by its start, in milliseconds since the
    Unix epoch: another one may come under the same name.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> departures = LeavingEndpoints(ManualClock())
    >>> departures.note("e", 1000)
    True
    >>> departures.has("e", 1000), departures.has("e", 2000)
    (True, False)
    """

    def __init__(self, clock):
        self._clock = clock
        self._noted_at = {}

    def note(self, name, start_time_ms):
        """Note that a process is leaving; return whether that is news."""
        if self.has(name, start_time_ms):
            return False
        self._remove_expired()
        self._noted_at[name, start_time_ms] = self._clock.read_elapsed()
        return True

    def has(self, name, start_time_ms):
        """Return whether a process is leaving."""
        return (name, start_time_ms) in self._noted_at

    def _remove_expired(self):
        oldest = self._clock.read_elapsed() - RETENTION_SECONDS
        for process in [p for p, at in self._noted_at.items() if at < oldest]:
            del self._noted_at[process]
