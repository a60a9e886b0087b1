"""The configuration in force on one host, and its view of the fleet."""

from ..telemetry import get_logger
from .digests import digest_values
from .follower import Listener
from .routes import PrefixRoutes

__all__ = ["FleetState", "OperatorListener"]

log = get_logger("fleet")


class FleetState:
    """Routes, client accounts, endpoints and hosts, as known to this host.

    Parameters
    ----------
    directory : EndpointDirectory
    members : MemberDirectory
    report_table : ReportTable
    measure_age : callable, optional
        Returns the seconds since the configuration was last confirmed to be the
        newest.
    silent_hosts : SilentHosts, optional
        Hosts that aren't registered any more, and may serve callers.

    Attributes
    ----------
    routes : PrefixRoutes or None
        None until a configuration has been read.
    """

    def __init__(
        self,
        directory,
        members,
        report_table,
        measure_age=lambda: 0.0,
        silent_hosts=None,
    ):
        self.directory = directory
        self.members = members
        self.measure_age = measure_age
        self._report_table = report_table
        self._silent_hosts = silent_hosts
        self.routes = None

    @property
    def version(self):
        """Version of the configuration in force; 0 if there is none."""
        return self.routes.configuration.version if self.routes else 0

    @property
    def loaded(self):
        """Whether everything needed to serve callers has been read."""
        known = self.directory.loaded and self.members.loaded
        return self.routes is not None and known

    def apply_configuration(self, configuration):
        """Put a configuration in force; return False if it isn't newer."""
        if self.routes is not None and configuration.version <= self.version:
            return False
        log.info(
            "configuration in force",
            extra={"version": configuration.version, "before": self.version},
        )
        self.routes = PrefixRoutes(configuration)
        return True

    def list_resumable_services(self):
        """Return the services of each route whose streams may be resumed."""
        routes = self.routes.configuration.routes if self.routes else ()
        return {route.services for route in routes if route.resumable}

    def compute_quota_share(self):
        """Return the share of each rate limit that the reporting hosts may use.

        Returns
        -------
        (float, int)
            The fraction of the hosts that serve callers from which reports arrive, this
            host included, and their number.

        Notes
        -----
        Hosts that send no reports may admit requests independently, so their share of
        each rate is reserved for them, also once they are registered no longer.
        """
        names = [m.name for m in self.members.list_others() if m.serves_callers]
        if self._silent_hosts is not None:
            names += self._silent_hosts.list_names()
        reporting = sum(map(self._report_table.is_reporting, names))
        return (reporting + 1) / (len(names) + 1), reporting + 1


class OperatorListener(Listener):
    """Applies the entries that operators write.

    Parameters
    ----------
    source : FleetSource
    state : FleetState
    on_configuration : callable
        Called with each newer `Configuration`, after it is in force.
    on_retirement : callable
        Called with each `RetirementRequest`.
    on_evacuations : callable, optional
        Called with the evacuated data centres, a frozenset of str, after each read.
    """

    def __init__(
        self,
        source,
        state,
        on_configuration,
        on_retirement,
        on_evacuations=lambda data_centres: None,
    ):
        self._source = source
        self._state = state
        self._on_configuration = on_configuration
        self._on_retirement = on_retirement
        self._on_evacuations = on_evacuations
        self._revisions = {}
        # Evacuated data centres by the keys of their entries.
        self._evacuations = {}

    @property
    def digest(self):
        """Digest of the keys and revisions of all entries."""
        return digest_values(self._revisions.items())

    def digest_items(self, items):
        """Return the digest of the keys and revisions of `items`."""
        return digest_values(_list_revisions(items).items())

    def apply_snapshot(self, items):
        """Apply all entries; evacuations whose entries are gone are revoked."""
        revisions = _list_revisions(items)
        for key in self._evacuations.keys() - revisions.keys():
            del self._evacuations[key]
        for item in items:
            self._apply(item)
        self._revisions = revisions
        self._publish_evacuations()

    def apply_changes(self, events):
        """Apply entries that were written.

        A deletion revokes an evacuation; it does not undo another entry.
        """
        for event in events:
            if event.value is not None:
                self._apply(event)
            else:
                self._revisions.pop(event.key, None)
                self._evacuations.pop(event.key, None)
        self._publish_evacuations()

    def handle_store_regained(self):
        """Do nothing: operators' entries are not under leases."""

    def _apply(self, item):
        if self._revisions.get(item.key) == item.mod_revision:
            return
        self._revisions[item.key] = item.mod_revision
        try:
            read = self._source.read_operator_entry(item)
        except ValueError as error:
            log.error(
                "operator entry invalid", extra={"key": item.key, "reason": str(error)}
            )
            return
        if read.configuration is not None:
            if self._state.apply_configuration(read.configuration):
                self._on_configuration(read.configuration)
        if read.retirement is not None:
            self._on_retirement(read.retirement)
        if read.evacuation is not None:
            self._evacuations[item.key] = read.evacuation

    def _publish_evacuations(self):
        self._on_evacuations(frozenset(self._evacuations.values()))


def _list_revisions(items):
    """Return ``{key: revision}`` of `items`."""
    return {item.key: item.mod_revision for item in items}
