"""Pass endpoints' answers on to a caller, as one answer."""

from .events import EventStream

__all__ = ["AnswerRelay"]


class AnswerRelay:
    """One caller's answer, put together from one endpoint's or more.

    Parameters
    ----------
    call : OnlineCall
    exchange : Exchange
    on_first_piece : callable
        Called when the first piece of the answer has come.

    Attributes
    ----------
    started : bool
        Whether the caller has a part of the answer.
    last_event : int or None
        Number of the last event that the caller has.
    idle_timeout : float or None
        Seconds without any event after which an endpoint counts as silent;
        None to wait as long as the caller does.
    sending : AttemptObserver
        Told of what comes of the answer that is taken.
    """

    def __init__(self, call, exchange, on_first_piece):
        self._exchange = exchange
        self._resumable = call.route.resumable
        self._on_first_piece = on_first_piece
        self.started = False
        self.last_event = call.last_event
        self.idle_timeout = None
        self.sending = None

    async def relay(self, response):
        """Pass on an answer's body, and its head unless one has gone out.

        Raises
        ------
        HTTPReceiveError
            If the endpoint breaks off or falls silent.
        """
        try:
            if self._resumable:
                await self._relay_events(response)
            else:
                await self._relay_bytes(response)
        finally:
            await response.close()
        await self._exchange.finish()

    async def relay_buffered(self, answer):
        """Pass on a `BufferedAnswer`."""
        self.started = True
        headers = answer.headers.without_hop_by_hop()
        await self._exchange.respond(answer.status, headers, answer.body)

    async def _relay_bytes(self, response):
        async for piece in response.iterate():
            self.sending.note_progress(0)
            await self._start_response(response)
            await self._exchange.send_data(piece)
        await self._start_response(response)

    async def _relay_events(self, response):
        stream = EventStream(response)
        while True:
            events = await stream.read_events(self.idle_timeout)
            if not events:
                break
            self.sending.note_progress(len(events))
            for event in events:
                await self._start_response(response)
                # Noted first: a write that fails ends the whole answer.
                self.last_event = event.number
                await self._exchange.send_data(event.raw)
        await self._start_response(response)

    async def _start_response(self, response):
        if self.started:
            return
        self.started = True
        self._on_first_piece()
        headers = response.headers.without_hop_by_hop()
        await self._exchange.start_response(response.status, headers)
