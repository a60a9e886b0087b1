"""Whether no host reaches the platform's store.

The load this answers: a store that is away for many seconds. Nobody can write to it
then, so what a host knew before it went still holds; a host that merely can't reach it
itself, or whose data centre is cut off, may not conclude that.
"""

__all__ = ["AbsenceWatch"]

# Hosts that reach the store confirm their copies more often than that.
STALE_SECONDS = 1.5


class AbsenceWatch:
    """Decides by what this host hears.

    Parameters
    ----------
    members : MemberDirectory
    board : LoadBoard
    measure_age : callable
        Returns the seconds since a host that this one hears reached the store.
    """

    def __init__(self, members, board, measure_age):
        self._members = members
        self._board = board
        self._measure_age = measure_age

    def is_away(self):
        """Return whether every data centre is heard, and none reaches the store."""
        if self._measure_age() <= STALE_SECONDS:
            return False
        if any(report.reaches_store for report in self._board.list_heard()):
            return False
        others = self._members.list_others()
        heard = {m.data_centre for m in others if self._board.hears(m.name)}
        return heard == {member.data_centre for member in others}
