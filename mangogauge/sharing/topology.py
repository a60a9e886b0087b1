"""Which hosts get this host's reports and summaries.

A few hosts can send all reports to each other. With hundreds, that would cost each
host more than its requests do. So above `MAX_DIRECT_HOSTS` a host reports only to the
hosts of its own data centre, and a few of these, the aggregators, send the sums to the
other data centres.

Each host derives the aggregators from the hosts that are reporting, without an
election. There are two at a time, so that losing one does no harm; if hosts disagree
for a moment, there is one more or one fewer, which does no harm either.
"""

__all__ = ["ReportTopology"]

# Up to this many other hosts each host reports to all.
MAX_DIRECT_HOSTS = 24
AGGREGATORS = 2


class ReportTopology:
    """Decides from the hosts that are registered and reporting.

    Parameters
    ----------
    members : MemberDirectory
    report_table : ReportTable
    random : random.Random
    """

    def __init__(self, members, report_table, random):
        self._members = members
        self._report_table = report_table
        self._random = random

    @property
    def is_direct(self):
        """Whether each host sends its reports to all others."""
        return len(self._members.list_others()) <= MAX_DIRECT_HOSTS

    @property
    def is_aggregator(self):
        """Whether this host sends its data centre's summary to the others."""
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
        """Return whether this host uses another host's own reports.

        Notes
        -----
        Reports of a host in another data centre are already included in summaries.
        Those of a host whose registration isn't known yet are used.
        """
        member = self._members.get(name)
        return member is None or self._shares_data_centre(member) or self.is_direct

    def list_report_targets(self):
        """Return the addresses that this host's reports are sent to."""
        others = self._members.list_others()
        if len(others) > MAX_DIRECT_HOSTS:
            others = [member for member in others if self._shares_data_centre(member)]
        return [member.address for member in others]

    def list_rebroadcast_targets(self):
        """Return the addresses of this data centre's other hosts, for rebroadcasts."""
        others = self._members.list_others()
        return [member.address for member in others if self._shares_data_centre(member)]

    def list_summary_targets(self):
        """Return an address in each other data centre that summaries are sent to.

        Notes
        -----
        The host there rebroadcasts them. It is the reporting host whose rank there
        corresponds to this host's rank; while none is reporting, a random host.
        """
        rank = self._find_rank()
        by_data_centre = {}
        for member in self._members.list_others():
            if not self._shares_data_centre(member):
                by_data_centre.setdefault(member.data_centre, []).append(member)
        return [
            self._choose_address(rank, candidates)
            for candidates in by_data_centre.values()
        ]

    def _choose_address(self, rank, members):
        reporting = [
            member for member in members if self._report_table.is_reporting(member.name)
        ]
        if not reporting:
            return self._random.choice(members).address
        reporting.sort(key=_rank_member)
        return reporting[rank % len(reporting)].address

    def _find_rank(self):
        """Return how many reporting hosts of this data centre come before this one."""
        own = _rank_member(self._members.own)
        return sum(
            _rank_member(member) < own
            for member in self._members.list_others()
            if self._shares_data_centre(member)
            and self._report_table.is_reporting(member.name)
        )

    def _shares_data_centre(self, member):
        return member.data_centre == self._members.own.data_centre


def _rank_member(member):
    # Hosts that run batch items serve no callers, so they have more time for this.
    return not member.runs_batch, member.name
