"""The endpoints of the fleet, by what they last said of themselves."""

from ..telemetry import get_logger
from .follower import Listener
from .lapsing import LapsingEntries

__all__ = ["EndpointDirectory"]

log = get_logger("endpoints")


class EndpointDirectory(Listener):
    """Endpoints by name.

    Parameters
    ----------
    decode : callable
        Turns a `KeyValue` or `WatchEvent` into a `FleetEndpoint`, or None if it
        describes no endpoint that can be used.
    name_key : callable
        Turns a key into an endpoint's name.
    clock : Clock

    Attributes
    ----------
    loaded : bool
        Whether the endpoints have been read.
    """

    def __init__(self, decode, name_key, clock):
        self._decode = decode
        self._name_key = name_key
        self._entries = LapsingEntries(clock)
        self.loaded = False

    @property
    def digest(self):
        """Digest of the entries as they were read."""
        return self._entries.compute_digest()

    def list_endpoints(self):
        """Return the endpoints that are there, those that leave included."""
        return self._entries.list_values()

    def get(self, name):
        """Return a `FleetEndpoint`, or None."""
        return self._entries.get(name)

    def take_snapshot(self, items):
        """Replace the endpoints by those of `items`."""
        found = {}
        for item in items:
            endpoint = self._decode(item)
            if endpoint is not None:
                found[endpoint.name] = endpoint
        for name in self._entries:
            if name not in found:
                self._drop(name)
        for endpoint in found.values():
            self._put(endpoint)
        self.loaded = True

    def take_changes(self, events):
        """Take in endpoints that announced themselves, or left."""
        for event in events:
            endpoint = self._decode(event) if event.value is not None else None
            if endpoint is None:
                self._drop(self._name_key(event.key))
            else:
                self._put(endpoint)

    def note_regained(self):
        """From now on, for a moment, a missing entry may only have lapsed."""
        self._entries.note_regained()

    def _put(self, endpoint):
        known = self._entries.put(endpoint.name, endpoint)
        if known == endpoint:
            return
        log.info(
            "endpoint",
            extra={
                "endpoint": endpoint.name,
                "address": endpoint.address,
                "leaving": endpoint.leaving,
                "known": known is not None,
            },
        )

    def _drop(self, name):
        endpoint = self._entries.get(name)
        if endpoint is None:
            return
        self._entries.drop(name, at_once=endpoint.leaving)
        kept = self._entries.get(name) is not None
        log.info("endpoint's entry gone", extra={"endpoint": name, "kept": kept})
