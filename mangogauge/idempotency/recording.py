"""Recording of an answer while it arrives, for one caller or several."""

import curio

from ..gateway.sinks import Sink

__all__ = ["Recording", "RecordingSink"]


class Recording:
    """An answer in progress that any number of callers can follow.

    Attributes
    ----------
    fingerprint : bytes
        Fingerprint of the request that it answers.
    status : int
        0 until the head has arrived.
    headers : Headers
    pieces : list of bytes
    error : Exception or None
        Why the answer is incomplete; None if it isn't.
    ended : bool
    """

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self.status = 0
        self.headers = None
        self.pieces = []
        self.error = None
        self.ended = False
        self._changed = curio.Condition()

    @property
    def body(self):
        """The body received so far."""
        return b"".join(self.pieces)

    async def start(self, status, headers):
        """Record the head of the answer."""
        self.status, self.headers = status, headers
        await self._notify()

    async def add(self, data):
        """Record a piece of the body."""
        self.pieces.append(data)
        await self._notify()

    async def end(self, error=None):
        """Mark the answer as ended, with an error if it is incomplete."""
        self.error, self.ended = error, True
        await self._notify()

    async def follow(self, sink):
        """Write the answer to `sink` as it arrives; raise its error if it has one."""
        await self._wait(lambda: self.status or self.ended)
        if not self.status:
            raise self.error
        await sink.start(self.status, self.headers)
        position = 0
        while position < len(self.pieces) or not self.ended:
            await self._wait_for_piece(position)
            for piece in self.pieces[position:]:
                await sink.write(piece)
                position += 1
        if self.error is not None:
            raise self.error
        await sink.finish()

    async def _wait_for_piece(self, position):
        await self._wait(lambda: len(self.pieces) > position or self.ended)

    async def _wait(self, is_reached):
        async with self._changed:
            while not is_reached():
                await self._changed.wait()

    async def _notify(self):
        async with self._changed:
            await self._changed.notify_all()


class RecordingSink(Sink):
    """Sink that writes an answer to a `Recording`.

    Parameters
    ----------
    recording : Recording
    """

    def __init__(self, recording):
        self._recording = recording

    async def start(self, status, headers):
        """Record the head of the answer, without hop-by-hop fields."""
        self.started = True
        await self._recording.start(status, headers.without_hop_by_hop())

    async def write(self, data):
        """Record a piece of the body."""
        await self._recording.add(data)

    async def finish(self):
        """Do nothing: the task that runs the call ends the recording."""
