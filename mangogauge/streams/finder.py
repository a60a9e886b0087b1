"""Find the origin of a stream that a caller resumes."""

import curio

from ..refusals import Refusal, RefusalCode
from ..telemetry import get_logger
from .origins import StreamOrigin, digest_stream_id

__all__ = ["OriginFinder"]

# Longest time to look a stream up in the store.
LOOKUP_SECONDS = 0.5
RETRY_AFTER_SECONDS = 0.5

log = get_logger("streams")


class OriginFinder:
    """Finds origins: in memory, by there being only one, or by reads of the store.

    Parameters
    ----------
    origins : StreamOrigins
    history : VersionHistory
    record : StreamRecord
    confirmation : VersionConfirmation
    """

    def __init__(self, origins, history, record, confirmation):
        self._origins = origins
        self._history = history
        self._record = record
        self._confirmation = confirmation

    async def find(self, call):
        """Return the `StreamOrigin` of the stream that a call resumes.

        Parameters
        ----------
        call : OnlineCall

        Returns
        -------
        StreamOrigin or None
            None if the call begins a stream.

        Raises
        ------
        Refusal
            If the origin isn't known, or none of the route's services has it.
        """
        if call.last_event is None or not call.route.resumable:
            return None
        stream = digest_stream_id(call.resumed_id)
        origin, source = self._origins.find(stream), "memory"
        if origin is None:
            origin, source = self.find_only(call.route.services), "only version"
        if origin is None:
            origin, source = await self._look_up(call, stream), "read"
        self._log(call, origin, source)
        if origin is None:
            raise _refuse("It isn't known which software version began this stream.")
        if origin.service not in call.route.services:
            raise _refuse("The route no longer leads to the service of this stream.")
        return origin

    def note(self, call, endpoint):
        """Note that an endpoint has begun or resumed the stream of a call."""
        if not call.route.resumable:
            return
        if call.origin is None:
            call.origin = StreamOrigin.of(endpoint)
        request_id = call.resumed_id or call.request_id
        self._origins.note(digest_stream_id(request_id), call.origin)
        self._record.note_begun(digest_stream_id(request_id), call.origin)

    def find_only(self, services):
        """Return the one origin that streams of some services can have, or None."""
        possible = self._history.list_origins(services)
        is_certain = len(possible) == 1 and self._history.is_current()
        return possible[0] if is_certain else None

    async def _look_up(self, call, stream):
        services = call.route.services
        async with curio.ignore_after(LOOKUP_SECONDS):
            if not self._history.is_mixed(services):
                await self._confirmation.confirm()
            if call.resumed_id and self._history.is_mixed(services):
                await self._record.read_newer()
        # Which versions there are may have become known meanwhile.
        return self._origins.find(stream) or self.find_only(services)

    def _log(self, call, origin, source):
        log.info(
            "stream resumed" if origin else "stream's origin is unknown",
            extra={
                "request_id": call.request_id,
                "resumes": call.resumed_id,
                "after_event": call.last_event,
                "software": origin.software if origin else "",
                "found_by": source,
                "age": self._history.measure_age(),
                "known": [o.software for o in self._history.list_all()],
            },
        )


def _refuse(message):
    return Refusal(
        RefusalCode.NO_ENDPOINT,
        message,
        retry_after=RETRY_AFTER_SECONDS,
        step="find origin",
    )
