"""Passing on one call's answer, which may come from several attempts.

Small answers are held until they are whole, so that a broken one can be asked
for again. Token streams are passed on event by event; what has been passed on
is counted, so that another endpoint can go on from there.
"""

import curio
from curio.meta import finalize

from ..http import EVENT_STREAM, EventEndCheck, HTTPReceiveError
from ..settings import RouteKind
from .events import EventReader

__all__ = ["AnswerRelay"]

HOLD_LIMIT_BYTES = 262_144
LAST_CHUNK_SECONDS = 0.05


class AnswerRelay:
    """Passes a call's answer to its sink, once.

    Parameters
    ----------
    call : Call
    sink : Sink

    Attributes
    ----------
    tokens : int
        Tokens passed on so far.
    """

    def __init__(self, call, sink):
        self._call = call
        self._sink = sink
        self._finish_passed = False
        self._streaming = False
        self.tokens = 0

    @property
    def started(self):
        """Whether any part of an answer has been passed on."""
        return self._sink.started

    @property
    def can_resume(self):
        """Whether another endpoint may go on with what has been passed on."""
        return self._streaming and self._call.repeatable

    async def take(self, status, headers, pieces):
        """Pass on an answer, or the rest of one.

        Parameters
        ----------
        status : int
        headers : Headers
        pieces : asynchronous iterable of bytes

        Raises
        ------
        HTTPReceiveError
            If the answer breaks off.
        """
        if self._is_token_stream(status, headers):
            await self._take_events(status, headers, pieces)
        elif self.started:
            raise HTTPReceiveError(
                f"A stream was to be resumed; the answer was {status}.",
                step="resume stream",
            )
        elif _is_small(headers):
            await self._take_held(status, headers, pieces)
        else:
            await self._take_pieces(status, headers, pieces)

    async def _take_held(self, status, headers, pieces):
        held = [piece async for piece in pieces]
        await self._sink.start(status, headers)
        for piece in held:
            await self._sink.write(piece)
        await self._sink.finish()

    async def _take_pieces(self, status, headers, pieces):
        await self._sink.start(status, headers)
        end_check = EventEndCheck()
        async for piece in pieces:
            await self._sink.write(piece)
            end_check.feed(piece)
        if _is_event_stream(headers) and not end_check.ends_with_event:
            raise HTTPReceiveError("The stream ended within an event.", step="receive")
        await self._sink.finish()

    async def _take_events(self, status, headers, pieces):
        reader = EventReader()
        first = self.tokens
        async with finalize(pieces):
            async for piece in pieces:
                for event in self._read_events(reader, piece):
                    event = event.with_usage_from(first)
                    await self._pass_event(event, status, headers)
                    if event.done:
                        await self._sink.finish()
                        await _read_last_chunk(pieces)
                        return
        raise HTTPReceiveError("The stream ended before its end.", step="receive")

    async def _pass_event(self, event, status, headers):
        # A head goes out with the first event only: until then, any other
        # endpoint's answer can still take its place.
        if not self.started:
            self._streaming = True
            await self._sink.start(status, headers)
        if event.finishes and self._finish_passed:
            return
        # Counted before it is written: a write that fails ends the call, and
        # no token may be passed on twice.
        self.tokens += event.tokens
        self._finish_passed = self._finish_passed or event.finishes
        await self._sink.write(event.raw)

    def _read_events(self, reader, piece):
        try:
            return reader.feed(piece)
        except ValueError as error:
            raise HTTPReceiveError(str(error), step="receive") from error

    def _is_token_stream(self, status, headers):
        return (
            status == 200
            and self._call.streams
            and self._call.route.kind is RouteKind.MODEL
            and _is_event_stream(headers)
        )


async def _read_last_chunk(pieces):
    # The caller has everything; read to the end, and the connection to the
    # endpoint can be used again.
    async with curio.ignore_after(LAST_CHUNK_SECONDS):
        await anext(pieces, None)


def _is_event_stream(headers):
    return headers.get("content-type", "").startswith(EVENT_STREAM)


def _is_small(headers):
    length = headers.get("content-length", "")
    return length.isdigit() and int(length) <= HOLD_LIMIT_BYTES
