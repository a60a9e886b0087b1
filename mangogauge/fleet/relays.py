"""Which hosts may pass this host's calls to the platform's store on.

The load this answers: a host that the store turns away, perhaps before it was
registered, so that no other host knows of it yet.
"""

__all__ = ["RelayDirectory"]


class RelayDirectory:
    """Chooses hosts by what they report, or by their registration alone.

    Parameters
    ----------
    members : MemberDirectory
    board : ReportTable
    """

    def __init__(self, members, board):
        self._members = members
        self._board = board

    def list_addresses(self):
        """Return the addresses of hosts to ask, in no order.

        Notes
        -----
        A host that hears nobody is not known to the others yet, or no longer: any
        of them may reach the store.
        """
        heard = self._board.list_reports()
        if not heard:
            return [member.address for member in self._members.list_others()]
        names = [report.host for report in heard if report.reaches_store]
        members = [self._members.get(name) for name in names]
        return [member.address for member in members if member is not None]
