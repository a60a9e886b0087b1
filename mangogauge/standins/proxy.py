"""A fault-injecting TCP proxy between any two processes.

Each link listens on one address and passes bytes on to another. Its faults
can be changed at any time through the control port, or follow a schedule made
from a seed.
"""

import random

import curio
from attrs import asdict, define, field, fields
from curio import socket
from curio.meta import finalize

from ..http import HTTPServer, open_listener
from .answers import read_json, send_json

__all__ = ["FaultProxy", "Link", "LinkFaults", "make_schedule"]

READ_SIZE_BYTES = 65_536
POLL_INTERVAL = 0.01
CONNECT_TIMEOUT = 2.0


@define
class LinkFaults:
    """What is wrong with a link at present.

    "Forward" is from the side that connects to the side that listens.

    Parameters
    ----------
    delay : float
        Seconds added in each direction.
    jitter : float
        Largest number of further seconds, drawn evenly.
    cut_forward, cut_backward : bool
        Hold back all bytes of a direction, as a network that drops packets;
        bytes that were held back pass on when the cut ends.
    refuse : bool
        Close new connections at once.
    reset : bool
        Close all connections once, now.
    truncate_after : int
        Close a connection after this many bytes backward; 0 for never.
    lose_answers : int
        How many further connections pass bytes forward, then close at the
        first byte backward; -1 for all.
    """

    delay = field(default=0.0)
    jitter = field(default=0.0)
    cut_forward = field(default=False)
    cut_backward = field(default=False)
    refuse = field(default=False)
    reset = field(default=False)
    truncate_after = field(default=0)
    lose_answers = field(default=0)


class Link:
    """One listening address and where its bytes go.

    Parameters
    ----------
    name : str
    listen, target : str
        ``host:port``.
    seed : int
        Seed of the jitter.
    """

    def __init__(self, name, listen, target, seed=0):
        self.name = name
        self.target = target
        self.faults = LinkFaults()
        self.connections = 0
        self.bytes_forward = 0
        self.bytes_backward = 0
        self._random = random.Random(f"{seed}/{name}")
        self._generation = 0
        host, _, port = listen.rpartition(":")
        self._listener = open_listener(host, int(port))

    @property
    def port(self):
        """The port that is listened on."""
        return self._listener.getsockname()[1]

    def set_faults(self, **changes):
        """Change the named faults."""
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if self.faults.reset:
            self.faults.reset = False
            self._generation += 1

    async def serve(self):
        """Accept connections until cancelled."""
        async with curio.TaskGroup(wait=None) as group:
            while True:
                sock, _ = await self._listener.accept()
                await group.spawn(self._serve_connection, sock, daemon=True)

    async def _serve_connection(self, sock):
        self.connections += 1
        async with sock:
            if self.faults.refuse:
                return
            host, _, port = self.target.rpartition(":")
            try:
                async with curio.timeout_after(CONNECT_TIMEOUT):
                    other = await curio.open_connection(host, int(port))
            except (OSError, curio.TaskTimeout):
                return
            async with other:
                await self._pass_both_ways(sock, other)

    async def _pass_both_ways(self, sock, other):
        losing = self.faults.lose_answers != 0
        if losing:
            self.faults.lose_answers -= self.faults.lose_answers > 0
        for end in (sock, other):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._pass_forward, sock, other)
            await group.spawn(self._pass_backward, other, sock, losing)
            await group.spawn(self._wait_for_reset)

    async def _wait_for_reset(self):
        generation = self._generation
        while generation == self._generation:
            await curio.sleep(POLL_INTERVAL)

    async def _pass_forward(self, source, sink):
        # Without an explicit end the reader would go on with a closed socket.
        async with finalize(self._read_delayed(source, "cut_forward")) as pieces:
            async for data in pieces:
                self.bytes_forward += len(data)
                await sink.sendall(data)

    async def _pass_backward(self, source, sink, losing):
        passed = 0
        async with finalize(self._read_delayed(source, "cut_backward")) as pieces:
            async for data in pieces:
                if losing:
                    return
                limit = self.faults.truncate_after
                if limit and passed + len(data) > limit:
                    await sink.sendall(data[: limit - passed])
                    return
                passed += len(data)
                self.bytes_backward += len(data)
                await sink.sendall(data)

    async def _read_delayed(self, source, cut):
        """Yield data in order, each piece after its delay, none while cut."""
        pieces = curio.Queue(maxsize=256)
        reader = await curio.spawn(self._read_pieces, source, pieces)
        try:
            while True:
                due, data = await pieces.get()
                left = due - await curio.clock()
                if left > 0:
                    await curio.sleep(left)
                while getattr(self.faults, cut):
                    await curio.sleep(POLL_INTERVAL)
                if not data:
                    return
                yield data
        except OSError:
            return
        finally:
            await reader.cancel()

    async def _read_pieces(self, source, pieces):
        while True:
            try:
                data = await source.recv(READ_SIZE_BYTES)
            except OSError:
                data = b""
            delay = self.faults.delay + self._random.random() * self.faults.jitter
            await pieces.put((await curio.clock() + delay, data))
            if not data:
                return


class FaultProxy:
    """Links, and the control port that changes their faults.

    Parameters
    ----------
    links : list of Link
    """

    def __init__(self, links):
        self.links = {link.name: link for link in links}
        self.server = HTTPServer(self.handle)
        self._schedules = curio.Queue()

    async def serve(self):
        """Serve all links and the control port until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.server.serve)
            await group.spawn(self._follow_schedules)
            for link in self.links.values():
                await group.spawn(link.serve)

    async def _follow_schedules(self):
        while True:
            await self.run_schedule(await self._schedules.get())

    async def run_schedule(self, steps):
        """Apply `steps` as `make_schedule` returns them."""
        now = 0.0
        for step in steps:
            await curio.sleep(step.at - now)
            now = step.at
            self.links[step.link].set_faults(**step.changes)

    async def handle(self, exchange):
        """Change faults: ``{"link name": {"fault": value}}``; show all links.

        ``/schedule`` takes ``{"seed": ..., "links": [...], "seconds": ...}``,
        answers with the steps and follows them.
        """
        request = await read_json(exchange)
        if exchange.path == "/schedule":
            steps = make_schedule(**request)
            await self._schedules.put(steps)
            await send_json(exchange, 200, [asdict(step) for step in steps])
            return
        known = {attribute.name for attribute in fields(LinkFaults)}
        for name, changes in request.items():
            if name not in self.links or not known.issuperset(changes):
                await send_json(exchange, 400, {"error": f"unknown: {name}"})
                return
        for name, changes in request.items():
            self.links[name].set_faults(**changes)
        answer = {
            name: {
                "faults": asdict(link.faults),
                "connections": link.connections,
                "bytes_forward": link.bytes_forward,
                "bytes_backward": link.bytes_backward,
            }
            for name, link in self.links.items()
        }
        await send_json(exchange, 200, answer)


@define
class ScheduleStep:
    """At `at` seconds, change faults of the link."""

    at = field()
    link = field()
    changes = field()


FAULT_KINDS = (
    ({"cut_forward": True, "cut_backward": True}, "both ways cut"),
    ({"cut_forward": True}, "forward cut"),
    ({"cut_backward": True}, "backward cut"),
    ({"delay": 0.2, "jitter": 0.2}, "slow"),
    ({"lose_answers": 3}, "answers lost"),
    ({"reset": True}, "reset"),
)


def make_schedule(seed, links, seconds, faults_per_minute=12.0, mean_duration=2.0):
    """Return a schedule of faults that depends on the seed alone.

    Parameters
    ----------
    seed : int
    links : list of str
        Names of the links that may be hit.
    seconds : float
        Length of the schedule; every fault has ended by then.
    faults_per_minute : float, optional
    mean_duration : float, optional
        Mean seconds that a fault lasts.

    Returns
    -------
    list of ScheduleStep
        In order of time.
    """
    rng = random.Random(seed)
    names = sorted(links)
    steps = []
    at = rng.expovariate(faults_per_minute / 60)
    while at < seconds:
        link = rng.choice(names)
        changes, _ = rng.choice(FAULT_KINDS)
        ends = min(seconds, at + rng.expovariate(1 / mean_duration))
        steps.append(ScheduleStep(at, link, dict(changes)))
        restored = {name: getattr(LinkFaults(), name) for name in changes}
        steps.append(ScheduleStep(ends, link, restored))
        at += rng.expovariate(faults_per_minute / 60)
    return sorted(steps, key=lambda step: step.at)
