"""Which host writes a key: the writes of a data centre's hosts share calls."""

import hashlib

from returns.result import Failure, Success

from ..protocol import CallError, ChannelError, Method
from ..protocol.idempotency_pb2 import WriteReply, WriteRequest
from ..store import StoreLostAnswerError, StoreUnavailableError
from .grouping import KeyWrite, WriteOutcome

__all__ = ["FleetWriter", "choose_writer"]

WRITE_METHOD = "/mangogauge.Idempotency/Write"
WRITE_TIMEOUT_SECONDS = 4.0


def choose_writer(members):
    """Return the member that writes for all of `members`, or None.

    Notes
    -----
    Rendezvous hashing over names: when hosts come and go, few change their
    choice. Hosts that choose differently do no harm, since the platform's
    conditions decide.
    """
    return min(members, key=lambda member: _rank(member.name), default=None)


class FleetWriter:
    """Writes keys through the data centre's writer, or itself.

    Parameters
    ----------
    view : MembershipView
    channels : ChannelPool
    writer : GroupWriter
    """

    def __init__(self, view, channels, writer):
        self._view = view
        self._channels = channels
        self._writer = writer

    def protocol_methods(self):
        """Return the method that peers call."""
        return [Method(WRITE_METHOD, WriteRequest, self._serve_write)]

    async def write(self, write):
        """Return ``Success(WriteOutcome)``, or the store's failure."""
        own = self._view.own
        chosen = choose_writer(self._view.list_members(own.data_centre))
        if chosen is None or chosen.name == own.name:
            return await self._writer.write(write)
        request = WriteRequest(
            key=write.key, payload=write.payload, revision=write.revision
        )
        try:
            reply = await self._channels.get(chosen.address).call(
                WRITE_METHOD, request, WriteReply, WRITE_TIMEOUT_SECONDS
            )
        except (ChannelError, CallError):
            # Writing it once more is safe: the payload tells whose it is.
            return await self._writer.write(write)
        return _read_reply(reply, chosen)

    async def _serve_write(self, request, context):
        write = KeyWrite(request.key, request.payload, request.revision)
        await context.send(_make_reply(await self._writer.write(write)))


def _rank(name):
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _make_reply(result):
    if isinstance(result, Failure):
        lost = isinstance(result.failure(), StoreLostAnswerError)
        return WriteReply(
            outcome=WriteReply.UNKNOWN if lost else WriteReply.NOT_WRITTEN
        )
    outcome = result.unwrap()
    return WriteReply(
        outcome=WriteReply.WRITTEN if outcome.written else WriteReply.CONFLICT,
        revision=outcome.revision,
        current=outcome.current,
    )


def _read_reply(reply, member):
    if reply.outcome == WriteReply.NOT_WRITTEN:
        message = "The platform was not reached."
        return Failure(
            StoreUnavailableError(message, step="write key", peer=member.name)
        )
    if reply.outcome == WriteReply.UNKNOWN:
        message = "The platform's answer was lost."
        return Failure(
            StoreLostAnswerError(message, step="write key", peer=member.name)
        )
    written = reply.outcome == WriteReply.WRITTEN
    return Success(WriteOutcome(written, reply.revision, reply.current))
