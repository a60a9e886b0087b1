"""Origins of streams in the platform's store, and as told within a data centre.

While the services of a route have one version only, a stream's origin follows from
that, and nothing is recorded. While they have several, each host tells the other hosts
of its data centre of the streams that it begins, and keeps a record of its own in the
store. Other hosts read the records when a caller resumes a stream that they haven't
been told of, for example because all hosts have just started. While the store is lost,
when nobody knows whether there are several versions, hosts tell each other as well.
"""

from collections import deque

import curio
import orjson
from returns.result import Failure

from ..telemetry import get_logger
from ..ticks import sleep_to_tick
from .news import StreamNews
from .origins import RETENTION_SECONDS

__all__ = ["RECORDS_PREFIX", "StreamRecord"]

RECORDS_PREFIX = "streams/"
# Least time between two writes of all hosts together, and of one host.
FLEET_WRITE_GAP_SECONDS = 0.0025
MIN_WRITE_GAP_SECONDS = 0.1
# Least time between two messages of a host to those of its data centre, for each.
PEER_TELL_GAP_SECONDS = 0.02
# Between two looks whether a stream has begun, while versions are mixed.
TICK_SECONDS = 0.025
# Least time between two reads of all hosts together.
FLEET_READ_GAP_SECONDS = 0.002
# Between two looks whether there are several versions.
POLL_SECONDS = 0.5
RETRY_SECONDS = 0.5
# Records are deleted with a lease that lives on for at least `RETENTION_SECONDS`.
LEASE_SECONDS = 2 * RETENTION_SECONDS
# Streams of one record, and of one datagram; the newest ones.
MAX_RECORDED = 4_096
MAX_TOLD = 48

log = get_logger("streams")


class StreamRecord:
    """Writes this host's record, and reads those of all hosts.

    Parameters
    ----------
    store : Store
    feed : ChangeFeed
    origins : StreamOrigins
    history : VersionHistory
    list_groups : callable
        Returns the services of each route whose streams may be resumed.
    claimant : str
        Name of this process.
    count_hosts : callable
        Returns how many hosts share the store.
    list_peers : callable
        Returns the addresses of the other hosts of the data centre.
    send : async callable
        Sends the bytes of a message to some addresses.
    clock : Clock
    """

    def __init__(
        self,
        store,
        feed,
        origins,
        history,
        list_groups,
        claimant,
        count_hosts,
        list_peers,
        send,
        clock,
    ):
        self._store = store
        self._feed = feed
        self._origins = origins
        self._history = history
        self._list_groups = list_groups
        self._key = RECORDS_PREFIX + claimant
        self._count_hosts = count_hosts
        self._list_peers = list_peers
        self._send = send
        self._clock = clock
        self._lease = None
        self._reading = curio.Lock()
        self._read_at = float("-inf")
        # Streams that this host has begun, the oldest first, and when.
        self._begun = deque(maxlen=MAX_RECORDED)
        self._untold = deque(maxlen=MAX_RECORDED)
        self._is_unrecorded = False
        self._write_after = self._tell_after = float("-inf")

    def note_begun(self, stream, origin):
        """Note a stream that this host relays, by the digest of its id."""
        self._begun.append((self._clock.read_elapsed(), stream, origin))
        self._untold.append(self._begun[-1])
        self._is_unrecorded = True

    def forget_begun(self, stream):
        """Tell and record no more where a stream began."""
        for begun in (self._begun, self._untold):
            kept = [row for row in begun if row[1] != stream]
            begun.clear()
            begun.extend(kept)
        self._is_unrecorded = True

    async def run(self):
        """Tell and record this host's streams until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._repeat_while, self._must_tell, self._tell_new)
            await group.spawn(self._repeat_while, self._is_mixed, self._record_new)

    async def read_newer(self):
        """Read the records of all hosts, unless that was done since the call.

        Returns
        -------
        bool
            Whether they are known as of the call.
        """
        asked_at = self._clock.read_elapsed()
        async with self._reading:
            if self._read_at >= asked_at:
                return True
            gap = FLEET_READ_GAP_SECONDS * self._count_hosts()
            await curio.sleep(max(0.0, self._read_at + gap - asked_at))
            started_at = self._clock.read_elapsed()
            answer = await self._feed.read_snapshot(RECORDS_PREFIX)
            if isinstance(answer, Failure):
                _log_failure("records not read", answer)
                return False
            for item in answer.unwrap().items:
                self._merge(item)
            self._read_at = started_at
            return True

    def _merge(self, item):
        try:
            news = StreamNews.from_value(orjson.loads(item.value))
        except (ValueError, TypeError) as error:
            log.warning(
                "record of streams is invalid",
                extra={"key": item.key, "reason": repr(error)},
            )
            return
        self._origins.merge(news)

    def _is_mixed(self):
        """Return whether streams of any route may have several origins."""
        return any(map(self._history.is_mixed, self._list_groups()))

    def _must_tell(self):
        """Return whether other hosts may need to be told of streams.

        Notes
        -----
        While the store is lost, no host knows whether there are several versions.
        """
        return self._is_mixed() or self._history.is_lost()

    async def _repeat_while(self, is_needed, publish):
        """Call `publish` often while `is_needed` returns true."""
        while True:
            if not is_needed():
                await sleep_to_tick(POLL_SECONDS)
                continue
            until = self._clock.read_elapsed() + POLL_SECONDS
            while self._clock.read_elapsed() < until:
                await sleep_to_tick(TICK_SECONDS)
                await publish()

    async def _tell_new(self):
        """Tell the data centre of streams that have begun, at once if none did lately.

        Notes
        -----
        A stream that breaks off as soon as it has begun goes on only if it is known.
        """
        now = self._clock.read_elapsed()
        if self._untold and now >= self._tell_after:
            self._tell_after = now + PEER_TELL_GAP_SECONDS * len(self._list_peers())
            await self._tell_peers()

    async def _record_new(self):
        """Record the streams that have begun, at once if none did lately."""
        now = self._clock.read_elapsed()
        if self._is_unrecorded and now >= self._write_after:
            gap = FLEET_WRITE_GAP_SECONDS * self._count_hosts()
            self._write_after = now + max(MIN_WRITE_GAP_SECONDS, gap)
            await self._write()

    async def _tell_peers(self):
        rows = self._list_recent(self._untold)
        self._untold.clear()
        for start in range(0, len(rows), MAX_TOLD):
            news = StreamNews.collect(rows[start : start + MAX_TOLD])
            await self._send(news.to_bytes(), self._list_peers())

    async def _write(self):
        self._is_unrecorded = False
        news = StreamNews.collect(self._list_recent(self._begun))
        answer = await self._put(news.to_bytes())
        if isinstance(answer, Failure):
            self._is_unrecorded = True
            self._lease = None
            self._write_after = self._clock.read_elapsed() + RETRY_SECONDS
            _log_failure("streams not recorded", answer)

    def _list_recent(self, begun):
        """Return pairs of a stream and its origin, without those that are too old."""
        oldest = self._clock.read_elapsed() - RETENTION_SECONDS
        while begun and begun[0][0] < oldest:
            begun.popleft()
        return [(stream, origin) for _, stream, origin in begun]

    async def _put(self, value):
        if not self._has_lease():
            granted = await self._store.grant_lease(LEASE_SECONDS)
            if isinstance(granted, Failure):
                return granted
            self._lease = granted.unwrap()
        return await self._store.put(self._key, value, self._lease.lease_id)

    def _has_lease(self):
        """Return whether the lease lives as long as what is written now is needed."""
        if self._lease is None:
            return False
        needed_until = self._clock.read_elapsed() + RETENTION_SECONDS
        return self._lease.valid_until >= needed_until


def _log_failure(message, answer):
    log.warning(message, extra={"reason": str(answer.failure())})
