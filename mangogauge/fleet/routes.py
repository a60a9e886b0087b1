"""Look up the route of a request and the client account of a key."""

from .records import RequestSemantics

__all__ = ["PrefixRoutes"]


class PrefixRoutes:
    """The routes of one configuration, by host name and longest prefix.

    Parameters
    ----------
    configuration : Configuration

    Attributes
    ----------
    batch_services : frozenset of tuple of str
        Services that run batch items, one tuple for each batch route.
    restricts_regions : bool
        Whether any route or client account is restricted to regions.

    Examples
    --------
    >>> from mangogauge.fleet import Configuration, PrefixRoute, RequestSemantics
    >>> routes = [
    ...     PrefixRoute(name, "a.example", prefix, RequestSemantics.ONCE, ())
    ...     for name, prefix in (("short", "/x/"), ("long", "/x/y/"))
    ... ]
    >>> PrefixRoutes(Configuration(1, routes)).find("a.example", "/x/y/z").name
    'long'
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self._by_host = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._accounts = {
            key: account for account in configuration.accounts for key in account.keys
        }
        self._by_name = {account.name: account for account in configuration.accounts}
        self.batch_services = frozenset(
            route.services
            for route in configuration.routes
            if route.semantics is RequestSemantics.BATCH
        )
        self.restricts_regions = any(
            holder.allowed_regions is not None
            for holder in (*configuration.routes, *configuration.accounts)
        )

    @property
    def requires_keys(self):
        """Whether requests need a key, except on open routes."""
        return bool(self._by_name)

    def find(self, host, path):
        """Return the `PrefixRoute` of a requested host name and path, or None."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def has_host(self, host):
        """Return whether any route has this host name."""
        return host.partition(":")[0].lower() in self._by_host

    def find_account(self, key):
        """Return the `Account` that holds a key, or None."""
        return self._accounts.get(key)

    def get_account(self, name):
        """Return the `Account` of a name, or None."""
        return self._by_name.get(name)
