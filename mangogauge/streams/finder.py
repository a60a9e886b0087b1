"""Find the origin of a stream that a caller resumes."""

import curio

from ..refusals import Refusal, RefusalCode
from ..telemetry import get_logger
from .beginnings import StreamBeginning, is_same_process
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
    get_endpoint : callable
        Returns the `FleetEndpoint` of a name in this host's copy, or None.
    clock : Clock
    """

    def __init__(self, origins, history, record, confirmation, get_endpoint, clock):
        self._origins = origins
        self._history = history
        self._record = record
        self._confirmation = confirmation
        self._get_endpoint = get_endpoint
        self._clock = clock

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

    def note(self, call, endpoint, connected_at):
        """Note that an endpoint has begun or resumed the stream of a call.

        Parameters
        ----------
        call : OnlineCall
        endpoint : FleetEndpoint
        connected_at : float
            Elapsed time at which the connection was made.
        """
        if not call.route.resumable:
            return
        if call.origin is None:
            call.origin = StreamOrigin.of(endpoint)
            call.beginning = StreamBeginning(endpoint, connected_at)
        # Published before it is certain: the caller may resume at once elsewhere, also
        # when this host has ended.
        self._publish(call)
        self.note_events(call)

    def note_events(self, call):
        """Check the origin of a stream that goes on, if it isn't certain yet."""
        beginning = call.beginning
        if beginning is None or not self._is_known(beginning):
            return
        if self.is_certain(beginning):
            call.beginning = None
        else:
            self._withdraw(call)

    def is_certain(self, beginning):
        """Return whether a stream's beginning is known to be at that process.

        Parameters
        ----------
        beginning : StreamBeginning

        Notes
        -----
        Another process may have taken the endpoint's place after this host's copy was
        read. It shows in each later read, since it registers before it is connected.
        """
        current = self._get_endpoint(beginning.endpoint.name)
        return self._is_known(beginning) and is_same_process(
            beginning.endpoint, current
        )

    async def settle(self, call):
        """Find out for certain which origin the stream of a call has.

        Returns
        -------
        bool
            Whether it may go on. Where no read is possible it may, at the origin that
            this host's copy had.
        """
        if call.beginning is None:
            return True
        if not await self.has_begun_elsewhere(call.beginning):
            self.note_events(call)
            return True
        self._withdraw(call)
        # It may have begun at the one as well as at the other.
        self._history.add([call.origin])
        call.beginning = None
        call.origin = self.find_only(call.route.services)
        return call.origin is not None

    async def has_begun_elsewhere(self, beginning):
        """Return whether a stream may have begun at another process than was known.

        Parameters
        ----------
        beginning : StreamBeginning
        """
        await self._confirmation.confirm_since(beginning.connected_at)
        return self._is_known(beginning) and not self.is_certain(beginning)

    async def is_same_process(self, endpoint):
        """Return whether an endpoint that has just accepted a connection is known.

        Parameters
        ----------
        endpoint : FleetEndpoint
            As this host's copy had it before.

        Notes
        -----
        A process registers before it accepts connections, so that a later read shows
        which one it was. Where no read is possible it isn't known.
        """
        beginning = StreamBeginning(endpoint, self._clock.read_elapsed())
        await self._confirmation.confirm_since(beginning.connected_at)
        return self.is_certain(beginning)

    async def may_resume(self, origin, endpoint):
        """Return whether an endpoint has a stream's origin, as far as can be read now.

        Parameters
        ----------
        origin : StreamOrigin
        endpoint : FleetEndpoint
        """
        await self._confirmation.confirm_since(self._clock.read_elapsed())
        current = self._get_endpoint(endpoint.name)
        return current is not None and StreamOrigin.of(current) == origin

    def _is_known(self, beginning):
        """Return whether the entries were read after the connection was made."""
        return self._history.is_known_since(beginning.connected_at)

    def _publish(self, call):
        stream = digest_stream_id(call.resumed_id or call.request_id)
        self._origins.note(stream, call.origin)
        self._record.note_begun(stream, call.origin)

    def _withdraw(self, call):
        """Forget where a stream began; hosts that were told before still know it."""
        stream = digest_stream_id(call.resumed_id or call.request_id)
        if self._origins.find(stream) is None:
            return
        self._origins.forget(stream)
        self._record.forget_begun(stream)
        log.info(
            "stream's origin withdrawn: its endpoint was replaced",
            extra={
                "request_id": call.request_id,
                "endpoint": call.beginning.endpoint.name,
                "software": call.origin.software,
            },
        )

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
