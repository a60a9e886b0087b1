"""Pass endpoints' answers on to a caller, as one answer."""

import curio

from ..http import HTTPError, HTTPReceiveError
from .events import EventCutter

__all__ = ["AnswerRelay"]


class AnswerRelay:
    """One caller's answer, put together from one endpoint's or more.

    Parameters
    ----------
    call : OnlineCall
    exchange : Exchange
    pause_limit : float or None
        Seconds without any event after which an endpoint counts as silent;
        None to wait as long as the caller does.
    on_first : callable
        Called when the first piece of the answer has come.

    Attributes
    ----------
    started : bool
        Whether the caller has a part of the answer.
    last_event : int or None
        Number of the last event that the caller has.
    """

    def __init__(self, call, exchange, pause_limit, on_first):
        self._exchange = exchange
        self._resumable = call.route.resumable
        self._pause_limit = pause_limit
        self._on_first = on_first
        self.started = False
        self.last_event = call.last_event

    async def take(self, response):
        """Pass on an answer's body, and its head unless one has gone out.

        Raises
        ------
        HTTPReceiveError
            If the endpoint breaks off or falls silent.
        """
        try:
            if self._resumable:
                await self._take_events(response)
            else:
                await self._take_bytes(response)
        finally:
            await response.close()
        await self._exchange.finish()

    async def pass_whole(self, answer):
        """Pass on a `KeptAnswer`."""
        self.started = True
        headers = answer.headers.without_hop_by_hop()
        await self._exchange.respond(answer.status, headers, answer.body)

    async def _take_bytes(self, response):
        async for piece in response.iterate():
            await self._begin(response)
            await self._exchange.send_data(piece)
        await self._begin(response)

    async def _take_events(self, response):
        cutter = EventCutter()
        pieces = response.iterate()
        while True:
            piece = await self._next_piece(pieces)
            if piece is None:
                break
            for event in self._cut(cutter, piece):
                await self._begin(response)
                # Noted first: a write that fails ends the whole answer.
                self.last_event = event.number
                await self._exchange.send_data(event.raw)
        if not cutter.is_clean:
            raise HTTPReceiveError("The stream ended within an event.", step="receive")
        await self._begin(response)

    async def _next_piece(self, pieces):
        try:
            async with curio.timeout_after(self._pause_limit):
                return await anext(pieces, None)
        except curio.TaskTimeout:
            raise HTTPReceiveError(
                f"No event within {self._pause_limit:.3f} s.", step="receive"
            ) from None

    def _cut(self, cutter, piece):
        try:
            return cutter.feed(piece)
        except ValueError as error:
            raise HTTPError(str(error), step="receive") from error

    async def _begin(self, response):
        if self.started:
            return
        self.started = True
        self._on_first()
        headers = response.headers.without_hop_by_hop()
        await self._exchange.start_response(response.status, headers)
