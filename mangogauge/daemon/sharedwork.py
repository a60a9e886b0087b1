"""A runner's copy of the open jobs, whose changes one runner reads for all.

The load this answers: each runner that waits at the store for changes of open jobs
costs a call for each change, whatever the others read. Instead the runners read in
turn, and the reader sends the changes to the others. A runner that has missed some
reads them itself.
"""

from ..fleet import Follower, SharedSchedule
from ..sharing import DATAGRAM_BYTES, ChangeNews, ReadOrder, SharedFreshness
from ..telemetry import get_logger

__all__ = ["SharedWork"]

# Age at which the copy is read again; `CancellationCheck` allows four times as much.
INTERVAL_SECONDS = 0.5

log = get_logger("work")


class SharedWork:
    """One runner's copy of the open jobs' entries.

    Parameters
    ----------
    feed : ChangeFeed
    prefix : str
    listener : Listener
    member : FleetMember
        This host.
    neighbours : Neighbours
    on_read : async callable
        Called after a read, since the store has answered.
    send : async callable
        Takes the bytes of a datagram and the addresses that it is sent to.
    backoff : ReadBackoff
    clock : Clock
    count_read : callable
        See `SharedSchedule`.

    Attributes
    ----------
    follower : Follower
    """

    def __init__(
        self,
        feed,
        prefix,
        listener,
        member,
        neighbours,
        on_read,
        send,
        backoff,
        clock,
        count_read,
    ):
        self._prefix = prefix
        self._neighbours = neighbours
        self._on_read = on_read
        self._send = send
        self._freshness = SharedFreshness(
            clock,
            INTERVAL_SECONDS,
            ReadOrder(member.name, neighbours.list_reporting_runners),
            member.incarnation,
        )
        self._schedule = SharedSchedule(
            self._freshness, prefix, self._send_changes, backoff, count_read
        )
        self.follower = Follower(feed, prefix, listener, self._schedule, clock)

    def measure_age(self):
        """Return the seconds since the read of the newest state that the copy has."""
        return self._freshness.measure_age(self._prefix)

    async def wake(self):
        """Check again whether a read is due."""
        await self._schedule.wake()

    async def take(self, news):
        """Apply the `ChangeNews` of another runner."""
        if news.prefix != self._prefix:
            return
        if self.follower.merge_changes(news.base, news.changes):
            self._freshness.merge_report(news.copies)
        elif self.follower.loaded:
            log.info(
                "changes of open jobs missed",
                extra={"base": news.base, "revision": news.changes.revision},
            )
            await self._schedule.request_read()

    async def _send_changes(self):
        """Send what this runner has read to the other runners.

        Notes
        -----
        The changes of the read before are repeated in case a datagram was lost, if both
        fit into one. If the last alone don't fit, the other runners read them.
        """
        await self._on_read()
        copies = self._freshness.report_own_reads()
        recent = self.follower.list_recent_changes()
        if not copies:
            return
        for start in range(len(recent)):
            base, changes = _join(recent[start:])
            data = ChangeNews(copies, base, changes).to_bytes()
            if len(data) <= DATAGRAM_BYTES:
                await self._send(data, self._neighbours.list_runner_addresses())
                return


def _join(recent):
    """Return the revision before several groups of changes, and all of these."""
    events = [event for _, changes in recent for event in changes.events]
    base, last = recent[0][0], recent[-1][1]
    return base, type(last)(events, last.revision)
