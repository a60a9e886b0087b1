"""An answer that is kept while it comes, for one caller or several."""

import curio

from ..gateway.sinks import Sink

__all__ = ["Recording", "RecordingSink"]


class Recording:
    """An answer under way, which any number of callers may follow.

    Attributes
    ----------
    fingerprint : bytes
        Of the request that it answers.
    status : int
    headers : Headers
    pieces : list of bytes
    error : Exception or None
        Why there is no whole answer.
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
        """All pieces so far."""
        return b"".join(self.pieces)

    async def start(self, status, headers):
        """Take the head of the answer."""
        self.status, self.headers = status, headers
        await self._notify()

    async def add(self, data):
        """Take a piece of the body."""
        self.pieces.append(data)
        await self._notify()

    async def end(self, error=None):
        """Say that nothing more comes."""
        self.error, self.ended = error, True
        await self._notify()

    async def follow(self, sink):
        """Pass the answer on as it comes; raise its error if it has one."""
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
    """Passes an answer into a `Recording`.

    Parameters
    ----------
    recording : Recording
    """

    def __init__(self, recording):
        self._recording = recording

    async def start(self, status, headers):
        """Take the head of the answer."""
        self.started = True
        await self._recording.start(status, headers.without_hop_by_hop())

    async def write(self, data):
        """Take a piece of the body."""
        await self._recording.add(data)

    async def finish(self):
        """The answer is whole; whoever runs the call says so to the rest."""
