"""Relay endpoints' answers to a caller as a single answer."""

from ..fleet import RequestSemantics
from ..http import EventEndCheck, HTTPReceiveError
from .events import EventStream

__all__ = ["AnswerRelay"]


class AnswerRelay:
    """One caller's answer, assembled from the answers of one or more endpoints.

    Parameters
    ----------
    call : OnlineCall
    exchange : Exchange
    on_first_piece : callable
        Called when the first piece of the answer has arrived.
    on_events : callable
        Called after each batch of events of an answer that may be resumed.
    clock : Clock

    Attributes
    ----------
    started : bool
        Whether a part of the answer has been sent to the caller.
    last_event : int or None
        Number of the last event that was sent to the caller.
    handover : Handover or None
        Decides when the attempt fails for the silence of its endpoint; None to wait
        until the caller's deadline.
    begun_at : float or None
        Elapsed time at which the answer of the current attempt began to arrive.
    answer_seconds : float
        How long after that the last of what has arrived did; 0 if nothing has.
    """

    def __init__(self, call, exchange, on_first_piece, on_events, clock):
        self._exchange = exchange
        self._resumable = call.route.resumable
        self._is_stream = call.route.semantics is RequestSemantics.STREAM
        self._on_first_piece = on_first_piece
        self._on_events = on_events
        self._clock = clock
        self.started = False
        self.last_event = call.last_event
        self.handover = None
        self.begun_at = None
        self.answer_seconds = 0.0
        self._observer = None

    def begin_attempt(self, observer):
        """Note that a new attempt starts, whose progress `observer` observes."""
        self._observer = observer
        self.begun_at = None
        self.answer_seconds = 0.0

    async def relay(self, response):
        """Relay an answer's body, and its head unless one has been sent already.

        Raises
        ------
        HTTPReceiveError
            If the answer is interrupted or stalls, or is a stream that has no event,
            ends within one, or doesn't follow what was sent before.
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
        """Send a `BufferedAnswer` to the caller."""
        self.started = True
        headers = answer.headers.without_hop_by_hop()
        await self._exchange.respond(answer.status, headers, answer.body)

    async def _relay_bytes(self, response):
        if self.handover is not None:
            # No other endpoint can go on with such an answer.
            await self.handover.note_progress()
        end_check = EventEndCheck()
        async for piece in response.iterate():
            self._note_progress(0)
            await self._start_response(response)
            await self._exchange.send_data(piece)
            end_check.feed(piece)
        # The end of a connection may be the end of the answer, or a crash.
        if self._is_stream and not end_check.ends_with_event:
            raise HTTPReceiveError("The stream ended within an event.", step="receive")
        await self._start_response(response)

    async def _relay_events(self, response):
        stream = EventStream(response)
        try:
            await self._relay_stream(stream, response)
        finally:
            await stream.close()
        if self.begun_at is None:
            raise HTTPReceiveError("The stream ended without an event.", step="receive")

    async def _relay_stream(self, stream, response):
        while True:
            events = await self._read_events(stream)
            if not events:
                return
            self._note_progress(len(events))
            for event in events:
                self._check_number(event)
                await self._start_response(response)
                # Set before the write: if that fails, the whole answer ends.
                self.last_event = event.number
                await self._exchange.send_data(event.raw)
            self._on_events()

    async def _read_events(self, stream):
        handover = self.handover
        if handover is None:
            return await stream.read_events()
        await handover.note_progress()
        return await stream.read_events(handover.limit, handover.may_give_up)

    def _check_number(self, event):
        """Raise `HTTPReceiveError` if an event doesn't follow the one before.

        Notes
        -----
        An endpoint that should resume an answer may begin anew, or send the text of
        an error.
        """
        number = event.number
        if number is None:
            raise HTTPReceiveError("An event has no number.", step="receive")
        if self.last_event is not None and number != self.last_event + 1:
            raise HTTPReceiveError(
                f"Event {number} followed event {self.last_event}.", step="receive"
            )

    def _note_progress(self, events):
        now = self._clock.read_elapsed()
        if self.begun_at is None:
            self.begun_at = now
        self.answer_seconds = now - self.begun_at
        self._observer.note_progress(events)

    async def _start_response(self, response):
        if self.started:
            return
        self.started = True
        self._on_first_piece()
        headers = response.headers.without_hop_by_hop()
        await self._exchange.start_response(response.status, headers)
