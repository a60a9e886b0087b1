"""Entries under leases, kept for a grace period after an outage of the store."""

from attrs import define, field

from .digests import digest_values

__all__ = ["LeasedEntries"]

# Entries whose leases expired during an outage of the store are written again by
# running processes within this time of its return.
GRACE_SECONDS = 2.0


@define
class _Entry:
    """A value; `kept_until` is set while its entry is missing but still kept."""

    value = field()
    kept_until = field(default=None)


class LeasedEntries:
    """Values by name; those missing after an outage are kept for `GRACE_SECONDS`.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> entries = LeasedEntries(clock)
    >>> entries.put("a", 1)
    >>> entries.handle_store_regained()
    >>> entries.drop("a")
    >>> entries.get("a")
    1
    >>> clock.advance(2.5)
    >>> entries.get("a")
    """

    def __init__(self, clock):
        self._clock = clock
        self._entries = {}
        # Names of entries in their grace period: few or none.
        self._missing = set()
        self._grace_until = float("-inf")
        self._version = 0

    def __iter__(self):
        self._remove_expired()
        return iter(list(self._entries))

    def __len__(self):
        self._remove_expired()
        return len(self._entries)

    @property
    def version(self):
        """Counter that grows whenever a value is added, changed or removed."""
        self._remove_expired()
        return self._version

    def list_values(self):
        """Return all values, including those in their grace period."""
        self._remove_expired()
        return [entry.value for entry in self._entries.values()]

    def list_present(self):
        """Return the values that the store had when last read."""
        entries = self._entries.values()
        return [entry.value for entry in entries if entry.kept_until is None]

    def compute_digest(self):
        """Return a digest of the values as last read from the store.

        Notes
        -----
        Values in their grace period are left out, so that this copy differs from that
        of a host that has read them again.
        """
        return digest_values(self.list_present())

    def get(self, name):
        """Return the value of a name, or None."""
        self._remove_expired()
        entry = self._entries.get(name)
        return entry.value if entry else None

    def put(self, name, value):
        """Set a value; return the previous one, or None."""
        known = self._entries.get(name)
        self._entries[name] = _Entry(value)
        self._missing.discard(name)
        if known is None or known.value != value:
            self._version += 1
        return known.value if known else None

    def drop(self, name, immediately=False):
        """Remove a value, or keep it for now if only its lease may have expired.

        Parameters
        ----------
        name : str
        immediately : bool, optional
            Whether it is known to have left, so that there is no grace period.
        """
        entry = self._entries.get(name)
        if entry is None or entry.kept_until is not None:
            return
        if not immediately and self._clock.read_elapsed() < self._grace_until:
            entry.kept_until = self._grace_until
            self._missing.add(name)
        else:
            self._remove(name)

    def handle_store_regained(self):
        """Start the grace period, since leases may have expired during the outage."""
        self._grace_until = self._clock.read_elapsed() + GRACE_SECONDS

    def _remove_expired(self):
        now = self._clock.read_elapsed()
        for name in [n for n in self._missing if now >= self._entries[n].kept_until]:
            self._remove(name)

    def _remove(self, name):
        del self._entries[name]
        self._missing.discard(name)
        self._version += 1
