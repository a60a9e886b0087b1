"""When a host's next report to some of the others is due.

The load this answers: each of dozens of hosts has something to report at every
request, and all others pay for hearing it. Where there are few hosts
each report is sent at once. Where there are many, each host holds a smaller part of
what runs, and its reports become rarer rather than costlier: what has changed
after a pause is still told at once, and what changes soon after it waits.
"""

__all__ = ["ReportPacing", "compute_read_delay", "estimate_report_delay"]

# Changes within this time share a report.
COALESCE_SECONDS = 0.008
# However many hosts there are, changes wait no longer than this.
MAX_GAP_SECONDS = 0.25
# Datagrams that one host sends in a second at most, but for the longest gap.
MAX_DATAGRAMS_PER_SECOND = 1500
# Hosts up to which datagrams are so few that hardly two would be read together.
IMMEDIATE_READ_HOSTS = 24
# What was heard waits no longer than this at a host that runs batch items, which give
# way to online requests that it hears of, and at any other.
RUNNER_READ_DELAY_SECONDS = 0.02
ENTRY_READ_DELAY_SECONDS = 0.04


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
        return max(COALESCE_SECONDS, due_at - self._clock.read_elapsed())

    def note_sent(self):
        """Note that a report was sent now."""
        self._sent_at = self._clock.read_elapsed()


def compute_read_delay(hosts, runs_batch):
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
    if hosts <= IMMEDIATE_READ_HOSTS:
        return 0.0
    max_delay = RUNNER_READ_DELAY_SECONDS if runs_batch else ENTRY_READ_DELAY_SECONDS
    return min(max_delay, _compute_gap(hosts))


def estimate_report_delay(hosts):
    """Return for how many seconds a change is unknown to the others.

    Parameters
    ----------
    hosts : int
        How many others there are.
    """
    return COALESCE_SECONDS + _compute_gap(hosts) / 2


def _compute_gap(hosts):
    return min(MAX_GAP_SECONDS, hosts / MAX_DATAGRAMS_PER_SECOND)
