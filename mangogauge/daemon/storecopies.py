"""One host's copies of the store's entries, and the news of reads between hosts.

The load this answers: every call to the store counts, and all hosts need the same
entries. They read in turn, so that the calls don't grow with the number of hosts.
"""

from functools import partial

from ..fleet import FixedDelaySchedule, Follower, SharedSchedule
from ..sharing import CopyNews, ReadBackoff, ReadOrder, SharedFreshness
from ..supervision import keep_running
from .sharedwork import SharedWork

__all__ = ["StoreCopies"]

# Age at which some host reads the operators', endpoints' or hosts' entries again.
FRESH_SECONDS = 0.7
# Entries of open jobs are awaited at the store, so briefly that with the pause between
# two reads no copy grows as old as `CancellationCheck` allows.
WAIT_SECONDS = 0.5


class StoreCopies:
    """Follows prefixes of the store, most of them in turn with the other hosts.

    Parameters
    ----------
    feed : ChangeFeed
    host, incarnation : str
        Name of this host, and identifier of its process.
    neighbours : Neighbours
    on_read : async callable
        Called after a read of a prefix that all hosts follow, to report it.
    is_direct : callable
        Returns whether reports reach all hosts.
    send : async callable
        Takes the bytes of a datagram and the addresses that it is sent to.
    clock : Clock
    random : random.Random
    count_read : callable
        See `SharedSchedule`.
    takes_turns : bool
        Whether this host reads in turn with the others.
    """

    def __init__(
        self,
        feed,
        host,
        incarnation,
        neighbours,
        on_read,
        is_direct,
        send,
        clock,
        random,
        count_read,
        takes_turns,
    ):
        self._feed = feed
        self._neighbours = neighbours
        self._on_read = on_read
        self._is_direct = is_direct
        self._send = send
        self._clock = clock
        self._count_read = count_read
        self._backoff = ReadBackoff(clock, random)
        order = ReadOrder(host, neighbours.list_reporting)
        self.freshness = SharedFreshness(
            clock, FRESH_SECONDS, order if takes_turns else None, incarnation
        )
        self._schedules = {}
        self._shared_work = None
        # Pairs of a follower and what has to return before its first read, or None.
        self._followers = []

    def follow_shared(self, prefix, listener, wait_to_begin=None, **pace):
        """Keep a copy that is read in turn with the other hosts."""
        schedule = self._schedules[prefix] = SharedSchedule(
            self.freshness,
            prefix,
            self._notify_read,
            self._backoff,
            self._count_read,
            **pace,
        )
        follower = Follower(
            self._feed, prefix, listener, schedule, self._clock, reads_all=True
        )
        self._followers.append((follower, wait_to_begin))

    def follow_waiting(self, prefix, listener, pause_seconds):
        """Keep a copy by waiting at the store for changes; return its `Follower`."""
        schedule = FixedDelaySchedule(pause_seconds)
        follower = Follower(
            self._feed, prefix, listener, schedule, self._clock, WAIT_SECONDS
        )
        self._followers.append((follower, None))
        return follower

    def follow_work(self, prefix, listener, member):
        """Keep a copy of open jobs that is read in turn with the other runners.

        Returns
        -------
        SharedWork
        """
        work = self._shared_work = SharedWork(
            self._feed,
            prefix,
            listener,
            member,
            self._neighbours,
            self._wake,
            self._send,
            self._backoff,
            self._clock,
            self._count_read,
        )
        self._followers.append((work.follower, None))
        return work

    async def start(self, group):
        """Spawn the followers in a task group."""
        for follower, wait_to_begin in self._followers:
            run = partial(_run, follower, wait_to_begin)
            await group.spawn(keep_running, follower.name, run)

    async def request_read(self, prefix):
        """Make the next read of a prefix due at once."""
        await self._schedules[prefix].request_read()

    async def take_copies(self, news):
        """Merge the copies in another host's report, summary or `CopyNews`."""
        for topic in self.freshness.merge_report(news.copies):
            await self._schedules[topic].wake()

    async def take_changes(self, news):
        """Apply the `ChangeNews` of another runner, if this host keeps open jobs."""
        if self._shared_work is not None:
            await self._shared_work.take(news)

    async def _notify_read(self):
        """Tell the other hosts at once that this one has read the store.

        Notes
        -----
        Where reports go to all hosts, they suffice.
        """
        await self._wake()
        await self._on_read()
        if not self._is_direct():
            news = CopyNews(self.freshness.report_own_reads())
            await self._send(news.to_bytes(), self._neighbours.list_addresses())

    async def _wake(self):
        """Let what waits after a failure check again, since the store has answered."""
        for schedule in self._schedules.values():
            await schedule.wake()
        if self._shared_work is not None:
            await self._shared_work.wake()


async def _run(follower, wait_to_begin):
    if wait_to_begin is not None:
        await wait_to_begin()
    await follower.run()
