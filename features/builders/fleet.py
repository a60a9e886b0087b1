"""Test data of a fleet: endpoints, routes, reports, jobs, directories and feeds."""

from returns.result import Failure, Success

from mangogauge.fleet import (
    Account,
    Configuration,
    FleetEndpoint,
    PrefixRoute,
    RequestSemantics,
    ServiceShare,
)
from mangogauge.jobs import Submission
from mangogauge.jobs.records import SubmittedItem
from mangogauge.sharing import EndpointLoad, HostReport
from mangogauge.store import (
    ChangeFeed,
    Changes,
    KeyValue,
    Snapshot,
    StoreCompactedError,
    StoreUnavailableError,
    WatchEvent,
)

SERVICE = "llm"
HOST_NAME = "desk.example"


def make_endpoint(name="e1", **changes):
    """Return an endpoint with 8 slots in data centre "a"."""
    values = {"service": SERVICE, "address": "192.0.2.1:80", "data_centre": "a"}
    return FleetEndpoint(name=name, **{**values, "slots": 8, **changes})


def make_route(name="ask", semantics=RequestSemantics.STREAM, **changes):
    """Return a route of streams to the service `SERVICE`."""
    values = {"objective": 0.3, "timeout": 5.0, "gap_objective": 0.25}
    shares = changes.pop("shares", [ServiceShare(SERVICE)])
    return PrefixRoute(
        name, HOST_NAME, f"/{name}/", semantics, shares, **{**values, **changes}
    )


def make_account(name="desk", **changes):
    """Return a client account without a limit."""
    return Account(name, frozenset({f"{name}-key"}), **changes)


def make_configuration(version=1, routes=None, accounts=None):
    """Return a configuration with one route and one client account."""
    return Configuration(
        version, routes or [make_route()], accounts or [make_account()]
    )


def make_report(host, number=1, incarnation="1", **changes):
    """Return another host's report; `loads` is ``{endpoint: (online, batch)}``."""
    loads = {n: EndpointLoad(*pair) for n, pair in changes.pop("loads", {}).items()}
    return HostReport(host, incarnation, number, loads, **changes)


def make_submission(job_id="job1", count=3, tokens=100):
    """Return a job of `count` small items."""
    items = [
        SubmittedItem(f"{job_id}-{n}", "/night/x", (), b"body %d" % n, tokens)
        for n in range(count)
    ]
    return Submission(job_id, HOST_NAME, items)


class FixedDirectory:
    """Directory of a fixed set of endpoints."""

    def __init__(self, endpoints):
        self._endpoints = endpoints

    def list_endpoints(self):
        return self._endpoints

    def get(self, name):
        return next((e for e in self._endpoints if e.name == name), None)

    def is_leaving(self, endpoint):
        return endpoint.leaving


class FixedMembers:
    """Directory of a fixed set of hosts, as known to one of them."""

    def __init__(self, own, members):
        self.own = own
        self._members = {member.name: member for member in members}
        self._others = [m for m in members if m.name != own.name]

    def get(self, name):
        return self._members.get(name)

    def list_others(self):
        return self._others


class ScriptedFeed(ChangeFeed):
    """Feed that answers by a script and records the calls.

    Attributes
    ----------
    items : dict of str to bytes
        Content of a snapshot.
    script : list
        Results of the next reads of changes: lists of events, or errors.
    copied : dict of str to bytes, or None
        Content of the store's outdated copy; None if it has all items.
    on_copy : callable
        Called while that copy is read.
    reads : list of str
        "snapshot", "copy" or "changes" for each call.
    """

    def __init__(self):
        self.items = {}
        self.copied = None
        self.on_copy = lambda: None
        self.script = []
        self.reads = []
        self.reachable = True
        self.revision = 1

    async def read_snapshot(self, prefix, start_after=""):
        self.reads.append("snapshot")
        if not self.reachable:
            return Failure(StoreUnavailableError("away"))
        return self._make_snapshot(self.items)

    async def read_copy(self, prefix, start_after=""):
        self.reads.append("copy")
        if not self.reachable:
            return Failure(StoreUnavailableError("away"))
        self.on_copy()
        return self._make_snapshot(self.items if self.copied is None else self.copied)

    def _make_snapshot(self, values):
        items = [KeyValue(key, value) for key, value in values.items()]
        return Success(Snapshot(items, self.revision))

    async def read_changes(self, prefix, revision, wait_seconds):
        self.reads.append("changes")
        if not self.reachable:
            return Failure(StoreUnavailableError("away"))
        if not self.script:
            return Success(Changes((), self.revision))
        step = self.script.pop(0)
        if isinstance(step, StoreCompactedError):
            return Failure(step)
        self.revision += 1
        events = [WatchEvent(key, value, self.revision) for key, value in step]
        return Success(Changes(events, self.revision))
