"""Freshness of a host's copies, confirmed by its own reads and by other hosts' reads.

Every host keeps copies of topics of the platform's store. If each host polled the
store on its own, the load on the store would grow with the number of hosts. So each
host reports a digest of its copy and the age of the read that last confirmed it; that
read also confirms the copies of all hosts with the same digest. A host reads a copy
again only when no read has confirmed it for a while, or when another host has a newer
one. The store's revision shows which of two copies is newer. A copy's age is that of
the read that it comes from, however many hosts have reported it since.
"""

from attrs import define, evolve, field, frozen

from .copies import CopyReport
from .readorder import READERS, ReadOrder
from .readtimes import ReadTimes

__all__ = ["NewerCopy", "SharedFreshness"]

# Minimum time between two reads of a copy by the same host, as a fraction of the
# interval, however often others report newer ones: while many hosts start, each of
# them changes the list of hosts.
MIN_GAP_SHARE = 0.4
# In a large fleet, pauses in seconds before a copy of the store that lacked a newer
# version is read again; after these the newest state is read.
COPY_PAUSES = (0.15, 0.2, 0.3, 0.35)
LARGE_FLEET_HOSTS = 25


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
    newer : NewerCopy or None
        The newest different copy that has been reported.
    read_at : float
        Elapsed time at which this host last read it.
    requested_at : float or None
        Elapsed time since which a read of the newest state is requested.
    misses : int
        How often the store's copy has lacked what is newer.
    copy_after : float
        Elapsed time from which that copy may be read again.
    """

    digest = field(default="")
    revision = field(default=0)
    reader = field(default="")
    number = field(default=0)
    confirmed_at = field(default=float("-inf"))
    newer = field(default=None)
    read_at = field(default=float("-inf"))
    requested_at = field(default=None)
    misses = field(default=0)
    copy_after = field(default=float("-inf"))

    @property
    def is_outdated(self):
        """Whether another host has a newer copy with a different content."""
        return self.newer is not None and self.newer.report.revision > self.revision

    @property
    def last_read(self):
        """Reader, number and time of the last read known, of this or a newer copy."""
        newer = self.newer
        if self.is_outdated and newer.read_at > self.confirmed_at:
            return newer.report.reader, newer.report.number, newer.read_at
        return self.reader, self.number, self.confirmed_at


class SharedFreshness:
    """Freshness of this host's copies.

    Parameters
    ----------
    clock : Clock
    interval : float
        Seconds after which a copy has to be confirmed again.
    order : ReadOrder, optional
        Decides how much later than the first host this one reads.
    reader : str, optional
        Name of this process.

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> freshness = SharedFreshness(clock, interval=1.0)
    >>> freshness.note_read("routes", "a", 0.0, revision=7)
    >>> clock.advance(0.9)
    >>> freshness.merge_report({"routes": CopyReport("a", 9, "other", 1, 0.1)})
    ()
    >>> clock.advance(0.8)
    >>> freshness.is_due("routes")
    False
    >>> freshness.merge_report({"routes": CopyReport("b", 12, "other", 2, 0.0)})
    ('routes',)
    """

    def __init__(self, clock, interval, order=None, reader=""):
        self._clock = clock
        self._reader = reader
        self._reads = 0
        self._read_times = ReadTimes()
        self._interval = interval
        self._order = order or ReadOrder()
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
        if copy.requested_at is not None and asked_at >= copy.requested_at:
            copy.requested_at = None
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

    def note_newer_read(self, topic, expected, digest, revision):
        """Note that this host has read the copy that `find_newer` returned, or a later.

        Parameters
        ----------
        topic : str
        expected : NewerCopy
        digest : str
            Digest of what was read.
        revision : int
            Revision of the store up to which it is complete.
        """
        copy = self._copies[topic]
        copy.read_at = self._clock.read_elapsed()
        read = evolve(expected.report, digest=digest, revision=revision)
        self._confirm(copy, read, expected.read_at)

    def note_copy_missed(self, topic):
        """Note that the store's copy lacks what `find_newer` returned.

        Returns
        -------
        bool
            Whether to read that copy again later, instead of the newest state: in a
            large fleet, if others are next to read.
        """
        copy = self._copies[topic]
        is_waiting = (
            copy.misses < len(COPY_PAUSES)
            and self.count_hosts() >= LARGE_FLEET_HOSTS
            and self.find_rank(topic) >= READERS
        )
        if is_waiting:
            pause = COPY_PAUSES[copy.misses]
            copy.copy_after = self._clock.read_elapsed() + pause
            copy.misses += 1
        return is_waiting

    def find_newer(self, topic):
        """Return the newer copy of a topic that another host has.

        Returns
        -------
        NewerCopy or None
            None if there is none, or if the last read known is so old that the
            store's newest state has to be read.
        """
        copy = self._copies.get(topic)
        if copy is None or not copy.is_outdated:
            return None
        return copy.newer if self._measure_newest_wait(topic, copy) > 0 else None

    def measure_wait(self, topic, least_gap=MIN_GAP_SHARE):
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
        wait = self._measure_newest_wait(topic, copy)
        if copy.is_outdated:
            due_at = copy.read_at + self._interval * least_gap
            due_at = max(due_at, copy.copy_after)
            wait = min(wait, due_at - self._clock.read_elapsed())
        return max(0.0, wait)

    def request_read(self, topic):
        """Make a topic due to be read again immediately."""
        copy = self._copies.get(topic)
        if copy is not None:
            copy.requested_at = self._clock.read_elapsed()

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

    def measure_gap(self, topic, asked_at=None):
        """Return the longest time without a known read since the copy was confirmed.

        Parameters
        ----------
        topic : str
        asked_at : float, optional
            Elapsed time at which a read of the newest state began that ended now.

        Returns
        -------
        float
            Seconds; infinity if there is no copy yet.
        """
        copy = self._copies.get(topic)
        if copy is None:
            return float("inf")
        _, _, read_at = copy.last_read
        end = read_at if asked_at is None else asked_at
        return max(end - read_at, read_at - copy.confirmed_at)

    def find_rank(self, topic):
        """Return this host's rank among the next readers of a topic."""
        copy = self._copies.get(topic)
        if copy is None:
            return 0
        reader, number, _ = copy.last_read
        return self._order.find_rank(topic, reader, number)

    def count_hosts(self):
        """Return how many hosts are heard, this one included."""
        return self._order.count_hosts()

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

    def report_own_reads(self):
        """Return ``{topic: CopyReport}`` of the copies that this host read itself."""
        return {
            topic: report
            for topic, report in self.make_report().items()
            if report.reader == self._reader
        }

    def _measure_newest_wait(self, topic, copy):
        """Return the seconds until the newest state has to be read.

        Notes
        -----
        The order depends on the hosts that are heard, so it is not looked up before
        the first host has to read.
        """
        if copy.requested_at is not None:
            return 0.0
        reader, number, read_at = copy.last_read
        left = read_at + self._interval - self._clock.read_elapsed()
        if left > 0:
            return left
        return left + self._order.measure_delay(topic, reader, number)

    def _confirm(self, copy, read, read_at):
        """Update a copy from a read by this or another process that confirmed it."""
        copy.digest = read.digest
        copy.revision = read.revision
        copy.reader = read.reader
        copy.number = read.number
        copy.confirmed_at = read_at
        copy.misses = 0


def _is_newer(copy, report):
    known = max(copy.revision, copy.newer.report.revision if copy.newer else 0)
    return report.revision > known
