"""Connections to servers, kept for later requests."""

from .client import ClientResponse
from .connectors import DirectConnector
from .errors import HTTPConnectError
from .headers import Headers
from .sockets import DEFAULT_CONNECT_TIMEOUT

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
    """

    def __init__(
        self,
        connect_timeout=DEFAULT_CONNECT_TIMEOUT,
        tls=None,
        limits=None,
        connector=None,
        idle_per_address=IDLE_PER_ADDRESS,
    ):
        self._idle_per_address = idle_per_address
        self._connector = connector or DirectConnector(connect_timeout, tls, limits)
        self._idle = {}

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

        Returns
        -------
        ClientResponse

        Raises
        ------
        HTTPConnectError, HTTPSendError, HTTPReceiveError
            According to how far the request got.
        """
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
            await connection.send_request(method, target, headers, body)
            status, fields = await connection.read_answer_head(
                is_answer or _take_any_answer
            )
        except BaseException:
            await connection.close()
            raise
        return ClientResponse(connection, status, fields, self._release)

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
