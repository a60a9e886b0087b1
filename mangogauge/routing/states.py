"""State of an endpoint on one host: counts, reports, circuit, slow start."""

from attrs import define, field, frozen

__all__ = ["EndpointState", "LoadReport"]

FAILURES_TO_EJECT = 3
EJECTION_SECONDS = 2.0
LONGEST_EJECTION_SECONDS = 30.0
SLOW_START_SECONDS = 8.0
SLOW_START_SHARE = 0.1
REPORT_SECONDS = 8.0
LEAVING_SECONDS = 30.0
SLOWNESS_WEIGHT = 0.1
SLOWNESS_LIMIT = 10.0


@frozen
class LoadReport:
    """Latest load report of an endpoint.

    Parameters
    ----------
    running, waiting : int
        Requests that run and that wait at the endpoint.
    leaving : bool
        Whether it accepts no new work.
    down : bool
        Whether it could not be reached.
    measured : bool
        Whether the endpoint itself reported the counts.
    """

    running = field(default=0)
    waiting = field(default=0)
    leaving = field(default=False)
    down = field(default=False)
    measured = field(default=False)


@define(eq=False)
class EndpointState:
    """State of one endpoint on this host.

    Parameters
    ----------
    endpoint : Endpoint
    available_since : float
        Elapsed time in seconds at which its slow start began.

    Attributes
    ----------
    running, peers_running : int
        Requests that this host, and its peers, count there.
    peers_ejecting : int
        Number of peers that have ejected it.
    listed_leaving : bool
        Whether the platform's host list names it as leaving.
    failures : int
        Failures in a row.
    ejections : int
        Past ejections that still count; each doubles the time of the next.
    slowness : float
        Moving average of its response times as multiples of the typical one.
    unreached : bool
        Whether this host's latest try to connect to it failed. Peers may reach it.
    """

    endpoint = field()
    available_since = field()
    running = field(default=0)
    peers_running = field(default=0)
    peers_ejecting = field(default=0)
    report = field(factory=LoadReport)
    reported_at = field(default=float("-inf"))
    listed_leaving = field(default=False)
    failures = field(default=0)
    ejections = field(default=0)
    ejected_until = field(default=float("-inf"))
    slowness = field(default=1.0)
    answered_at = field(default=float("-inf"))
    unreached = field(default=False)

    def is_leaving(self, now):
        """Return whether it must get no new work, by the host list or its report."""
        fresh = now - self.reported_at < LEAVING_SECONDS
        return self.listed_leaving or (self.report.leaving and fresh)

    def is_down(self, now):
        """Return whether it was unreachable at the latest report."""
        if not self.report.down or now - self.reported_at > REPORT_SECONDS:
            return False
        # An answer after the report shows that the endpoint is up again.
        return self.answered_at < self.reported_at

    def is_ejected(self, now):
        """Return whether this host has ejected it."""
        return now < self.ejected_until

    def is_circuit_open(self, now, quorum):
        """Return whether this host, or enough of its peers, have ejected it.

        Ejections by peers don't count if it answered this host in the last second.
        """
        if self.is_ejected(now):
            return True
        return self.peers_ejecting >= quorum and self.answered_at < now - 1.0

    def estimate_load(self, now):
        """Return how many requests run or wait at the endpoint.

        Notes
        -----
        The report is older than the counts that the hosts exchange, so it is
        used only while no peer counts requests at the endpoint.
        """
        counted = self.running + self.peers_running
        if not self.report.measured or now - self.reported_at > REPORT_SECONDS:
            return counted
        if self.peers_running:
            return counted
        return max(counted, self.report.running + self.report.waiting)

    def weigh_load(self, now, others_weight):
        """Return the load that the router compares.

        Parameters
        ----------
        now : float
        others_weight : float
            Weight of a peer's request relative to one of this host. The peers'
            counts are old; at full weight all hosts would choose alike.
        """
        peers = self.estimate_load(now) - self.running
        return self.running + others_weight * peers

    def compute_capacity(self, now):
        """Return its slots, reduced during slow start and while it is slow."""
        age = max(0.0, now - self.available_since)
        ramp = SLOW_START_SHARE + (1 - SLOW_START_SHARE) * age / SLOW_START_SECONDS
        return self.endpoint.slots * min(1.0, ramp) / max(1.0, self.slowness)

    def note_success(self, now):
        """Record an answer, which resets the count of failures."""
        self.note_reached()
        self.failures = 0
        self.answered_at = now
        if now > self.ejected_until + LONGEST_EJECTION_SECONDS:
            self.ejections = 0

    def note_reached(self):
        """Record that this host has connected to it; forget that it couldn't."""
        if self.unreached:
            self.unreached = False
            self.failures = 0
            self.ejected_until = float("-inf")

    def note_failure(self, now, reached=True):
        """Count a failure; eject the endpoint after several in a row."""
        self.unreached = not reached
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT or self.is_ejected(now):
            return
        seconds = EJECTION_SECONDS * 2**self.ejections
        self.ejected_until = now + min(LONGEST_EJECTION_SECONDS, seconds)
        self.ejections = min(self.ejections + 1, 8)
        # After the ejection a single failure ejects it again, and it begins with
        # a slow start.
        self.failures = FAILURES_TO_EJECT - 1
        self.available_since = self.ejected_until

    def note_slowness(self, slowness):
        """Record an answer's time, as a multiple of the typical one."""
        bounded = min(slowness, SLOWNESS_LIMIT)
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)

    def apply_report(self, report, now):
        """Apply a report; an endpoint that was down begins with a slow start."""
        if self.report.down and not report.down:
            self.available_since = now
            self.failures = 0
            self.ejected_until = float("-inf")
        self.report = report
        self.reported_at = now
