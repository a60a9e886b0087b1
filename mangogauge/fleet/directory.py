"""The endpoints of the fleet, by what they last said of themselves."""

from ..telemetry import get_logger
from .departures import Departures
from .digests import digest_values
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
        self._departures = Departures(clock)
        self.loaded = False

    @property
    def digest(self):
        """Digest of the entries as they were read."""
        return self._entries.compute_digest()

    def digest_items(self, items):
        """Return the digest of the entries of `items`."""
        return digest_values(self._decode_all(items).values())

    def list_endpoints(self):
        """Return the endpoints that are there, those that leave included."""
        return self._entries.list_values()

    def get(self, name):
        """Return a `FleetEndpoint`, or None."""
        return self._entries.get(name)

    def is_leaving(self, endpoint):
        """Return whether an endpoint takes no new work, by its entry or its answers."""
        return endpoint.leaving or self._departures.has(endpoint.name, endpoint.born)

    def note_leaving(self, endpoint):
        """Note that an endpoint's answer says that it is leaving.

        Returns
        -------
        bool
            Whether that is news, which other hosts should hear of.
        """
        is_news = self._departures.note(endpoint.name, endpoint.born)
        if is_news:
            self._log_leaving(endpoint.name, endpoint.born, "its answer")
        return is_news

    def list_departures(self):
        """Return ``{name: born}`` of endpoints whose answers say that they leave."""
        return {
            endpoint.name: endpoint.born
            for endpoint in self.list_endpoints()
            if self._departures.has(endpoint.name, endpoint.born)
        }

    def take_departures(self, births, host):
        """Take in another host's `list_departures`."""
        for name, born in births.items():
            if self._departures.note(name, born):
                self._log_leaving(name, born, host)

    def take_snapshot(self, items):
        """Replace the endpoints by those of `items`."""
        found = self._decode_all(items)
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

    def _decode_all(self, items):
        """Return ``{name: FleetEndpoint}`` of the items that can be used."""
        endpoints = [self._decode(item) for item in items]
        return {e.name: e for e in endpoints if e is not None}

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
                "born": endpoint.born,
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

    def _log_leaving(self, name, born, heard_from):
        log.info(
            "endpoint leaves",
            extra={"endpoint": name, "born": born, "heard_from": heard_from},
        )
