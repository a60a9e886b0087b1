"""Health probes of the data centre's endpoints, shared among its hosts.

Each endpoint is probed by two hosts, chosen by rendezvous hashing, so that the
cost of probing doesn't grow with the number of hosts. One that is reported as down
is probed by all: whoever reports it may have lost its own path.
"""

import curio
import orjson
import xxhash
from returns.result import Failure

from ..daemon.parts import HostPart
from ..http import ClientPool, Headers, HTTPConnectError, HTTPError
from ..settings import EndpointKind
from ..store import ListedState
from .sharing import LOAD_ENTRY, SUMMARY_ENTRY
from .states import LoadReport

__all__ = ["EndpointWatch"]

PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 1.0
PROBING_HOSTS = 2
BRIDGE_HOSTS = 2
TIMEOUTS_TO_DOWN = 3
HOST_LIST_SECONDS = 2.0


class EndpointWatch(HostPart):
    """Probes endpoints and keeps an `EndpointLoadExchange` up to date.

    Parameters
    ----------
    load_exchange : EndpointLoadExchange
    router : BalancedRouter
    view : MembershipView
    host_list : HostList, optional
        The platform's list, which may include endpoints.
    random : random.Random
    """

    def __init__(self, load_exchange, router, view, host_list, random):
        self._load_exchange = load_exchange
        self._router = router
        self._view = view
        self._host_list = host_list
        self._random = random
        self._pool = ClientPool(connect_timeout=PROBE_TIMEOUT_SECONDS)
        self._timeouts = {}
        self._applied_loads = {}
        self._leaving = frozenset()

    def operator_handlers(self):
        """Return the handler of the operator path that lists the endpoints."""
        return {"/endpoints": self._serve_endpoints}

    async def run(self):
        """Probe and follow the host list until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._run_probes)
            await group.spawn(self._poll_list)
        raise group.exception

    async def _run_probes(self):
        while True:
            await self._probe_all()
            self._publish()
            pace = PROBE_INTERVAL_SECONDS * self._view.interval_factor
            await curio.sleep(pace * (0.75 + self._random.random() / 2))

    async def _probe_all(self):
        assigned = [n for n in self._router.names if self._has_to_probe(n)]
        self._load_exchange.retain_reports(frozenset(assigned))
        self._timeouts = {n: c for n, c in self._timeouts.items() if n in assigned}
        async with curio.TaskGroup() as group:
            for name in assigned:
                await group.spawn(self._probe, name)

    async def _probe(self, name):
        state = self._router.get_state(name)
        if state is None:
            return
        report = await self._request_report(state.endpoint)
        if report is not None:
            self._timeouts.pop(name, None)
            self._load_exchange.record_own_report(name, report)
            return
        self._timeouts[name] = self._timeouts.get(name, 0) + 1
        if self._timeouts[name] >= TIMEOUTS_TO_DOWN:
            self._load_exchange.record_own_report(name, LoadReport(down=True))

    async def _request_report(self, endpoint):
        """Return a `LoadReport`, or None if the probe timed out or failed."""
        try:
            async with curio.timeout_after(PROBE_TIMEOUT_SECONDS):
                return await PROBES[endpoint.kind](self._pool, endpoint)
        except HTTPConnectError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return LoadReport(down=True) if refused else None
        except (HTTPError, curio.TaskTimeout):
            return None

    def _has_to_probe(self, name):
        # What peers report as down is seen for oneself; what this host alone has
        # lost, its own probes have to find again.
        is_doubted = name in self._load_exchange.doubted
        is_lost = self._router.is_unreached(name) or self._load_exchange.is_lost(name)
        return is_doubted or is_lost or self._is_assigned(name)

    def _is_assigned(self, name):
        own = self._view.own
        members = self._view.list_members(own.data_centre)
        ranked = sorted(
            members, key=lambda m: xxhash.xxh3_64_intdigest(f"{m.name} {name}".encode())
        )
        return own.name in [member.name for member in ranked[:PROBING_HOSTS]]

    def _publish(self):
        own = self._view.own
        members = self._view.list_members(own.data_centre)
        self._view.publish(
            LOAD_ENTRY, self._load_exchange.encode_host_load(), all_data_centres=False
        )
        if own.name in [member.name for member in members[:BRIDGE_HOSTS]]:
            self._view.publish(SUMMARY_ENTRY, self._load_exchange.encode_summary())
        loads = {
            member.name: self._view.read(member.name, LOAD_ENTRY)
            for member in members
            if member.name != own.name
        }
        received = {name: raw for name, raw in loads.items() if raw is not None}
        self._load_exchange.apply_host_loads(received, self._applied_loads)
        for name in self._router.names:
            self._router.get_state(name).listed_leaving = name in self._leaving

    async def _poll_list(self):
        while True:
            if self._host_list is not None:
                listed = await self._host_list.read()
                if not isinstance(listed, Failure):
                    self._apply_list(listed.unwrap())
            await curio.sleep(HOST_LIST_SECONDS)

    def _apply_list(self, listings):
        # GONE is ignored: the list may be outdated, and probes show sooner whether
        # the endpoint still exists.
        self._leaving = frozenset(
            row.name for row in listings if row.state is ListedState.LEAVING
        )

    async def _serve_endpoints(self, exchange):
        now = self._load_exchange.read_now()
        rows = [_describe(self._router.get_state(n), now) for n in self._router.names]
        headers = Headers([("Content-Type", "application/json")])
        await exchange.respond(200, headers, orjson.dumps({"endpoints": rows}))


async def _probe_engine(pool, endpoint):
    response = await pool.request(endpoint.address, "GET", "/load", Headers())
    body = await response.read()
    if response.status != 200:
        return LoadReport()
    try:
        value = orjson.loads(body)
        return LoadReport(
            running=int(value["running"]),
            waiting=int(value["waiting"]),
            leaving=bool(value.get("leaving")),
            measured=True,
        )
    except (ValueError, KeyError, TypeError):
        return LoadReport()


async def _probe_service(pool, endpoint):
    # A plain service may have no path that is free of side effects, so only a
    # connection is opened.
    host, _, port = endpoint.address.rpartition(":")
    try:
        sock = await curio.open_connection(host, int(port))
    except OSError as error:
        raise HTTPConnectError(
            f"No connection: {error!r}.", step="probe", peer=endpoint.address
        ) from error
    await sock.close()
    return LoadReport()


PROBES = {
    EndpointKind.ENGINE: _probe_engine,
    EndpointKind.SERVICE: _probe_service,
}


def _describe(state, now):
    return {
        "endpoint": state.endpoint.name,
        "load": state.estimate_load(now),
        "running_here": state.running,
        "leaving": state.is_leaving(now),
        "down": state.is_down(now),
        "ejected": state.is_ejected(now),
        "slowness": round(state.slowness, 3),
    }
