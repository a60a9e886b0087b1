"""When a host's next report to some of the others is due.

The load this answers: each of dozens of hosts has something to report at every
request, and whoever hears them all pays for each report. Where there are few hosts
each report is sent at once. Where there are many, each host holds a smaller part of
what runs, and its reports become rarer rather than costlier: what has changed
after a pause is still told at once, and what changes soon after it waits.
"""

__all__ = ["ReportPacing", "estimate_age"]

# Changes within this time share a report.
GATHER_SECONDS = 0.008
# However many hosts there are, changes wait no longer than this.
LONGEST_GAP_SECONDS = 0.25
# Hosts that run items fill and empty slots by these reports: they hear all at once.
RUNNER_DATAGRAMS_PER_SECOND = 1500
# Hosts that serve callers are many, and choose well enough by counts that are a
# little older.
ENTRY_DATAGRAMS_PER_SECOND = 300


class ReportPacing:
    """Paces the reports to one group of hosts.

    Parameters
    ----------
    clock : Clock
    datagrams_per_second : float
        That this host sends to the group at most, beyond the longest gap.

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> pacing = ReportPacing(clock, 300.0)
    >>> pacing.measure_wait(60)
    0.008
    >>> pacing.note_sent()
    >>> round(pacing.measure_wait(60), 3)
    0.2
    """

    def __init__(self, clock, datagrams_per_second):
        self._clock = clock
        self._datagrams_per_second = datagrams_per_second
        self._sent_at = float("-inf")

    def measure_wait(self, hosts):
        """Return the seconds that a change waits until it is reported.

        Parameters
        ----------
        hosts : int
            How many the group has now.
        """
        gap = _compute_gap(hosts, self._datagrams_per_second)
        due_at = self._sent_at + gap
        return max(GATHER_SECONDS, due_at - self._clock.read_elapsed())

    def note_sent(self):
        """Note that a report was sent now."""
        self._sent_at = self._clock.read_elapsed()


def estimate_age(hosts):
    """Return for how many seconds a change is unknown to a host that serves callers.

    Parameters
    ----------
    hosts : int
        How many there are that serve callers.
    """
    return GATHER_SECONDS + _compute_gap(hosts, ENTRY_DATAGRAMS_PER_SECOND) / 2


def _compute_gap(hosts, datagrams_per_second):
    return min(LONGEST_GAP_SECONDS, hosts / datagrams_per_second)
