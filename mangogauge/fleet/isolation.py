"""Whether a host's data centre is cut off from all the others.

The load this answers: callers who reach the hosts of a data centre that reaches
nothing else. Its hosts run what they can at the endpoints there, but take no
jobs and know no change; the callers' balancer has to hear that all of them had
better get nothing new, so that it sends callers to the nearest data centre.
"""

__all__ = ["IsolationDetector"]

# Age of this host's copies of the store from which none of the hosts that it
# hears has reached the store: copies are confirmed more often than that.
STALE_SECONDS = 1.1


class IsolationDetector:
    """Decides by what this host hears.

    Parameters
    ----------
    members : MemberDirectory
    board : ReportTable
    data_centre : str
        Of this host.
    measure_age : callable
        Returns the seconds since a host that this one hears reached the store.
    """

    def __init__(self, members, board, data_centre, measure_age):
        self._members = members
        self._board = board
        self._data_centre = data_centre
        self._measure_age = measure_age

    def is_isolated(self):
        """Return whether no other data centre, nor the store, is in reach.

        Notes
        -----
        Where the store alone is away, or only this host can't reach it, hosts
        of other data centres are still heard: callers are no better off elsewhere.
        """
        elsewhere = [
            member.name
            for member in self._members.list_others()
            if member.data_centre != self._data_centre
        ]
        if not elsewhere or any(map(self._board.is_reporting, elsewhere)):
            return False
        return self._measure_age() > STALE_SECONDS
