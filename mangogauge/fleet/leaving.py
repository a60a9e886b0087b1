"""Endpoints whose answers announced that they are leaving.

An endpoint may be removed while the platform's store is unreachable, or before its
entry there is updated. Until then its own answers are the only indication.
"""

__all__ = ["LeavingEndpoints"]

# How long an announcement is kept: an entry whose lease expired is written again well
# within this time.
RETENTION_SECONDS = 600.0


class LeavingEndpoints:
    """Set of endpoint processes that are leaving.

    A process is identified by the endpoint's name and its start time, in milliseconds
    since the Unix epoch, because a later process may have the same name.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> leaving = LeavingEndpoints(ManualClock())
    >>> leaving.note("e", 1000)
    True
    >>> leaving.has("e", 1000), leaving.has("e", 2000)
    (True, False)
    """

    def __init__(self, clock):
        self._clock = clock
        self._noted_at = {}

    def note(self, name, start_time_ms):
        """Record that a process is leaving; return whether that was unknown."""
        if self.has(name, start_time_ms):
            return False
        self._remove_expired()
        self._noted_at[name, start_time_ms] = self._clock.read_elapsed()
        return True

    def has(self, name, start_time_ms):
        """Return whether a process is known to be leaving."""
        return (name, start_time_ms) in self._noted_at

    def _remove_expired(self):
        oldest = self._clock.read_elapsed() - RETENTION_SECONDS
        for process in [p for p, at in self._noted_at.items() if at < oldest]:
            del self._noted_at[process]
