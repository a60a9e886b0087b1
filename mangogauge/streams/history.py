"""The software versions of each service that may have begun a recent stream."""

from .origins import RETENTION_SECONDS, StreamOrigin

__all__ = ["VersionHistory"]

# Copies are confirmed more often than this while this host, or any that it hears,
# reaches the store.
MAX_AGE_SECONDS = 1.25
# With a copy older than this the host has lost touch with the store.
LOST_SECONDS = 1.5
# Endpoints are registered for longer than this, so that each version that there was
# shows in a copy, if no more time lies between two confirmations of it.
MAX_GAP_SECONDS = 3.0


class VersionHistory:
    """Origins that endpoints have, or had until lately.

    Parameters
    ----------
    list_endpoints : callable
        Returns the endpoints in this host's copy.
    measure_age : callable
        Returns the seconds since that copy was last confirmed.
    measure_newer_age : callable
        Returns the seconds since the read of a newer copy that another host has.
    clock : Clock

    Attributes
    ----------
    complete : bool
        Whether `restore` has been called since this host started, or was last out of
        touch for some seconds: it doesn't know which endpoints there were meanwhile.

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> history = VersionHistory(
    ...     list, lambda: 0.5, lambda: float("inf"), ManualClock()
    ... )
    >>> history.restore([StreamOrigin("llm", "v1")])
    >>> history.list_origins(["llm"])
    [StreamOrigin(service='llm', software='v1')]
    >>> history.is_current()
    True
    """

    def __init__(self, list_endpoints, measure_age, measure_newer_age, clock):
        self._list_endpoints = list_endpoints
        self._measure_age = measure_age
        self._measure_newer_age = measure_newer_age
        self._clock = clock
        self._seen_at = {}
        # Elapsed times of the reads that last confirmed the copy, and of this host's
        # last read for `note_read`.
        self._confirmed_at = self._read_at = float("-inf")
        self.complete = False

    def is_current(self):
        """Return whether all origins that a stream of now may have are known.

        Notes
        -----
        A host that was cut off, or stood still, while endpoints of another version
        joined has a copy without them.
        """
        self._follow_copy()
        newer_at = self._clock.read_elapsed() - self._measure_newer_age()
        if self._read_at < newer_at:
            return False
        return self.complete and self.measure_age() <= MAX_AGE_SECONDS

    def is_copy_older(self, asked_at):
        """Return whether this host's copy was last confirmed before an elapsed time."""
        return self._clock.read_elapsed() - self._measure_age() < asked_at

    def is_known_since(self, moment):
        """Return whether the endpoints' entries were read after an elapsed time."""
        return self._read_at >= moment or not self.is_copy_older(moment)

    def is_lost(self):
        """Return whether this host, and all that it hears, have lost the store."""
        self._follow_copy()
        return self.measure_age() > LOST_SECONDS

    def is_mixed(self, services):
        """Return whether streams of some services may have different origins."""
        return len(self.list_origins(services)) > 1

    def measure_age(self):
        """Return the seconds since the origins of all endpoints were last known."""
        return self._clock.read_elapsed() - self._confirmed_at

    def list_all(self):
        """Return the origins of all services, in order."""
        self._follow_copy()
        now = self._clock.read_elapsed()
        self.add(StreamOrigin.of(endpoint) for endpoint in self._list_endpoints())
        oldest = now - RETENTION_SECONDS
        for origin in [o for o, at in self._seen_at.items() if at < oldest]:
            del self._seen_at[origin]
        return sorted(self._seen_at)

    def list_origins(self, services):
        """Return the origins of some services, in order."""
        return [origin for origin in self.list_all() if origin.service in services]

    def add(self, origins):
        """Add origins that endpoints have now, or had until lately."""
        now = self._clock.read_elapsed()
        self._seen_at.update((origin, now) for origin in origins)

    def note_read(self, origins, asked_at):
        """Add the origins of all endpoints, as read from the store.

        Parameters
        ----------
        origins : iterable of StreamOrigin
        asked_at : float
            Elapsed time at which the read began.
        """
        self.add(origins)
        self._read_at = max(self._read_at, asked_at)
        self._note_confirmed(asked_at)

    def restore(self, origins):
        """Add the origins that other hosts recorded while this one knew of none."""
        self.add(origins)
        self.complete = True

    def _follow_copy(self):
        """Take over the time at which this host's copy was confirmed."""
        self._note_confirmed(self._clock.read_elapsed() - self._measure_age())

    def _note_confirmed(self, confirmed_at):
        is_first = self._confirmed_at == float("-inf")
        if not is_first and confirmed_at > self._confirmed_at + MAX_GAP_SECONDS:
            self.complete = False
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
