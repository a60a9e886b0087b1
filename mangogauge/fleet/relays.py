"""Choose the hosts that can relay this host's calls to the platform's store.

A host may lose its connection to the store before it is registered, when no other
host knows of it yet.
"""

__all__ = ["RelayDirectory"]


class RelayDirectory:
    """Chooses relays by the hosts' reports, or by their registration alone.

    Parameters
    ----------
    members : MemberDirectory
    report_table : ReportTable
    """

    def __init__(self, members, report_table):
        self._members = members
        self._report_table = report_table

    def list_addresses(self):
        """Return the addresses of possible relays, in no particular order.

        Notes
        -----
        A host that receives no reports is not known to the others yet, or no longer.
        Any of them may then reach the store.
        """
        reports = self._report_table.list_reports()
        if not reports:
            return [member.address for member in self._members.list_others()]
        names = [report.host for report in reports if report.reaches_store]
        members = [self._members.get(name) for name in names]
        return [member.address for member in members if member is not None]
