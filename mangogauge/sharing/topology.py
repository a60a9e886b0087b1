"""Which hosts this one tells what.

The load this answers: few hosts, which tell each other everything, up to hundreds,
where that would cost each of them more than the requests do. From some number on
each tells the hosts of its own data centre, and a few of these, the speakers, tell
the other data centres the sums.

Who speaks follows from the hosts that are heard, without an election. Two speak at the
same time, so none of them is needed; if hosts disagree for a moment, one more or one
fewer speaks, which does no harm.
"""

__all__ = ["ReportTopology"]

# Other hosts up to which each tells all.
DIRECT_HOSTS = 24
AGGREGATORS = 2


class ReportTopology:
    """Decides by the hosts that are registered and heard.

    Parameters
    ----------
    members : MemberDirectory
    board : ReportTable
    random : random.Random
    """

    def __init__(self, members, board, random):
        self._members = members
        self._board = board
        self._random = random

    @property
    def is_direct(self):
        """Whether each host tells all others."""
        return len(self._members.list_others()) <= DIRECT_HOSTS

    @property
    def is_aggregator(self):
        """Whether this host sums up its data centre for the others."""
        return not self.is_direct and self._find_rank() < AGGREGATORS

    def is_in_own_data_centre(self, name):
        """Return whether a host is registered in this data centre."""
        member = self._members.get(name)
        return member is not None and self._shares_data_centre(member)

    def is_runner(self, name):
        """Return whether a host runs batch items."""
        member = self._members.own
        if name != member.name:
            member = self._members.get(name)
        return member is not None and member.runs_batch

    def accepts_reports(self, name):
        """Return whether this host listens to another's own reports.

        Notes
        -----
        Sums contain those of a host elsewhere already. One whose registration
        isn't known yet is listened to.
        """
        member = self._members.get(name)
        return member is None or self._shares_data_centre(member) or self.is_direct

    def list_report_targets(self):
        """Return the addresses to which this host's reports go."""
        others = self._members.list_others()
        if len(others) > DIRECT_HOSTS:
            others = [member for member in others if self._shares_data_centre(member)]
        return [member.address for member in others]

    def list_relay_targets(self):
        """Return the addresses of the other hosts of this data centre."""
        others = self._members.list_others()
        return [member.address for member in others if self._shares_data_centre(member)]

    def list_summary_targets(self):
        """Return an address in each other data centre, which passes sums on there.

        Notes
        -----
        This host's counterpart by rank, among the hosts that are heard. While
        none is, any host there will do.
        """
        rank = self._find_rank()
        by_data_centre = {}
        for member in self._members.list_others():
            if not self._shares_data_centre(member):
                by_data_centre.setdefault(member.data_centre, []).append(member)
        return [self._choose(rank, there) for there in by_data_centre.values()]

    def _choose(self, rank, members):
        heard = [member for member in members if self._board.is_reporting(member.name)]
        if not heard:
            return self._random.choice(members).address
        heard.sort(key=_order)
        return heard[rank % len(heard)].address

    def _find_rank(self):
        """Return how many hosts of this data centre come before this one."""
        own = _order(self._members.own)
        return sum(
            _order(member) < own
            for member in self._members.list_others()
            if self._shares_data_centre(member)
            and self._board.is_reporting(member.name)
        )

    def _shares_data_centre(self, member):
        return member.data_centre == self._members.own.data_centre


def _order(member):
    # Hosts that run batch items have no callers, and more room for this.
    return not member.runs_batch, member.name
