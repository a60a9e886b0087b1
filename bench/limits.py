"""Limits beside two baselines, in one process with delayed messages.

Usage: ``python -m bench.limits [--seed 1] [--seconds 20] [--slope | --refusal]``.

The hosts' budgets, ledgers and exchanges are the real ones; only the channel
between them is a fake, which waits and calls the peer's handler.
"""

import argparse
import random
import time

import curio
import orjson
from attrs import define, field

from features.builders.bounds import compute_excess
from mangogauge.clock import SystemClock
from mangogauge.limits import (
    FleetLimiter,
    HostBudget,
    LenderDirectory,
    LoanExchange,
    LocalLimiter,
    Owner,
    Part,
    Slot,
    SlotTable,
    Terms,
    TokenBucket,
)
from mangogauge.limits.placement import choose_slot_host
from mangogauge.membership import Member
from mangogauge.protocol.limits_pb2 import HeldSlots
from mangogauge.settings import ClientAccount

DATA_CENTRES = 4
NEAR_SECONDS, FAR_SECONDS = 0.0002, 0.0015
FOREVER = 1e12
LOAD_SHARE = 0.7
MOVE_SECONDS = 2.0
SKEW_SHARE = 0.8
TERMS = Terms(0.8, 5400.0, 5.0, 20.0)
# Bytes of an HTTP/2 call besides the messages: frames and indexed headers.
CALL_BYTES = 120
ADMISSIONS = 20_000


class StaticView:
    """A membership view in which everybody is alive."""

    def __init__(self, own, members, entries):
        self.own = own
        self._members = members
        self._entries = entries

    def list_members(self, data_centre=None, with_leaving=False):
        return [m for m in self._members if data_centre in (None, m.data_centre)]

    def read(self, name, entry):
        return self._entries[name]


class FakeNetwork:
    """Calls handlers of other hosts after a delay."""

    def __init__(self):
        self.handlers = {}
        self.calls = 0
        self.bytes = 0

    def connect(self, data_centre):
        return FakePool(self, data_centre)


@define
class FakePool:
    network = field()
    data_centre = field()

    def get(self, address):
        return FakeChannel(self.network, self.data_centre, address)


@define
class FakeChannel:
    network = field()
    data_centre = field()
    address = field()
    reply = field(default=None)

    async def call(self, method, request, reply_type, timeout):
        near = self.address.startswith(self.data_centre + "-")
        delay = NEAR_SECONDS if near else FAR_SECONDS
        await curio.sleep(delay)
        await self.network.handlers[self.address](request, self)
        await curio.sleep(delay)
        self.network.calls += 1
        size = request.ByteSize() + self.reply.ByteSize() + CALL_BYTES
        self.network.bytes += size
        return self.reply

    async def send(self, message):
        self.reply = message


class Fleet:
    """Hosts' limiters, wired to each other."""

    def __init__(self, host_count, accounts, slots=16):
        self.clock = SystemClock()
        self.network = FakeNetwork()
        self.members = [
            Member(f"h{n}", f"d{n % DATA_CENTRES}", f"d{n % DATA_CENTRES}-{n}", 1)
            for n in range(host_count)
        ]
        tables = {m.data_centre: None for m in self.members}
        for name in tables:
            tables[name] = self.make_table(name, slots)
        self.limiters, self.exchanges, budgets, entries = [], [], [], {}
        for member in self.members:
            budget = HostBudget(self.clock, f"{member.name}#1")
            budget.allocations.share = 1 / len(tables)
            budget.loan_seconds = TERMS.loan_seconds
            owner = Owner(member.name, 1)
            starts = dict.fromkeys(range(slots), -1e9)
            budget.allocations.replace(
                tables[member.data_centre], owner, starts, FOREVER, FOREVER, 0.0
            )
            held = HeldSlots(slots=slots, held=budget.allocations.held)
            entries[member.name] = held.SerializeToString()
            budgets.append(budget)
        for member, budget in zip(self.members, budgets, strict=True):
            view = StaticView(member, self.members, entries)
            directory = LenderDirectory(view, self.clock)
            pool = self.network.connect(member.data_centre)
            exchange = LoanExchange(budget, directory, pool, self.clock)
            limiter = FleetLimiter(budget, exchange, directory, self.clock)
            limiter.set_accounts(accounts)
            handler = exchange.protocol_methods()[0].handler
            self.network.handlers[member.address] = handler
            self.limiters.append(limiter)
            self.exchanges.append(exchange)

    def make_table(self, data_centre, slots):
        names = [m.name for m in self.members if m.data_centre == data_centre]
        parts = [Part(Owner(choose_slot_host(n, names), 1)) for n in range(slots)]
        return SlotTable([Slot(part, part, TERMS) for part in parts])


@define
class Way:
    """A way to limit, and what it did."""

    name = field()
    limiters = field()
    admissions = field(factory=dict)
    refused_within = field(default=0)


class Comparison:
    """The same arrivals, at the same moments, for all ways."""

    def __init__(self, seed, seconds, host_count, accounts, pattern, load):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.accounts = accounts
        self.pattern = pattern
        self.load = load
        self.clock = SystemClock()
        self.fleet = Fleet(host_count, accounts)
        self.ways = [
            Way("shared by loans", self.fleet.limiters),
            Way("even static split", self.make_local(host_count, 1 / host_count)),
            Way("each host alone", self.make_local(host_count, 1.0)),
        ]
        now = self.clock.read_elapsed()
        self.ideal = {
            name: TokenBucket(account.rate, account.burst, now)
            for name, account in accounts.items()
        }
        self.ideal_admitted = 0
        self.offered = 0

    def make_local(self, count, share):
        limiters = [LocalLimiter(self.clock, share) for _ in range(count)]
        for limiter in limiters:
            limiter.set_accounts(self.accounts)
        return limiters

    async def run(self):
        async with curio.TaskGroup() as group:
            runners = [await curio.spawn(e.run) for e in self.fleet.exchanges]
            for account in self.accounts.values():
                seed = self.random.getrandbits(32)
                await group.spawn(self.send, account, random.Random(seed), group)
            await group.join()
            for runner in runners:
                await runner.cancel()

    async def send(self, account, rng, group):
        started = self.clock.read_elapsed()
        due = started
        while True:
            due += rng.expovariate(account.rate * self.load)
            if due > started + self.seconds:
                return
            await curio.sleep(max(0.0, due - self.clock.read_elapsed()))
            host = self.choose_host(rng, due - started)
            self.offered += 1
            now = self.clock.read_elapsed()
            within = self.ideal[account.name].take(1.0, now)
            self.ideal_admitted += within
            for way in self.ways:
                await group.spawn(self.admit, way, host, account.name, within)

    def choose_host(self, rng, elapsed):
        count = len(self.fleet.limiters)
        if self.pattern == "moving":
            return int(elapsed / MOVE_SECONDS) % count
        if self.pattern == "skewed" and rng.random() < SKEW_SHARE:
            return 0
        return rng.randrange(count)

    async def admit(self, way, host, account, within):
        admission = await way.limiters[host].admit(account)
        if admission.admitted:
            now = self.clock.read_elapsed()
            way.admissions.setdefault(account, []).append((now, 1.0))
        elif within:
            way.refused_within += 1

    def report(self):
        for way in self.ways:
            excess = max(
                compute_excess(
                    found, self.accounts[name].rate, self.accounts[name].burst
                )
                / self.accounts[name].burst
                for name, found in way.admissions.items()
            )
            admitted = sum(len(found) for found in way.admissions.values())
            line = {
                "pattern": self.pattern,
                "load": self.load,
                "way": way.name,
                "offered": self.offered,
                "admitted": admitted,
                "admitted_by_one_bucket": self.ideal_admitted,
                "refused_within_rate": round(
                    way.refused_within / self.ideal_admitted, 5
                ),
                "overshoot_in_bursts": round(excess, 3),
            }
            print(orjson.dumps(line).decode())


def make_accounts(rates):
    """Return accounts by name; the burst is one second's rate, at least 5."""
    return {
        f"account-{n}": ClientAccount(f"account-{n}", rate, max(5.0, rate))
        for n, rate in enumerate(rates)
    }


async def compare(arguments):
    accounts = make_accounts([100.0, 100.0, *[5.0] * 6])
    for pattern, load in (
        ("even", LOAD_SHARE),
        ("skewed", LOAD_SHARE),
        ("moving", LOAD_SHARE),
        ("even", 10.0 * LOAD_SHARE),
    ):
        comparison = Comparison(
            arguments.seed, arguments.seconds, 8, accounts, pattern, load
        )
        await comparison.run()
        comparison.report()


async def measure_slope(arguments):
    """Print messages and bytes a second per host as hosts and accounts grow."""
    for host_count, per_host, rate in (
        (4, 10, 1.5),
        (8, 10, 1.5),
        (16, 10, 1.5),
        (8, 20, 0.75),
        (8, 5, 3.0),
    ):
        accounts = make_accounts([rate] * (host_count * per_host))
        comparison = Comparison(
            arguments.seed, arguments.seconds, host_count, accounts, "even", 0.5
        )
        comparison.ways = comparison.ways[:1]
        used = time.process_time()
        await comparison.run()
        used = time.process_time() - used
        network, seconds = comparison.fleet.network, arguments.seconds
        line = {
            "hosts": host_count,
            "accounts": len(accounts),
            "requests_per_host_second": comparison.offered / host_count / seconds,
            "calls_per_host_second": network.calls / host_count / seconds,
            # Each call's bytes pass two hosts.
            "bytes_per_host_second": 2 * network.bytes / host_count / seconds,
            "process_ms_per_request": 1000 * used / comparison.offered,
            "refused_within_rate": round(
                comparison.ways[0].refused_within / comparison.ideal_admitted, 5
            ),
        }
        print(orjson.dumps(line).decode(), flush=True)


async def measure_refusal(arguments):
    """Print the processor time of an admission that is refused."""
    limiter = Fleet(8, make_accounts([100.0])).limiters[0]
    refused, used = 0, time.process_time()
    for _ in range(ADMISSIONS):
        admission = await limiter.admit("account-0")
        refused += not admission.admitted
    used = time.process_time() - used
    line = {
        "admissions": ADMISSIONS,
        "refused": refused,
        "microseconds_each": round(1e6 * used / ADMISSIONS, 1),
    }
    print(orjson.dumps(line).decode())


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--slope", action="store_true")
    parser.add_argument("--refusal", action="store_true")
    arguments = parser.parse_args()
    ways = {"slope": measure_slope, "refusal": measure_refusal}
    chosen = [ways[name] for name in ways if getattr(arguments, name)]
    curio.run(chosen[0] if chosen else compare, arguments)


if __name__ == "__main__":
    main()
