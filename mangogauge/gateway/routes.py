"""Which route a path belongs to."""

__all__ = ["RouteTable"]


class RouteTable:
    """Routes, the longest path first.

    Parameters
    ----------
    routes : iterable of Route
    """

    def __init__(self, routes=()):
        self._exact = {r.path: r for r in routes if not r.path.endswith("*")}
        prefixes = [r for r in routes if r.path.endswith("*")]
        self._prefixes = sorted(prefixes, key=lambda route: -len(route.path))

    def find(self, path):
        """Return the `Route`, or None."""
        exact = self._exact.get(path)
        if exact is not None:
            return exact
        for route in self._prefixes:
            if route.matches(path):
                return route
        return None
