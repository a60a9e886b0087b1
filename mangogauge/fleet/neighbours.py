"""The other hosts of the fleet, as seen from one of them."""

__all__ = ["Neighbours"]


class Neighbours:
    """Tells who else serves the fleet, and who of them is heard.

    Parameters
    ----------
    members : MemberDirectory
    report_table : ReportTable
    """

    def __init__(self, members, report_table):
        self._members = members
        self._report_table = report_table

    def count_hosts(self):
        """Return the number of hosts, this one included."""
        return len(self._members.list_others()) + 1

    def list_addresses(self):
        """Return where all others take messages, as a list of str."""
        return [member.address for member in self._members.list_others()]

    def list_reporting(self):
        """Return the names of the others that are reporting."""
        names = [member.name for member in self._members.list_others()]
        return list(filter(self._report_table.is_reporting, names))

    def list_reporting_runners(self):
        """Return the names of the others that run items and are reporting."""
        is_reporting = self._report_table.is_reporting
        return [m.name for m in self._list_runners() if is_reporting(m.name)]

    def list_runner_addresses(self):
        """Return where the others that run items take messages."""
        return [member.address for member in self._list_runners()]

    def list_near_addresses(self):
        """Return where the others of this host's data centre take messages."""
        near = self._members.own.data_centre
        return [m.address for m in self._list_members(near)]

    def list_relays(self, accepts=lambda member: True):
        """Return addresses of hosts that may pass on calls to the store.

        Parameters
        ----------
        accepts : callable, optional
            Returns whether a `FleetMember` may be among them.

        Notes
        -----
        A host that receives no reports is not known to the others yet, or no longer.
        Any of them may then reach the store.
        """
        reports = self._report_table.list_reports()
        if not reports:
            others = self._members.list_others()
            return [member.address for member in others if accepts(member)]
        names = [report.host for report in reports if report.reaches_store]
        members = [self._members.get(name) for name in names]
        return [m.address for m in members if m is not None and accepts(m)]

    def is_first(self):
        """Return whether this host comes first by name of those that report."""
        return all(self._members.own.name < name for name in self.list_reporting())

    def hears_data_centre(self, data_centre, since):
        """Return whether another host of a data centre has been heard since.

        Parameters
        ----------
        data_centre : str
        since : float
            Elapsed time.

        Returns
        -------
        bool
            True also if no other host is registered there: nobody could tell.
        """
        there = [m.name for m in self._list_members(data_centre)]
        heard = self._report_table.has_reported_since
        return not there or any(heard(name, since) for name in there)

    def _list_runners(self):
        return [m for m in self._members.list_others() if m.runs_batch]

    def _list_members(self, data_centre):
        return [
            member
            for member in self._members.list_others()
            if member.data_centre == data_centre
        ]
