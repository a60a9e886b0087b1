"""Freshness of a host's copies, confirmed by its own reads and by other hosts' reads.

Every host keeps copies of topics of the platform's store. If each host polled the
store on its own, the load on the store would grow with the number of hosts. So each
host reports a digest of its copy and the age of the read that last confirmed it; that
read also confirms the copies of all hosts with the same digest. A host reads a copy
again only when no read has confirmed it for a while, or when another host has a newer
one. The store's revision shows which of two copies is newer. A copy's age is that of
the read that it comes from, however many hosts have reported it since.
"""

from attrs import define, field, frozen

from .copies import CopyReport
from .readtimes import ReadTimes

__all__ = ["NewerCopy", "SharedFreshness"]

# The first host whose wait ends reads for all. A wait is the interval plus a random
# fraction of it: at most `REREAD_SPREAD` at about `EARLY_HOSTS` hosts, one to two times
# `REREAD_SPREAD` at all others. So few hosts read at once, however many there are.
EARLY_HOSTS = 5
REREAD_SPREAD = 0.3
# Minimum time between two reads of a copy by the same host, as a fraction of the
# interval, however often others report newer ones: while many hosts start, each of
# them changes the list of hosts.
MIN_GAP = 0.4


@frozen
class NewerCopy:
    """Another host's copy that is newer than this host's.

    Parameters
    ----------
    report : CopyReport
        The other host's report of it.
    read_at : float
        Elapsed time of the read that it comes from.
    """

    report = field()
    read_at = field()


@define
class _Copy:
    """This host's copy of a topic.

    Attributes
    ----------
    digest : str
    revision : int
        Revision of the store up to which the copy is complete.
    reader : str
        Process whose read last confirmed it.
    number : int
        Number of that read.
    confirmed_at : float
        Elapsed time of that read.
    due_after : float
        Seconds after `confirmed_at` at which it has to be read again.
    newer : NewerCopy or None
        The newest different copy that has been reported.
    read_at : float
        Elapsed time at which this host last read it.
    """

    digest = field(default="")
    revision = field(default=0)
    reader = field(default="")
    number = field(default=0)
    confirmed_at = field(default=float("-inf"))
    due_after = field(default=0.0)
    newer = field(default=None)
    read_at = field(default=float("-inf"))

    @property
    def is_outdated(self):
        """Whether another host has a newer copy with a different content."""
        return self.newer is not None and self.newer.report.revision > self.revision


class SharedFreshness:
    """Freshness of this host's copies.

    Parameters
    ----------
    clock : Clock
    random : random.Random
    interval : float
        Seconds after which a copy has to be confirmed again.
    count_hosts : callable, optional
        Returns how many hosts report their copies, this one included.
    reader : str, optional
        Name of this process.

    Examples
    --------
    >>> import random
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> freshness = SharedFreshness(clock, random.Random(1), interval=1.0)
    >>> freshness.note_read("routes", "a", 0.0, revision=7)
    >>> clock.advance(0.9)
    >>> freshness.merge_report({"routes": CopyReport("a", 9, "other", 1, 0.1)})
    ()
    >>> clock.advance(0.9)
    >>> freshness.is_due("routes")
    False
    >>> freshness.merge_report({"routes": CopyReport("b", 12, "other", 2, 0.0)})
    ('routes',)
    """

    def __init__(self, clock, random, interval, count_hosts=lambda: 1, reader=""):
        self._clock = clock
        self._reader = reader
        self._reads = 0
        self._read_times = ReadTimes()
        self._random = random
        self._interval = interval
        self._count_hosts = count_hosts
        self._copies = {}

    def note_read(self, topic, digest, asked_at, revision):
        """Note that this host has read a topic.

        Parameters
        ----------
        topic, digest : str
        asked_at : float
            Elapsed time at which the read was sent; the copy includes all changes
            made before.
        revision : int
            Revision of the store up to which the copy is complete.
        """
        copy = self._copies.setdefault(topic, _Copy())
        copy.read_at = self._clock.read_elapsed()
        self._reads += 1
        self._read_times.record(topic, self._reader, self._reads, asked_at)
        read = CopyReport(digest, revision, self._reader, self._reads, 0.0)
        self._confirm(copy, read, asked_at)

    def merge_report(self, copies):
        """Merge another host's report of its copies.

        Parameters
        ----------
        copies : dict of str to CopyReport

        Returns
        -------
        tuple of str
            Topics of which the other host has a newer copy than any reported before.
        """
        now = self._clock.read_elapsed()
        newer = []
        for topic, report in copies.items():
            copy = self._copies.get(topic)
            if copy is None:
                continue
            read_at = self._read_times.record(
                topic, report.reader, report.number, now - report.age
            )
            if read_at is None or report.revision < copy.revision:
                continue
            if report.digest != copy.digest:
                if _is_newer(copy, report):
                    copy.newer = NewerCopy(report, read_at)
                    newer.append(topic)
            elif (report.reader, report.number) == (copy.reader, copy.number):
                copy.confirmed_at = read_at
            elif read_at > copy.confirmed_at:
                self._confirm(copy, report, read_at)
        return tuple(newer)

    def note_newer_read(self, topic, expected):
        """Note that this host has read the copy that `find_newer` returned.

        Parameters
        ----------
        topic : str
        expected : NewerCopy
        """
        copy = self._copies[topic]
        copy.read_at = self._clock.read_elapsed()
        self._confirm(copy, expected.report, expected.read_at)

    def find_newer(self, topic):
        """Return the newer copy of a topic that another host has.

        Returns
        -------
        NewerCopy or None
            None if there is none, or if this host's copy has not been confirmed for
            too long, so that the store's newest state has to be read.
        """
        copy = self._copies.get(topic)
        if copy is None or not copy.is_outdated or self._is_expired(copy):
            return None
        return copy.newer

    def measure_wait(self, topic, least_gap=MIN_GAP):
        """Return the seconds until a topic has to be read again.

        Parameters
        ----------
        topic : str
        least_gap : float, optional
            Minimum time between two reads, as a fraction of the interval.
        """
        copy = self._copies.get(topic)
        if copy is None:
            return 0.0
        due_at = copy.confirmed_at + copy.due_after
        if copy.is_outdated:
            due_at = copy.read_at + self._interval * least_gap
        return max(0.0, due_at - self._clock.read_elapsed())

    def request_read(self, topic):
        """Make a topic due to be read again immediately."""
        copy = self._copies.get(topic)
        if copy is not None:
            copy.due_after = 0.0

    def measure_age(self, topic):
        """Return the seconds since a topic was last confirmed; infinity if never."""
        copy = self._copies.get(topic)
        if copy is None:
            return float("inf")
        return self._clock.read_elapsed() - copy.confirmed_at

    def measure_newer_age(self, topic):
        """Return the seconds since the read of a newer copy that another host has.

        Returns
        -------
        float
            Infinity if no other host is known to have one.
        """
        copy = self._copies.get(topic)
        if copy is None or not copy.is_outdated:
            return float("inf")
        return self._clock.read_elapsed() - copy.newer.read_at

    def measure_read_age(self, topic):
        """Return the seconds since this host last read a topic; infinity if never."""
        copy = self._copies.get(topic)
        if copy is None:
            return float("inf")
        return self._clock.read_elapsed() - copy.read_at

    def is_due(self, topic):
        """Return whether a topic has to be read again."""
        return self.measure_wait(topic) <= 0

    def make_report(self):
        """Return ``{topic: CopyReport}`` of this host's copies."""
        now = self._clock.read_elapsed()
        return {
            topic: CopyReport(
                copy.digest,
                copy.revision,
                copy.reader,
                copy.number,
                now - copy.confirmed_at,
            )
            for topic, copy in self._copies.items()
        }

    def _is_expired(self, copy):
        """Return whether a copy has not been confirmed for too long."""
        return self._clock.read_elapsed() >= copy.confirmed_at + copy.due_after

    def _confirm(self, copy, read, read_at):
        """Update a copy from a read by this or another process that confirmed it."""
        copy.digest = read.digest
        copy.revision = read.revision
        copy.reader = read.reader
        copy.number = read.number
        copy.confirmed_at = read_at
        copy.due_after = self._interval * (1 + REREAD_SPREAD * self._draw_delay())

    def _draw_delay(self):
        early = self._random.random() < EARLY_HOSTS / self._count_hosts()
        return self._random.random() + (not early)


def _is_newer(copy, report):
    known = max(copy.revision, copy.newer.report.revision if copy.newer else 0)
    return report.revision > known
