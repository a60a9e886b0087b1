"""Case-insensitive HTTP headers that keep their order."""

__all__ = ["HOP_BY_HOP_HEADERS", "Headers"]

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Headers:
    """An ordered list of header fields, looked up without regard to case.

    Parameters
    ----------
    fields : iterable of (str, str), optional
        Names and values in order.

    Examples
    --------
    >>> Headers([("Content-Type", "text/plain")]).get("content-type")
    'text/plain'
    """

    def __init__(self, fields=()):
        self._fields = [(name, value) for name, value in fields]

    def __iter__(self):
        return iter(self._fields)

    def __len__(self):
        return len(self._fields)

    def __contains__(self, name):
        return self.get(name) is not None

    def __repr__(self):
        return f"Headers({[name for name, _ in self._fields]})"

    @classmethod
    def from_raw(cls, raw):
        """Build from `h11`'s pairs of bytes."""
        return cls((n.decode("latin-1"), v.decode("latin-1")) for n, v in raw)

    def to_raw(self):
        """Return pairs of bytes for `h11`."""
        return [(n.encode("latin-1"), v.encode("latin-1")) for n, v in self._fields]

    def get(self, name, default=None):
        """Return the first value of `name`, or `default`."""
        wanted = name.lower()
        for field, value in self._fields:
            if field.lower() == wanted:
                return value
        return default

    def add(self, name, value):
        """Append a field."""
        self._fields.append((name, value))

    def set(self, name, value):
        """Replace every field called `name` by one."""
        self.remove(name)
        self.add(name, value)

    def remove(self, *names):
        """Drop every field whose name is in `names`."""
        unwanted = {name.lower() for name in names}
        self._fields = [f for f in self._fields if f[0].lower() not in unwanted]

    def copy(self):
        """Return an independent copy."""
        return Headers(self._fields)

    def without_hop_by_hop(self):
        """Return a copy without the fields that concern one connection only."""
        named = [value for name, value in self._fields if name.lower() == "connection"]
        listed = {token.strip().lower() for token in ",".join(named).split(",")}
        unwanted = HOP_BY_HOP_HEADERS | listed
        return Headers(f for f in self._fields if f[0].lower() not in unwanted)
