"""Pacing of the reports that a host sends to the others.

Every request changes what a host has to report, and every report costs all other
hosts processor time. With few hosts each change is reported at once. With many, each
host runs a smaller part of the load, so its reports can be rarer: a change after a
pause is still reported at once, and changes that follow it soon are delayed.
"""

__all__ = ["ReportPacing", "compute_read_delay", "estimate_report_delay"]

# Changes within this time share one report.
COALESCE_SECONDS = 0.008
# Maximum gap between two reports while something changes, for any number of hosts.
MAX_GAP_SECONDS = 0.25
# Datagrams that one host sends, unless `MAX_GAP_SECONDS` requires more.
MAX_DATAGRAMS_PER_SECOND = 1500
# Up to this many other hosts datagrams are read without delay, since they are so rare
# that hardly two of them would be read together.
IMMEDIATE_READ_HOSTS = 24
# Maximum delay before datagrams are read. It is shorter at a host that runs batch
# items, since these are preempted for online requests that other hosts report.
RUNNER_READ_DELAY_SECONDS = 0.02
ENTRY_READ_DELAY_SECONDS = 0.04


class ReportPacing:
    """Decides when a host sends its next report.

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
        """Return the seconds until a change that happens now has to be reported.

        Parameters
        ----------
        hosts : int
            Number of other hosts.
        """
        due_at = self._sent_at + _compute_gap(hosts)
        return max(COALESCE_SECONDS, due_at - self._clock.read_elapsed())

    def note_sent(self):
        """Note that a report is sent now."""
        self._sent_at = self._clock.read_elapsed()


def compute_read_delay(hosts, runs_batch):
    """Return the seconds for which a host lets datagrams accumulate in its socket.

    Parameters
    ----------
    hosts : int
        Number of other hosts.
    runs_batch : bool
        Whether the host runs batch items.

    Notes
    -----
    Waking up costs more processor time than handling a datagram.
    """
    if hosts <= IMMEDIATE_READ_HOSTS:
        return 0.0
    max_delay = RUNNER_READ_DELAY_SECONDS if runs_batch else ENTRY_READ_DELAY_SECONDS
    return min(max_delay, _compute_gap(hosts))


def estimate_report_delay(hosts):
    """Return the mean seconds until a change is reported to the other hosts.

    Parameters
    ----------
    hosts : int
        Number of other hosts.
    """
    return COALESCE_SECONDS + _compute_gap(hosts) / 2


def _compute_gap(hosts):
    return min(MAX_GAP_SECONDS, hosts / MAX_DATAGRAMS_PER_SECOND)
