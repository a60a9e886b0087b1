"""How fresh a host's copies are, counting what other hosts have read.

Every host keeps copies of parts of the platform's store. If each read them
again on its own, the store's calls would grow with the number of hosts. So each
tells the others a digest of its copy and when that was last confirmed: whoever
has the same digest has the same copy, confirmed at the same time. A copy is
read again only once nobody has confirmed it for a while, or when another
host has a newer one. Which of two copies is newer is told by the store's revision,
and a copy is as old as the read that it stems from, whoever passes word of it on.
"""

from attrs import define, field, frozen

from .copies import CopyReport
from .readtimes import ReadTimes

__all__ = ["NewerCopy", "SharedFreshness"]

# The first host whose wait is over reads for all. About so many hosts draw their
# wait from the part of the interval by which it is first exceeded, all others
# from the next such part; so few read at once, however many hosts there are.
EARLY_HOSTS = 5
SPREAD = 0.3
# Least time between two reads of a copy by the same host, as a part of the interval,
# however often others tell of newer ones: while many hosts start, each changes the
# list of all.
LEAST_GAP = 0.4


@frozen
class NewerCopy:
    """Another host's copy that is newer than this host's.

    Parameters
    ----------
    report : CopyReport
        What was heard of it.
    read_at : float
        Elapsed time of the read from which it stems.
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
        Of the store, up to which the copy is whole.
    reader : str
        Process whose read last confirmed it.
    number : int
        Of that read.
    confirmed_at : float
        Elapsed time of that read.
    due_after : float
        Seconds after which it is read again.
    newer : NewerCopy or None
        The newest copy that differs, as far as heard.
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
        """Whether another host has a newer copy that differs."""
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
        Returns how many hosts share their copies, this one included.
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
        self._dates = ReadTimes()
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
            Elapsed time before which nothing was missed.
        revision : int
            Of the store, up to which the copy is whole.
        """
        copy = self._copies.setdefault(topic, _Copy())
        copy.read_at = self._clock.read_elapsed()
        self._reads += 1
        self._dates.date(topic, self._reader, self._reads, asked_at)
        read = CopyReport(digest, revision, self._reader, self._reads, 0.0)
        self._confirm(copy, read, asked_at)

    def merge_report(self, copies):
        """Take what another host tells; return topics to be read at once.

        Parameters
        ----------
        copies : dict of str to CopyReport
        """
        now = self._clock.read_elapsed()
        newer = []
        for topic, report in copies.items():
            copy = self._copies.get(topic)
            if copy is None:
                continue
            read_at = self._dates.date(
                topic, report.reader, report.number, now - report.age
            )
            if read_at is None or report.revision < copy.revision:
                continue
            if report.digest != copy.digest:
                if _is_news(copy, report):
                    copy.newer = NewerCopy(report, read_at)
                    newer.append(topic)
            elif (report.reader, report.number) == (copy.reader, copy.number):
                copy.confirmed_at = read_at
            elif read_at > copy.confirmed_at:
                self._confirm(copy, report, read_at)
        return tuple(newer)

    def note_newer_read(self, topic, expected):
        """Note that this host has read what `find_expected` returned.

        Parameters
        ----------
        topic : str
        expected : NewerCopy
        """
        copy = self._copies[topic]
        copy.read_at = self._clock.read_elapsed()
        self._confirm(copy, expected.report, expected.read_at)

    def find_newer(self, topic):
        """Return the `NewerCopy` that another host has, or None.

        Returns
        -------
        NewerCopy or None
            None also if the topic has to be read from the store's newest state.
        """
        copy = self._copies.get(topic)
        if copy is None or not copy.is_outdated or self._is_expired(copy):
            return None
        return copy.newer

    def measure_wait(self, topic, least_gap=LEAST_GAP):
        """Return the seconds until a topic has to be read again.

        Parameters
        ----------
        topic : str
        least_gap : float, optional
            Least time between two reads, as a part of the interval.
        """
        copy = self._copies.get(topic)
        if copy is None:
            return 0.0
        due_at = copy.confirmed_at + copy.due_after
        if copy.is_outdated:
            due_at = copy.read_at + self._interval * least_gap
        return max(0.0, due_at - self._clock.read_elapsed())

    def request_read(self, topic):
        """Let a topic be read again at once."""
        copy = self._copies.get(topic)
        if copy is not None:
            copy.due_after = 0.0

    def measure_age(self, topic):
        """Return the seconds since a topic was last confirmed; infinite if never."""
        copy = self._copies.get(topic)
        if copy is None:
            return float("inf")
        return self._clock.read_elapsed() - copy.confirmed_at

    def measure_read_age(self, topic):
        """Return the seconds since this host itself last read a topic."""
        copy = self._copies.get(topic)
        if copy is None:
            return float("inf")
        return self._clock.read_elapsed() - copy.read_at

    def is_due(self, topic):
        """Return whether a topic has to be read again."""
        return self.measure_wait(topic) <= 0

    def make_report(self):
        """Return ``{topic: CopyReport}`` for the other hosts."""
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
        """Take a read, of this or another process, that showed a copy to be whole."""
        copy.digest = read.digest
        copy.revision = read.revision
        copy.reader = read.reader
        copy.number = read.number
        copy.confirmed_at = read_at
        copy.due_after = self._interval * (1 + SPREAD * self._draw_delay())

    def _draw_delay(self):
        early = self._random.random() < EARLY_HOSTS / self._count_hosts()
        return self._random.random() + (not early)


def _is_news(copy, report):
    known = max(copy.revision, copy.newer.report.revision if copy.newer else 0)
    return report.revision > known
