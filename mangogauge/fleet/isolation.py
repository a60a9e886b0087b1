"""Detect that a host's data centre is partitioned from all the others.

Callers may still reach the hosts of such a data centre. These run requests at the
endpoints there, but can't accept jobs or learn of changes. They report themselves as
not ready, so that the callers' load balancer uses the nearest other data centre.
"""

__all__ = ["IsolationDetector"]

# If the copies are older than this, no host that reports to this one reaches the store:
# copies are confirmed more often than that.
STALE_SECONDS = 1.1


class IsolationDetector:
    """Decides by the reports that reach this host.

    Parameters
    ----------
    members : MemberDirectory
    report_table : ReportTable
    data_centre : str
        Data centre of this host.
    measure_age : callable
        Returns the seconds since a host that reports to this one last reached the
        store.
    """

    def __init__(self, members, report_table, data_centre, measure_age):
        self._members = members
        self._report_table = report_table
        self._data_centre = data_centre
        self._measure_age = measure_age

    def is_isolated(self):
        """Return whether neither another data centre nor the store is reachable.

        Notes
        -----
        If only the store is unavailable, or only this host can't reach it, reports of
        other data centres still arrive. Callers are then no better off elsewhere.
        """
        elsewhere = [
            member.name
            for member in self._members.list_others()
            if member.data_centre != self._data_centre
        ]
        if not elsewhere or any(map(self._report_table.is_reporting, elsewhere)):
            return False
        return self._measure_age() > STALE_SECONDS
