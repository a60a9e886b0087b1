"""The endpoints of the fleet, as they registered themselves in the store."""

from ..telemetry import get_logger
from .digests import digest_values
from .follower import Listener
from .leased import LeasedEntries
from .leaving import LeavingEndpoints

__all__ = ["EndpointDirectory"]

log = get_logger("endpoints")


class EndpointDirectory(Listener):
    """Directory of the endpoints by name.

    Parameters
    ----------
    decode : callable
        Turns a `KeyValue` or `WatchEvent` into a `FleetEndpoint`, or None if it
        is not a valid entry of an endpoint.
    parse_name : callable
        Returns the endpoint's name for a key of the store.
    clock : Clock
    on_entry : callable, optional
        Called with each `FleetEndpoint` that is new or has changed, and whether the
        endpoints had been read before.

    Attributes
    ----------
    loaded : bool
        Whether the endpoints have been read.
    """

    def __init__(
        self, decode, parse_name, clock, on_entry=lambda endpoint, has_entered: None
    ):
        self._decode = decode
        self._parse_name = parse_name
        self._on_entry = on_entry
        self._entries = LeasedEntries(clock)
        self._leaving = LeavingEndpoints(clock)
        self.loaded = False

    @property
    def digest(self):
        """Digest of the entries as last read from the store."""
        return _compute_digest(self._entries.list_present())

    def digest_items(self, items):
        """Return the digest of the valid entries among `items`."""
        return _compute_digest(self._decode_all(items).values())

    def list_endpoints(self):
        """Return all known endpoints, including those that are leaving."""
        return self._entries.list_values()

    def get(self, name):
        """Return the `FleetEndpoint` of a name, or None."""
        return self._entries.get(name)

    def is_leaving(self, endpoint):
        """Return whether an endpoint is leaving, by its entry or its answers."""
        return endpoint.leaving or self._leaving.has(
            endpoint.name, endpoint.start_time_ms
        )

    def note_leaving(self, endpoint):
        """Record that an endpoint's answer announced that it is leaving.

        Returns
        -------
        bool
            Whether that was unknown, so that it should be reported to other hosts.
        """
        is_news = self._leaving.note(endpoint.name, endpoint.start_time_ms)
        if is_news:
            self._log_leaving(endpoint.name, endpoint.start_time_ms, "its answer")
        return is_news

    def list_leaving(self):
        """Return ``{name: start_time_ms}`` of endpoints that announced leaving."""
        return {
            endpoint.name: endpoint.start_time_ms
            for endpoint in self.list_endpoints()
            if self._leaving.has(endpoint.name, endpoint.start_time_ms)
        }

    def merge_leaving(self, start_times, host):
        """Add the processes of another host's `list_leaving`."""
        for name, start_time_ms in start_times.items():
            if self._leaving.note(name, start_time_ms):
                self._log_leaving(name, start_time_ms, host)

    def add_endpoints(self, endpoints):
        """Add endpoints, or their newer entries; none of the others is removed."""
        for endpoint in endpoints:
            self._put(endpoint)

    def apply_snapshot(self, items):
        """Replace the endpoints by the valid entries among `items`."""
        found = self._decode_all(items)
        for name in self._entries:
            if name not in found:
                self._drop(name)
        for endpoint in found.values():
            self._put(endpoint)
        self.loaded = True

    def apply_changes(self, events):
        """Apply entries that were written or deleted."""
        for event in events:
            endpoint = self._decode(event) if event.value is not None else None
            if endpoint is None:
                self._drop(self._parse_name(event.key))
            else:
                self._put(endpoint)

    def handle_store_regained(self):
        """Start the grace period in which missing entries are kept."""
        self._entries.handle_store_regained()

    def _decode_all(self, items):
        """Return ``{name: FleetEndpoint}`` of the valid items."""
        endpoints = [self._decode(item) for item in items]
        return {e.name: e for e in endpoints if e is not None}

    def _put(self, endpoint):
        known = self._entries.put(endpoint.name, endpoint)
        if known == endpoint:
            return
        self._on_entry(endpoint, self.loaded)
        log.info(
            "endpoint",
            extra={
                "endpoint": endpoint.name,
                "address": endpoint.address,
                "leaving": endpoint.leaving,
                "born": endpoint.start_time_ms,
                "software": endpoint.software,
                "known": known is not None,
            },
        )

    def _drop(self, name):
        endpoint = self._entries.get(name)
        if endpoint is None:
            return
        self._entries.drop(name, immediately=self.is_leaving(endpoint))
        kept = self._entries.get(name) is not None
        log.info("endpoint's entry gone", extra={"endpoint": name, "kept": kept})

    def _log_leaving(self, name, start_time_ms, origin):
        log.info(
            "endpoint leaves",
            extra={"endpoint": name, "born": start_time_ms, "heard_from": origin},
        )


def _compute_digest(endpoints):
    """Return the digest of endpoints.

    Notes
    -----
    Without cold endpoints it is the same as at hosts of builds that don't know them.
    """
    endpoints = list(endpoints)
    cold = [(e.name, e.cold_left, e.cold_revision) for e in endpoints if e.cold_left]
    return digest_values([*endpoints, *cold])
