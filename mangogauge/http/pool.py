"""Connections to servers, kept for later requests."""

import time

from .connectors import DirectConnector
from .errors import HTTPConnectError
from .headers import Headers
from .responses import ClientResponse, EndProof, ends_with_connection
from .sockets import DEFAULT_CONNECT_TIMEOUT
from .witnesses import ServerFate, Witnesses

__all__ = ["ClientPool", "open_response"]

IDLE_PER_ADDRESS = 64


class ClientPool:
    """Idle connections by address, reused for later requests.

    Parameters
    ----------
    connect_timeout : float, optional
        Seconds allowed for a connection to be made.
    tls : ssl.SSLContext, optional
        Context for connections to the other side; plain TCP if absent.
    limits : ClientLimits, optional
    connector : Connector, optional
        Opens connections in place of a `DirectConnector` with the arguments above.
    idle_per_address : int, optional
        Most idle connections that are kept for one address.
    proves_ends : bool, optional
        Whether an answer that ends with its connection is whole only if its server
        is shown to have outlived it.
    """

    def __init__(
        self,
        connect_timeout=DEFAULT_CONNECT_TIMEOUT,
        tls=None,
        limits=None,
        connector=None,
        idle_per_address=IDLE_PER_ADDRESS,
        proves_ends=False,
    ):
        self._idle_per_address = idle_per_address
        self._connector = connector or DirectConnector(connect_timeout, tls, limits)
        self._idle = {}
        self._witnesses = Witnesses(self._connector) if proves_ends else None

    async def request(
        self,
        address,
        method,
        target,
        headers,
        body=b"",
        fresh=False,
        is_answer=None,
        idle_limit=None,
        request_id="",
        only_idle=False,
        on_connection=None,
        is_running=None,
    ):
        """Send a request and return the head of its answer.

        Parameters
        ----------
        headers : Headers or callable
            If callable, it returns them. It is called once there is a connection,
            right before the request is sent.
        fresh : bool, optional
            Never reuse a connection: a server may close an idle connection
            just as a request is sent, which leaves its outcome unknown.
        is_answer : callable, optional
            Takes header fields, and whether the connection has carried no answer
            before; returns whether they belong to this request's answer. Answers
            that don't are read and dropped.
        idle_limit : float, optional
            Reuse only a connection that was used within so many seconds.
        request_id : str, optional
            Don't reuse a connection that has carried a request of this id: a late
            copy of its answer couldn't be told from the answer of this one.
        only_idle : bool, optional
            Raise `HTTPConnectError` rather than open a connection.
        on_connection : callable, optional
            Called with the `ClientConnection` right before the request is sent.
        is_running : async callable, optional
            Returns whether the server that is asked runs on. It decides on an answer
            that ends with its connection where no other connection shows that the
            server has outlived it; by default, that it takes a new one.

        Returns
        -------
        ClientResponse

        Raises
        ------
        HTTPConnectError, HTTPSendError, HTTPReceiveError
            According to how far the request got.
        """
        if self._witnesses is not None and not only_idle:
            await self._witnesses.prepare(address)
        connection = None
        if not fresh:
            connection = await self._take_idle(address, idle_limit, request_id)
        if connection is None and only_idle:
            raise HTTPConnectError("No connection is idle.", peer=address)
        if connection is None:
            connection = await self._connector.open(address)
        connection.note_request_id(request_id)
        if on_connection is not None:
            on_connection(connection)
        try:
            if callable(headers):
                headers = headers()
            sent_at = time.monotonic()
            await connection.send_request(method, target, headers, body)
            status, fields = await connection.read_answer_head(
                is_answer or _take_any_answer
            )
            proof = None
            if ends_with_connection(method, status, fields):
                proof = await self._make_proof(
                    connection, sent_at, is_running, request_id
                )
        except BaseException:
            await connection.close()
            raise
        return ClientResponse(connection, status, fields, self._release, proof)

    async def _make_proof(self, connection, sent_at, is_running, request_id):
        """Return the `EndProof` of an answer without a length, if one is needed."""
        if self._witnesses is None:
            return None
        end = await self._witnesses.watch(connection, sent_at)
        address = connection.address

        async def is_server_running(fate):
            if is_running is not None:
                return await is_running()
            if fate is ServerFate.ENDED:
                return False
            return await self._witnesses.is_listening(address)

        return EndProof(end, is_server_running, address, request_id)

    async def is_listening(self, address):
        """Return whether a server accepts a connection; see `Witnesses`."""
        return await self._witnesses.is_listening(address)

    async def connect(self, address):
        """Make a connection and keep it for the next request.

        Raises
        ------
        HTTPConnectError
            If none can be made.
        """
        connection = await self._connector.open(address)
        self._idle.setdefault(address, []).append(connection)

    async def close(self):
        """Close every idle connection."""
        idle, self._idle = self._idle, {}
        for connections in idle.values():
            for connection in connections:
                await connection.close()

    async def drop(self, address):
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            await connection.close()

    async def _take_idle(self, address, idle_limit, request_id):
        idle = self._idle.get(address, [])
        while idle:
            if idle_limit is not None and idle[-1].idle_seconds > idle_limit:
                # The others have been idle for longer still.
                return None
            connection = idle.pop()
            if not connection.is_stale and not connection.has_carried(request_id):
                return connection
            await connection.close()
        return None

    async def _release(self, connection, reusable, headers):
        idle = self._idle.setdefault(connection.address, [])
        reusable = reusable and len(idle) < self._idle_per_address
        if reusable and connection.prepare_next(headers):
            idle.append(connection)
            return
        await connection.close()


def _take_any_answer(headers, is_first):
    return True


async def open_response(address, method, target, headers=None, body=b"", tls=None):
    """Send one request on a connection of its own.

    Returns
    -------
    ClientResponse
        Its connection ends when the body has been read or it is closed.
    """
    pool = ClientPool(tls=tls)
    response = await pool.request(
        address, method, target, headers or Headers(), body, fresh=True
    )
    response._release = _close_connection
    return response


async def _close_connection(connection, reusable, headers):
    await connection.close()
