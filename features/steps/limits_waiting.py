"""Steps of requests that wait for budget that is about to come."""

import curio
from attrs import define, field
from behave import given, then, when

from mangogauge.clock import SystemClock
from mangogauge.limits import (
    FleetLimiter,
    HostBudget,
    LenderDirectory,
    LoanExchange,
    Owner,
    Part,
    Slot,
    SlotTable,
    Terms,
)
from mangogauge.membership import Member
from mangogauge.protocol import ChannelError
from mangogauge.protocol.limits_pb2 import HeldSlots
from mangogauge.settings import ClientAccount

ACCOUNT = "desk"
BURST = 100
SLOTS = 2
TERMS = Terms(0.8, 5400.0, 5.0, 20.0)
FOREVER = 1e12
LONG_AGO = -1e9


@define
class SettledView:
    """A membership view that doesn't change."""

    own = field()
    members = field()

    def list_members(self, data_centre=None, with_leaving=False):
        return [m for m in self.members if data_centre in (None, m.data_centre)]

    def read(self, name, entry):
        return HeldSlots(slots=SLOTS, held=range(SLOTS)).SerializeToString()


@define
class PartlySilentChannels:
    """Channels to other hosts, whose first calls get no answer.

    Parameters
    ----------
    silent : int
        Number of calls still to come that get no answer.
    handlers : dict of str to callable
        By address.
    """

    silent = field(default=0)
    handlers = field(factory=dict)

    def get(self, address):
        return PartlySilentChannel(self, self.handlers[address])


@define
class PartlySilentChannel:
    """A channel to one host."""

    channels = field()
    handler = field()
    reply = field(default=None)

    async def call(self, method, request, reply_type, timeout):
        if self.channels.silent:
            self.channels.silent -= 1
            await curio.sleep(timeout)
            raise ChannelError("No answer.")
        await self.handler(request, self)
        return self.reply

    async def send(self, message):
        self.reply = message


def make_limiter(context, name, members, share, since, channels):
    clock = context.clock
    budget = HostBudget(clock, f"{name}#1")
    budget.loan_seconds = TERMS.loan_seconds
    budget.allocations.share = share
    owner = Owner(name, 1)
    table = SlotTable([Slot(Part(owner), Part(owner), TERMS) for _ in range(SLOTS)])
    starts = dict.fromkeys(range(SLOTS), since)
    budget.allocations.replace(table, owner, starts, FOREVER, FOREVER, since)
    (own,) = [member for member in members if member.name == name]
    directory = LenderDirectory(SettledView(own, members), clock)
    exchange = LoanExchange(budget, directory, channels, clock)
    channels.handlers[own.address] = exchange.protocol_methods()[0].handler
    limiter = FleetLimiter(budget, exchange, directory, clock)
    limiter.set_accounts({ACCOUNT: ClientAccount(ACCOUNT, context.rate, BURST)})
    return limiter


def make_members(*names):
    return [Member(name, "a", f"a-{name}", 1) for name in names]


@given("a host that has just taken over all slots of an account with rate {rate:d}")
def make_heir(context, rate):
    context.rate, context.clock = rate, SystemClock()
    context.limiter = make_limiter(
        context,
        "h1",
        make_members("h1"),
        1.0,
        context.clock.read_elapsed(),
        PartlySilentChannels(),
    )


@given(
    "a host with {share:g} of an account with rate {rate:d}, "
    "and {count:d} lenders, of which the first {silent:d} asked don't answer"
)
def make_borrower(context, share, rate, count, silent):
    context.rate, context.clock = rate, SystemClock()
    names = [f"h{number}" for number in range(1, count + 2)]
    members, channels = make_members(*names), PartlySilentChannels(silent)
    now = context.clock.read_elapsed()
    own, *lenders = names
    context.limiter = make_limiter(context, own, members, share, now, channels)
    for name in lenders:
        lent = (1 - share) / count
        make_limiter(context, name, members, lent, LONG_AGO, channels)


@when("{count:d} request asks it for budget")
@when("{count:d} requests ask it for budget")
def ask(context, count):
    context.admissions = []

    async def ask_once():
        context.admissions.append(await context.limiter.admit(ACCOUNT))

    async def ask_all():
        async with curio.TaskGroup() as group:
            for _ in range(count):
                await group.spawn(ask_once)

    curio.run(ask_all)


@then("{count:d} request is admitted")
def check_admitted(context, count):
    admitted = [admission.admitted for admission in context.admissions]
    assert admitted.count(True) == count, context.admissions


@then("at least {count:d} requests are refused")
def check_refused(context, count):
    admitted = [admission.admitted for admission in context.admissions]
    assert admitted.count(False) >= count, context.admissions


@then("those that are refused don't wait for those that are admitted")
def check_order(context):
    admitted = [admission.admitted for admission in context.admissions]
    assert admitted == sorted(admitted), admitted
