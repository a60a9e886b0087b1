"""Entries that hang on leases, told apart from those that merely lapsed."""

from attrs import define, field

from .digests import digest_values

__all__ = ["LeasedEntries"]

# What lapsed while the store was away is written again within this time of its
# return, by whoever lives.
GRACE_SECONDS = 2.0


@define
class _Entry:
    """A value, and until when it is kept although it is missing."""

    value = field()
    kept_until = field(default=None)


class LeasedEntries:
    """Values by name; those found missing after an outage are kept for a while.

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
        # Names of those that are only kept for a moment: few or none.
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
        """Grows whenever a value comes, changes or goes."""
        self._remove_expired()
        return self._version

    def list_values(self):
        """Return all values."""
        self._remove_expired()
        return [entry.value for entry in self._entries.values()]

    def list_present(self):
        """Return the values that were there when last read, without kept ones."""
        entries = self._entries.values()
        return [entry.value for entry in entries if entry.kept_until is None]

    def compute_digest(self):
        """Return a digest of the values as they were last read.

        Notes
        -----
        Without those that are only kept for a moment: a host that has read them
        anew must not seem to have the same copy.
        """
        return digest_values(self.list_present())

    def get(self, name):
        """Return a value, or None."""
        self._remove_expired()
        entry = self._entries.get(name)
        return entry.value if entry else None

    def put(self, name, value):
        """Set a value; return the one before, or None."""
        known = self._entries.get(name)
        self._entries[name] = _Entry(value)
        self._missing.discard(name)
        if known is None or known.value != value:
            self._version += 1
        return known.value if known else None

    def drop(self, name, immediately=False):
        """Remove a value, or keep it if it may only have lapsed.

        Parameters
        ----------
        name : str
        immediately : bool, optional
            Whether it is known that it has left.
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
        """The store answers again; what it misses may only have lapsed."""
        self._grace_until = self._clock.read_elapsed() + GRACE_SECONDS

    def _remove_expired(self):
        now = self._clock.read_elapsed()
        for name in [n for n in self._missing if now >= self._entries[n].kept_until]:
            self._remove(name)

    def _remove(self, name):
        del self._entries[name]
        self._missing.discard(name)
        self._version += 1
