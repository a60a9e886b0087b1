"""When a host's next report to some of the others is due.

The load this answers: each of dozens of hosts has something to report at every
request, and all others pay for hearing it. Where there are few hosts
each report is sent at once. Where there are many, each host holds a smaller part of
what runs, and its reports become rarer rather than costlier: what has changed
after a pause is still told at once, and what changes soon after it waits.
"""

__all__ = ["ReportPacing", "compute_hearing_pause", "estimate_report_delay"]

# Changes within this time share a report.
GATHER_SECONDS = 0.008
# However many hosts there are, changes wait no longer than this.
LONGEST_GAP_SECONDS = 0.25
# Datagrams that one host sends in a second at most, but for the longest gap.
DATAGRAMS_PER_SECOND = 1500
# Hosts up to which datagrams are so few that hardly two would be read together.
FEW_HOSTS = 24
# What was heard waits no longer than this at a host that runs batch items, which give
# way to online requests that it hears of, and at any other.
RUNNER_PAUSE_SECONDS = 0.02
ENTRY_PAUSE_SECONDS = 0.04


class ReportPacing:
    """Paces one host's reports.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> pacing = ReportPacing(clock)
    >>> pacing.measure_wait(60)
    0.008
    >>> pacing.note_sent()
    >>> round(pacing.measure_wait(60), 3)
    0.04
    """

    def __init__(self, clock):
        self._clock = clock
        self._sent_at = float("-inf")

    def measure_wait(self, hosts):
        """Return the seconds that a change waits until it is reported.

        Parameters
        ----------
        hosts : int
            How many others there are now.
        """
        due_at = self._sent_at + _compute_gap(hosts)
        return max(GATHER_SECONDS, due_at - self._clock.read_elapsed())

    def note_sent(self):
        """Note that a report was sent now."""
        self._sent_at = self._clock.read_elapsed()


def compute_hearing_pause(hosts, runs_batch):
    """Return the seconds for which a host lets datagrams gather before it reads them.

    Parameters
    ----------
    hosts : int
        How many others there are.
    runs_batch : bool
        Whether it runs batch items.

    Notes
    -----
    To wake up costs a host more than to take in a datagram.
    """
    if hosts <= FEW_HOSTS:
        return 0.0
    longest = RUNNER_PAUSE_SECONDS if runs_batch else ENTRY_PAUSE_SECONDS
    return min(longest, _compute_gap(hosts))


def estimate_report_delay(hosts):
    """Return for how many seconds a change is unknown to the others.

    Parameters
    ----------
    hosts : int
        How many others there are.
    """
    return GATHER_SECONDS + _compute_gap(hosts) / 2


def _compute_gap(hosts):
    return min(LONGEST_GAP_SECONDS, hosts / DATAGRAMS_PER_SECOND)
