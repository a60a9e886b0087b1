"""Steps of how hosts register."""

import random
from itertools import pairwise
from unittest.mock import patch

import curio
from behave import given, then, when

from features.builders.jobstore import UnreliableStore
from mangogauge.clock import ManualClock
from mangogauge.fleet import (
    FleetMember,
    Follower,
    MemberDirectory,
    Registration,
    SharedSchedule,
)
from mangogauge.sharing import ReadBackoff, SharedFreshness
from mangogauge.store import MemoryStore, Operation, Transaction

LEASE_SECONDS = 2.5
SETTLE_SECONDS = 0.05
INTERVAL_SECONDS = 0.7


def start(context, name, incarnation):
    """Register a host and stop its process without releasing the lease."""
    registration = Registration(
        context.store,
        FleetMember(name, incarnation),
        context.clock,
        LEASE_SECONDS,
    )

    async def register():
        async with curio.ignore_after(SETTLE_SECONDS):
            await registration.run()

    curio.run(register)
    context.registrations[name] = registration


def claim(context, name, key):
    lease = context.registrations[name].lease.lease_id
    operation = Operation(key, name.encode(), lease)
    curio.run(context.store.transact, Transaction((), (operation,)))


def read(context, key):
    return curio.run(context.store.get, key).unwrap()


@given('a store with the host "{name}" registered, which has claimed "{key}"')
def start_first(context, name, key):
    context.clock = ManualClock()
    context.store = MemoryStore(context.clock)
    context.registrations = {}
    start_other(context, name, key)


@given('the host "{name}" registered, which has claimed "{key}"')
def start_other(context, name, key):
    start(context, name, "1")
    claim(context, name, key)


@when('"{name}" is killed and registers again')
def restart(context, name):
    start(context, name, "2")


@when('the lease of "{name}" expires, and "{other}" claims "{key}" before its return')
def expire(context, name, other, key):
    context.clock.advance(LEASE_SECONDS * 2)
    start(context, other, "1")
    claim(context, other, key)
    start(context, name, "1")


@then('"{free}" is free, and "{held}" is claimed')
def check_claims(context, free, held):
    assert read(context, free) is None
    check_claimed(context, held)


@then('"{key}" is claimed')
def check_claimed(context, key):
    assert read(context, key) is not None


@then("both hosts are registered")
def check_registered(context):
    for name in context.registrations:
        assert read(context, f"members/{name}") is not None, name


class StartingHost:
    """Host that follows the others' entries and registers itself."""

    def __init__(self, name, store, clock):
        member = FleetMember(name, "1")
        self.members = MemberDirectory(member, clock)
        freshness = SharedFreshness(clock, INTERVAL_SECONDS)
        backoff = ReadBackoff(clock, random.Random(1))
        schedule = SharedSchedule(freshness, MemberDirectory.prefix, ignore, backoff)
        self.follower = Follower(
            store, MemberDirectory.prefix, self.members, schedule, clock, reads_all=True
        )
        self.registration = Registration(
            store, member, clock, LEASE_SECONDS, schedule.request_read
        )


async def ignore():
    """Do nothing."""


@given("a store, and two hosts that have read that no other is registered")
def make_starting_hosts(context):
    context.clock = ManualClock()
    context.store = UnreliableStore(context.clock)
    context.starting = [
        StartingHost(name, context.store, context.clock) for name in ("h1", "h2")
    ]


@when("both register, and the store is lost")
def register_both(context):
    curio.run(run_hosts, context.starting)


async def run_hosts(hosts):
    tasks = [await curio.spawn(host.follower.run) for host in hosts]
    while not all(host.members.loaded for host in hosts):
        await curio.sleep(0.001)
    tasks += [await curio.spawn(host.registration.run) for host in hosts]
    await curio.sleep(SETTLE_SECONDS)
    for task in tasks:
        await task.cancel()


class SlowStore(MemoryStore):
    """Store whose answers to renewals take a while by the clock.

    Attributes
    ----------
    asked_at : list of float
        Elapsed times at which renewals were asked for.
    """

    def __init__(self, clock, answer_seconds):
        super().__init__(clock)
        self._manual_clock = clock
        self._answer_seconds = answer_seconds
        self.asked_at = []

    async def renew_lease(self, lease):
        self.asked_at.append(self._manual_clock.read_elapsed())
        answer = await super().renew_lease(lease)
        self._manual_clock.advance(self._answer_seconds)
        return answer


@given("a store that takes {seconds:g} s to answer a renewal")
def make_slow_store(context, seconds):
    context.clock = ManualClock()
    context.store = SlowStore(context.clock, seconds)


@when("a host is registered for {seconds:g} s")
def register_for(context, seconds):
    registration = Registration(
        context.store, FleetMember("h1", "1"), context.clock, LEASE_SECONDS
    )
    until = context.clock.read_elapsed() + seconds

    async def pass_time(pause_seconds):
        context.clock.advance(pause_seconds)
        if context.clock.read_elapsed() > until:
            await registration.leave()

    async def run():
        task = await curio.spawn(registration.run)
        while context.clock.read_elapsed() <= until:
            await curio.sleep(0)
        await task.cancel()

    with patch("mangogauge.fleet.members.sleep_to_tick", pass_time):
        curio.run(run)


@then("its renewals were asked for at most {seconds:g} s apart")
def check_renewals(context, seconds):
    gaps = [b - a for a, b in pairwise(context.store.asked_at)]
    assert gaps and max(gaps) <= seconds, gaps


@then("one of them knows the other")
def check_known(context):
    assert any(host.members.list_others() for host in context.starting)


class RecordingStore(MemoryStore):
    """Store that records the names of the calls that a registration makes."""

    def __init__(self, clock):
        super().__init__(clock)
        self.names = []

    async def get(self, key):
        self.names.append("get")
        return await super().get(key)

    async def grant_lease(self, seconds):
        self.names.append("grant_lease")
        return await super().grant_lease(seconds)

    async def transact(self, transaction):
        self.names.append("transact")
        return await super().transact(transaction)


@given("a store whose calls are recorded")
def make_recording_store(context):
    context.clock = ManualClock()
    context.store = RecordingStore(context.clock)
    context.registrations = {}


@when("a host registers there")
def register_there(context):
    start(context, "h1", "1")


@then('the store was called for "{names}" only')
def check_names(context, names):
    assert context.store.names == names.split(", "), context.store.names
