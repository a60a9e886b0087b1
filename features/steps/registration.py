"""Steps of how hosts register."""

import random

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
from mangogauge.sharing import SharedFreshness
from mangogauge.store import MemoryStore, Operation, Transaction

LEASE_SECONDS = 2.5
SETTLE_SECONDS = 0.05
INTERVAL_SECONDS = 0.7


def start(context, name, incarnation):
    """Let a process of a host register; it is then as good as killed."""
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


@when('the lease of "{name}" lapses, and "{other}" claims "{key}" before it is back')
def lapse(context, name, other, key):
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
    """A host that follows the others and registers."""

    def __init__(self, name, store, clock):
        member = FleetMember(name, "1")
        self.members = MemberDirectory(member, clock)
        freshness = SharedFreshness(clock, random.Random(1), INTERVAL_SECONDS)
        schedule = SharedSchedule(freshness, MemberDirectory.prefix, ignore)
        self.follower = Follower(
            store, MemberDirectory.prefix, self.members, schedule, clock, reads_all=True
        )
        self.registration = Registration(
            store, member, clock, LEASE_SECONDS, schedule.request_read
        )


async def ignore():
    """Tell nobody."""


@given("a store, and two hosts that have read that no other is registered")
def make_starting_hosts(context):
    context.clock = ManualClock()
    context.store = UnreliableStore(context.clock)
    context.starting = [
        StartingHost(name, context.store, context.clock) for name in ("h1", "h2")
    ]


@when("both register, and the store is lost")
def register_both(context):
    curio.run(play_start, context.starting)


async def play_start(hosts):
    tasks = [await curio.spawn(host.follower.run) for host in hosts]
    while not all(host.members.loaded for host in hosts):
        await curio.sleep(0.001)
    tasks += [await curio.spawn(host.registration.run) for host in hosts]
    await curio.sleep(SETTLE_SECONDS)
    for task in tasks:
        await task.cancel()


@then("one of them knows the other")
def check_known(context):
    assert any(host.members.list_others() for host in context.starting)
