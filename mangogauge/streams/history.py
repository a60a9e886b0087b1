"""The software versions of each service that may have begun a recent stream."""

from .origins import RETENTION_SECONDS, StreamOrigin

__all__ = ["VersionHistory"]


class VersionHistory:
    """Origins that endpoints have, or had until lately.

    Parameters
    ----------
    list_endpoints : callable
        Returns the endpoints that are known now.
    clock : Clock

    Attributes
    ----------
    complete : bool
        Whether `restore` has been called: a host that has just started doesn't know
        which endpoints there were before.

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> history = VersionHistory(list, ManualClock())
    >>> history.restore([StreamOrigin("llm", "v1")])
    >>> history.list_origins(["llm"])
    [StreamOrigin(service='llm', software='v1')]
    """

    def __init__(self, list_endpoints, clock):
        self._list_endpoints = list_endpoints
        self._clock = clock
        self._seen_at = {}
        self.complete = False

    def is_mixed(self, services):
        """Return whether streams of some services may have different origins."""
        return len(self.list_origins(services)) > 1

    def list_all(self):
        """Return the origins of all services, in order."""
        now = self._clock.read_elapsed()
        for endpoint in self._list_endpoints():
            self._seen_at[StreamOrigin.of(endpoint)] = now
        oldest = now - RETENTION_SECONDS
        for origin in [o for o, at in self._seen_at.items() if at < oldest]:
            del self._seen_at[origin]
        return sorted(self._seen_at)

    def list_origins(self, services):
        """Return the origins of some services, in order."""
        return [origin for origin in self.list_all() if origin.service in services]

    def restore(self, origins):
        """Add the origins that were recorded before this host started."""
        now = self._clock.read_elapsed()
        for origin in origins:
            self._seen_at.setdefault(origin, now)
        self.complete = True
