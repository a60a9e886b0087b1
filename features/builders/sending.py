"""A dispatcher whose connections to endpoints are made late, or never."""

import logging
import random
import socket

import curio

from mangogauge.clock import SystemClock
from mangogauge.entry import EndpointClient, OnlineCall, OnlineDispatcher
from mangogauge.fleet import RequestSemantics
from mangogauge.http import (
    ClientConnection,
    ClientPool,
    Connector,
    Headers,
    HTTPConnectError,
)
from mangogauge.paths import EndpointPool, PathState
from mangogauge.placement import EndpointChooser, EndpointHealth, SlotQueue
from mangogauge.platform.endpoints import PlatformEndpoints
from mangogauge.platform.names import HEADERS
from mangogauge.refusals import Refusal
from mangogauge.routing import RetryBudgets, RetryPolicy
from mangogauge.sharing import ReportTable
from mangogauge.telemetry import ServingMetrics
from mangogauge.trust import EndpointTrust

from .crashes import make_crash_detector
from .fleet import FixedDirectory, make_endpoint, make_route
from .origins import CertainOrigins

__all__ = ["NEVER", "SendingWorld"]

NEVER = 3600.0
ACCOUNT = "desk"


class _DeafSocket:
    """Takes a request, and then breaks or stays silent."""

    def __init__(self, sent, breaks):
        self._sent = sent
        self._breaks = breaks
        # Nothing ever comes there.
        self._quiet, self._far = socket.socketpair()

    def fileno(self):
        return self._quiet.fileno()

    async def sendall(self, data):
        self._sent.append(data.decode())

    async def recv(self, size):
        if self._breaks:
            raise ConnectionResetError
        await curio.sleep(NEVER)

    async def close(self):
        self._quiet.close()
        self._far.close()


class _LateConnector(Connector):
    """Takes its time for each connection.

    Attributes
    ----------
    plan : list
        Seconds that each connection takes, and whether it breaks once used. None if
        it is refused.
    sent : list of str
        Requests that were sent.
    asked : int
        Connections that were asked for.
    """

    def __init__(self, plan):
        self.plan = list(plan)
        self.sent = []
        self.asked = 0

    async def open(self, address):
        self.asked += 1
        connection = self.plan.pop(0)
        if connection is None:
            raise HTTPConnectError("Refused.", peer=address)
        seconds, breaks = connection
        await curio.sleep(seconds)
        return ClientConnection(address, _DeafSocket(self.sent, breaks))


class _NoPeers:
    """Stands in for a `PathChecker` of a host that has no peers."""

    async def find_path(self, endpoint, error):
        return PathState.LOST


class _Slots:
    """Stands in for a `SlotQueue` that always has room at another endpoint."""

    def __init__(self):
        self._number = 0

    async def acquire(self, call, service, excluded=()):
        self._number += 1
        return make_endpoint(f"e{self._number}")

    async def try_acquire(self, call, service, excluded=()):
        return await self.acquire(call, service, excluded)

    async def release(self, endpoint, seconds):
        pass


async def _skip_notification():
    await curio.sleep(0)


def make_slot_queue(endpoints, full, health, clock):
    """Return a `SlotQueue` of some endpoints, those that are named in `full` full."""
    report_table = ReportTable("h1", "1", clock)
    for endpoint in endpoints:
        # One request may queue at an endpoint beyond its slots.
        for _ in range((endpoint.slots + 1) * (endpoint.name in full)):
            report_table.begin(endpoint.name)
    chooser = EndpointChooser(
        FixedDirectory(endpoints),
        report_table,
        health,
        EndpointTrust(clock),
        "a",
        random.Random(1),
    )
    return SlotQueue(chooser, report_table, _skip_notification, clock, random.Random(2))


class SendingWorld:
    """A dispatcher with endpoints that never answer.

    Parameters
    ----------
    *plan
        See `_LateConnector`.
    endpoints : list of FleetEndpoint, optional
        Those that there are; by default there is always another one with room.
    full : collection of str, optional
        Names of endpoints that have no room.
    kept : int, optional
        How many of the connections were made before the request came.
    find_obstacle : callable, optional
        As of `EndpointClient`.
    """

    def __init__(
        self,
        *plan,
        endpoints=None,
        full=(),
        kept=0,
        find_obstacle=lambda endpoint, scope: None,
    ):
        self._clock = SystemClock()
        self._budgets = RetryBudgets(self._clock)
        self._kept = kept
        # What curio has logged of tasks that ended by an error.
        self.crashes = []
        self._connector = _LateConnector(plan)
        health = EndpointHealth(self._clock)
        pool = self._pool = ClientPool(connector=self._connector)
        client = EndpointClient(
            EndpointPool(pool, lambda scope: pool, health.paths, _NoPeers()),
            PlatformEndpoints(),
            FixedDirectory([]),
            self._clock,
            find_obstacle=find_obstacle,
        )
        slots = _Slots()
        if endpoints is not None:
            slots = make_slot_queue(endpoints, full, health, self._clock)
        self._dispatcher = OnlineDispatcher(
            slots,
            client,
            health,
            EndpointTrust(self._clock),
            make_crash_detector(self._clock),
            CertainOrigins(),
            RetryPolicy(self._budgets),
            self._clock,
            random.Random(1),
            ServingMetrics(),
        )

    def dispatch(self, seconds, semantics=RequestSemantics.ONCE):
        """Dispatch a request with a deadline; return its `Refusal`."""
        kernel_log = logging.getLogger("curio.kernel")
        kernel_log.addFilter(self._note_crash)
        try:
            return curio.run(self._dispatch, seconds, semantics)
        finally:
            kernel_log.removeFilter(self._note_crash)

    def spend_retries(self):
        """Use up the retries that the account has on the route."""
        while self._budgets.take(ACCOUNT, make_route().name):
            pass

    @property
    def connection_count(self):
        """Number of connections that were asked for."""
        return self._connector.asked

    @property
    def sent_count(self):
        """Number of times that the request was sent."""
        return len(self._connector.sent)

    @property
    def patience(self):
        """Seconds that the endpoint was told it has."""
        _, _, field = self._connector.sent[0].partition(f"{HEADERS.patience}: ")
        return int(field.split()[0]) / 1000

    def _note_crash(self, record):
        self.crashes.append(record.getMessage())
        return True

    async def _dispatch(self, seconds, semantics):
        for _ in range(self._kept):
            await self._pool.connect(make_endpoint().address)
        now = self._clock.read_elapsed()
        call = OnlineCall(
            "r1",
            make_route(semantics=semantics, attempt_limit=2),
            ACCOUNT,
            "POST",
            "/ask/1",
            Headers(),
            b"{}",
            now,
            now + seconds,
        )
        try:
            await self._dispatcher.run(call, None)
        except Refusal as refusal:
            return refusal
