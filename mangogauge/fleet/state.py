"""What is in force on one host, and how sure it can be of it."""

from ..telemetry import get_logger
from .digests import digest_values
from .follower import Listener
from .routes import PrefixRoutes

__all__ = ["FleetState", "OperatorListener"]

log = get_logger("fleet")


class FleetState:
    """Routes, accounts, endpoints and hosts, as this host knows them.

    Parameters
    ----------
    directory : EndpointDirectory
    members : MemberDirectory
    board : ReportTable
    measure_age : callable, optional
        Returns how many seconds ago the configuration was last known to be the
        newest.

    Attributes
    ----------
    routes : PrefixRoutes or None
        None until a configuration has been read.
    """

    def __init__(self, directory, members, board, measure_age=lambda: 0.0):
        self.directory = directory
        self.members = members
        self.measure_age = measure_age
        self._board = board
        self.routes = None

    @property
    def version(self):
        """Version of the configuration in force; 0 for none."""
        return self.routes.configuration.version if self.routes else 0

    @property
    def loaded(self):
        """Whether all that is needed to serve callers has been read."""
        known = self.directory.loaded and self.members.loaded
        return self.routes is not None and known

    def apply_configuration(self, configuration):
        """Put a configuration in force, unless a newer one already is."""
        if self.routes is not None and configuration.version <= self.version:
            return False
        log.info(
            "configuration in force",
            extra={"version": configuration.version, "before": self.version},
        )
        self.routes = PrefixRoutes(configuration)
        return True

    def compute_quota_share(self):
        """Return which part of the hosts that serve callers this one hears.

        Notes
        -----
        Those that are registered but not heard may be admitting requests on
        their own, so their part of each rate is left to them.
        """
        fronts = [m for m in self.members.list_others() if m.serves_callers]
        heard = sum(self._board.is_reporting(member.name) for member in fronts)
        return (heard + 1) / (len(fronts) + 1)


class OperatorListener(Listener):
    """Takes in what operators wrote.

    Parameters
    ----------
    source : FleetSource
    state : FleetState
    on_configuration : callable
        Called after a newer configuration is in force.
    on_retirement : callable
        Called with each `RetirementRequest`.
    """

    def __init__(self, source, state, on_configuration, on_retirement):
        self._source = source
        self._state = state
        self._on_configuration = on_configuration
        self._on_retirement = on_retirement
        self._revisions = {}

    @property
    def digest(self):
        """Digest of the revisions of all orders that are there."""
        return digest_values(self._revisions.items())

    def digest_items(self, items):
        """Return the digest of the revisions of these orders."""
        return digest_values(_list_revisions(items).items())

    def apply_snapshot(self, items):
        """Take in everything that is there."""
        for item in items:
            self._apply(item)
        self._revisions = _list_revisions(items)

    def apply_changes(self, events):
        """Take in what was written; nothing that was deleted is undone."""
        for event in events:
            if event.value is not None:
                self._apply(event)
            else:
                self._revisions.pop(event.key, None)

    def handle_store_regained(self):
        """Nothing here hangs on a lease."""

    def _apply(self, item):
        if self._revisions.get(item.key) == item.mod_revision:
            return
        self._revisions[item.key] = item.mod_revision
        try:
            read = self._source.read_operator_entry(item)
        except ValueError as error:
            log.error(
                "order can't be read", extra={"key": item.key, "reason": str(error)}
            )
            return
        if read.configuration is not None:
            if self._state.apply_configuration(read.configuration):
                self._on_configuration(read.configuration)
        if read.retirement is not None:
            self._on_retirement(read.retirement)


def _list_revisions(items):
    """Return ``{key: revision}`` of items."""
    return {item.key: item.mod_revision for item in items}
