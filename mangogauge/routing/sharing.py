"""Compact messages by which a data centre's hosts share endpoint loads."""

import xxhash

from ..protocol.routing_pb2 import DataCentreLoad, EndpointReport, HostLoad, ModelLoad
from .states import LoadReport

__all__ = ["LOAD_ENTRY", "SUMMARY_ENTRY", "EndpointLoadExchange"]

LOAD_ENTRY = "endpoint-load"
SUMMARY_ENTRY = "data-centre-load"
COUNT_LIMIT = 255
ANSWER_SECONDS = 1.0


class EndpointLoadExchange:
    """Encodes a router's endpoint loads as messages, and applies those of peers.

    Parameters
    ----------
    router : BalancedRouter
    clock : Clock

    Attributes
    ----------
    doubted : frozenset of str
        Names of endpoints that a peer reports as down.
    """

    def __init__(self, router, clock):
        self._router = router
        self._clock = clock
        self._own_reports = {}
        self.doubted = frozenset()

    def read_now(self):
        """Return the elapsed time in seconds of the router's clock."""
        return self._clock.read_elapsed()

    def record_own_report(self, name, report):
        """Record a report that this host got from an endpoint itself."""
        self._own_reports[name] = report
        state = self._router.get_state(name)
        if state is not None:
            state.apply_report(report, self._clock.read_elapsed())
            if not report.down:
                state.note_reached()

    def is_lost(self, name):
        """Return whether this host's own report says that an endpoint is down."""
        report = self._own_reports.get(name)
        return report is not None and report.down

    def retain_reports(self, names):
        """Drop reports of endpoints that this host no longer probes."""
        self._own_reports = {n: r for n, r in self._own_reports.items() if n in names}

    def encode_host_load(self):
        """Return this host's serialized `HostLoad`."""
        now = self._clock.read_elapsed()
        names = self._router.names
        states = [self._router.get_state(name) for name in names]
        bits = sum(_has_failed(state, now) << i for i, state in enumerate(states))
        load = HostLoad(
            endpoints_digest=_digest(names),
            running=bytes(min(COUNT_LIMIT, state.running) for state in states),
            ejected=bits.to_bytes((len(names) + 7) // 8, "little"),
            reports=[_encode(n, r) for n, r in sorted(self._own_reports.items())],
        )
        return load.SerializeToString()

    def apply_host_loads(self, loads, seen):
        """Replace the peers' loads by their latest messages.

        Parameters
        ----------
        loads : dict of str to bytes
            Serialized `HostLoad` by host name.
        seen : dict of str to bytes
            The messages applied before; updated in place. A report counts as
            fresh only if its host's message has changed.
        """
        names = self._router.names
        digest = _digest(names)
        running = [0] * len(names)
        ejecting = [0] * len(names)
        decoded = {host: HostLoad.FromString(raw) for host, raw in loads.items()}
        rows = [row for load in decoded.values() for row in load.reports]
        self.doubted = frozenset(row.endpoint for row in rows if row.down)
        reached = {row.endpoint for row in rows if not row.down}
        for host, load in decoded.items():
            if seen.get(host) != loads[host]:
                self._apply_reports(load, reached)
            if load.endpoints_digest == digest:
                _add_counts(load, running, ejecting)
        seen.clear()
        seen.update(loads)
        for i, name in enumerate(names):
            state = self._router.get_state(name)
            state.peers_running = running[i]
            state.peers_ejecting = ejecting[i]

    def encode_summary(self):
        """Return this data centre's serialized `DataCentreLoad`."""
        models = [
            ModelLoad(model=model, slots=slots, running=round(load))
            for model, (slots, load) in sorted(self._router.measure_models().items())
        ]
        return DataCentreLoad(models=models).SerializeToString()

    def _apply_reports(self, load, reached):
        now = self._clock.read_elapsed()
        for row in load.reports:
            state = self._router.get_state(row.endpoint)
            if state is None or row.endpoint in self._own_reports:
                continue
            # A host that has lost its own path reports sound endpoints as down.
            has_answered = now - state.answered_at < ANSWER_SECONDS
            if row.down and (row.endpoint in reached or has_answered):
                continue
            state.apply_report(_decode(row), now)


def _has_failed(state, now):
    """Return whether an endpoint is ejected, and not for this host's own path."""
    return state.is_ejected(now) and not state.unreached


def _add_counts(load, running, ejecting):
    bits = int.from_bytes(load.ejected, "little")
    for i, count in enumerate(load.running):
        running[i] += count
        ejecting[i] += bits >> i & 1


def _encode(name, report):
    return EndpointReport(
        endpoint=name,
        running=report.running,
        waiting=report.waiting,
        leaving=report.leaving,
        down=report.down,
        measured=report.measured,
    )


def _decode(row):
    return LoadReport(row.running, row.waiting, row.leaving, row.down, row.measured)


def _digest(names):
    return xxhash.xxh3_64_intdigest("\n".join(names).encode())
