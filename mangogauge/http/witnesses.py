"""Show which servers outlive answers that end with their connection.

The connections of a process that is killed end in good order, so that the end of an
answer without a length may be that of its server. All of them end at once, though.
So a second connection, which carries nothing, is kept to each server that answers
this way: if it is open a moment after an answer's end, the server has outlived the
answer.
"""

import time
from enum import Enum

import curio
from attrs import define, field

from .errors import HTTPConnectError

__all__ = ["AnswerEnd", "ServerFate", "Witnesses"]

# All connections of a process have ended so soon after its first one.
SETTLE_SECONDS = 0.05
# How long a witness is kept after the last such answer, or request that may have one.
KEEP_SECONDS = 5.0
# How long a server is expected to answer this way again.
EXPECT_SECONDS = 60.0
# Between two attempts to open a witness.
RETRY_SECONDS = 1.0
# How often a witness that carries nothing is looked at.
CHECK_SECONDS = 1.0


class ServerFate(Enum):
    """What became of a server when an answer ended."""

    OUTLIVED = "outlived the answer"
    ENDED = "its other connection ended at the same time"
    UNKNOWN = "no other connection to it was open"


@define(eq=False)
class _Witness:
    """A connection that carries nothing.

    Parameters
    ----------
    connection : ClientConnection
    opened_at : float
        Monotonic time.
    ended_at : float or None
        When its end was noticed; None as long as it was not.
    """

    connection = field()
    opened_at = field(factory=time.monotonic)
    ended_at = field(default=None)

    @property
    def is_open(self):
        """Whether the server has neither ended it nor sent anything."""
        if self.ended_at is None and self.connection.has_input():
            self.ended_at = time.monotonic()
        return self.ended_at is None


class AnswerEnd:
    """The end of one answer, which is also that of its connection.

    Parameters
    ----------
    server : _Server
    connection : ClientConnection
        Carries the answer.
    sent_at : float
        Monotonic time at which its request was sent.
    """

    def __init__(self, server, connection, sent_at):
        self._server = server
        self._connection = connection
        self._sent_at = sent_at
        self._witness = None

    def take_witness(self, witness):
        """Take a connection that the server accepted before the answer's end."""
        is_early = witness.opened_at <= self._sent_at
        if is_early or not self._connection.has_ended():
            self._witness = witness

    async def judge(self):
        """Return the `ServerFate`; to be called once the answer has ended."""
        ended_at = time.monotonic()
        await curio.sleep(SETTLE_SECONDS)
        witness = self._witness
        if witness is None:
            return ServerFate.UNKNOWN
        if witness.is_open:
            return ServerFate.OUTLIVED
        is_older = witness.ended_at < ended_at - SETTLE_SECONDS
        return ServerFate.UNKNOWN if is_older else ServerFate.ENDED

    def close(self):
        """Need no witness any more."""
        self._server.answers.discard(self)


class _Server:
    """One server that has answered without a length.

    Parameters
    ----------
    address : str
    connector : Connector

    Attributes
    ----------
    answers : set of AnswerEnd
        Ends of answers that are still to come.
    answered_at : float
        Monotonic time of the last such answer.
    """

    def __init__(self, address, connector):
        self._address = address
        self._connector = connector
        self._witness = None
        self._retry_at = float("-inf")
        self._opening = curio.Lock()
        self._is_kept = False
        self._kept_until = float("-inf")
        self.answers = set()
        self.answered_at = float("-inf")

    @property
    def is_expected(self):
        """Whether its answers are likely to end with their connection again."""
        return time.monotonic() < self.answered_at + EXPECT_SECONDS

    @property
    def is_in_use(self):
        """Whether it has to be remembered."""
        return self.is_expected or bool(self.answers)

    @property
    def _is_needed(self):
        return bool(self.answers) or time.monotonic() < self._kept_until

    def keep(self):
        """Keep a witness for a while, once there is one."""
        self._kept_until = time.monotonic() + KEEP_SECONDS

    def add(self, connection, sent_at):
        """Return the `AnswerEnd` of an answer that begins on a connection."""
        self.answered_at = time.monotonic()
        self.keep()
        end = AnswerEnd(self, connection, sent_at)
        self.answers.add(end)
        if self._witness is not None and self._witness.is_open:
            end.take_witness(self._witness)
        return end

    async def open(self):
        """Make sure that there is a witness, unless none could be opened just now."""
        async with self._opening:
            if self._witness is not None and self._witness.is_open:
                return
            if time.monotonic() < self._retry_at:
                return
            self._retry_at = time.monotonic() + RETRY_SECONDS
            try:
                connection = await self._connector.open(self._address)
            except HTTPConnectError:
                return
            self._witness = _Witness(connection)
            for answer in self.answers:
                answer.take_witness(self._witness)
        if not self._is_kept:
            self._is_kept = True
            await curio.spawn(self._keep, daemon=True)

    async def _keep(self):
        """Keep a witness open while one is needed; then close it."""
        try:
            while self._is_needed:
                witness = self._witness
                if witness.is_open:
                    async with curio.ignore_after(CHECK_SECONDS):
                        await witness.connection.wait_for_input()
                    continue
                await witness.connection.close()
                await curio.sleep(max(0.0, self._retry_at - time.monotonic()))
                await self.open()
        finally:
            self._is_kept = False
            witness, self._witness = self._witness, None
            await witness.connection.close()


class Witnesses:
    """Connections that show whether servers outlive their answers, by address.

    Parameters
    ----------
    connector : Connector
    """

    def __init__(self, connector):
        self._connector = connector
        self._servers = {}

    async def prepare(self, address):
        """Have a witness before a request, if its answer may have no length."""
        server = self._servers.get(address)
        if server is None:
            return
        if server.is_expected:
            server.keep()
            await server.open()
        elif not server.is_in_use:
            del self._servers[address]

    async def watch(self, connection, sent_at):
        """Return the `AnswerEnd` of an answer without a length whose head has come.

        Parameters
        ----------
        connection : ClientConnection
        sent_at : float
            Monotonic time at which the request was sent.
        """
        address = connection.address
        server = self._servers.get(address)
        if server is None:
            self._forget_others()
            server = self._servers[address] = _Server(address, self._connector)
        end = server.add(connection, sent_at)
        # The answer isn't held up by it.
        await curio.spawn(server.open, daemon=True)
        return end

    def _forget_others(self):
        """Forget the servers that have had no such answer lately."""
        for address in [a for a, s in self._servers.items() if not s.is_in_use]:
            del self._servers[address]

    async def is_listening(self, address):
        """Return whether a server accepts a connection.

        Notes
        -----
        To be asked once a `ServerFate` is known: by then a process that has ended
        accepts none any more.
        """
        try:
            connection = await self._connector.open(address)
        except HTTPConnectError:
            return False
        await connection.close()
        return True
