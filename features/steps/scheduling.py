"""Steps of the batch scheduler's decisions."""

from behave import given, then, when

from mangogauge.batch import (
    ChunkLedger,
    ChunkState,
    FairShare,
    LapsePolicy,
    LeaseSight,
    OpenWork,
    RoomLimits,
    SpareRoom,
)
from mangogauge.batch.items import ItemResult
from mangogauge.batch.jobs import OpenJob
from mangogauge.clock import ManualClock
from mangogauge.settings import Endpoint, EndpointKind

TICK_SECONDS = 0.05


class AnyCall:
    def suits(self, endpoint):
        return True


@given("a ledger of {count:d} items of which item 0 has been tried twice")
def make_ledger(context, count):
    context.ledger = ChunkLedger(count, ChunkState())
    context.first = context.ledger.begin(0)
    context.second = context.ledger.begin(0)
    context.ledger.begin(1)


@then("the ledger drops the answer of the first attempt at item 0")
def check_late(context):
    assert not context.ledger.accept(context.first, _make_result(0))


@then("the ledger drops an answer of item 1 that came for item 0's attempt")
def check_crossed(context):
    assert not context.ledger.accept(context.second, _make_result(1))


@then("the ledger takes the answer of the second attempt once")
def check_doubled(context):
    assert context.ledger.accept(context.second, _make_result(0))
    assert not context.ledger.accept(context.second, _make_result(0))


@then('an owner with its lease "{lease}" and a peer that is "{peer}" will "{what}"')
def check_lapse(context, lease, peer, what):
    policy = LapsePolicy(outage_seconds=60, held_items=10)
    sight = LeaseSight(lease == "valid", 20, peer == "connected", 0)
    assert policy.decide(sight).value == what


@given("an open job of {large:d} items, and one of {small:d} items that is due later")
def make_open_jobs(context, large, small):
    context.open_jobs = [
        OpenJob("large", "desk", 100, large),
        OpenJob("small", "desk", 200, small),
    ]


@then("the small job is looked at within {count:d} looks")
def check_small(context, count):
    work = OpenWork(FairShare(), ManualClock())
    chosen = [
        work.choose(context.open_jobs, lambda host: True, 1)[0].job_id
        for _ in range(count)
    ]
    assert "small" in chosen and "large" in chosen, chosen


@given("client accounts with the weights {one:d} and {other:d} that always want work")
def make_accounts(context, one, other):
    context.share = FairShare()
    context.share.set_weights({"a": one, "b": other})


@then("{total:d} items are shared out as {one:d} and {other:d}")
def check_shares(context, total, one, other):
    given_out = {"a": 0, "b": 0}
    for _ in range(total):
        rank = context.share.get_rank(given_out)
        name = min(given_out, key=lambda account: (rank(account), account))
        context.share.charge(name, 10)
        given_out[name] += 1
    assert abs(given_out["a"] - one) <= 1, given_out
    assert abs(given_out["b"] - other) <= 1, given_out


@given("an endpoint with {slots:d} slots and no online requests")
def make_room(context, slots):
    context.clock = ManualClock()
    context.room = SpareRoom(context.clock, RoomLimits(1000))
    endpoint = Endpoint("e", "127.0.0.1:1", "a", EndpointKind.ENGINE, slots=slots)
    context.room.set_endpoints({"e": endpoint}, {"e"})
    context.online = 0
    context.other = 0


@when("batch work may ramp up for {seconds:d} s")
def ramp_up(context, seconds):
    context.added = []
    for _ in range(round(seconds / TICK_SECONDS)):
        _tick(context)
        before = context.room.batch_count
        while context.room.take(AnyCall()) is not None:
            pass
        context.added.append(context.room.batch_count - before)


@then("batch work fills {count:d} places, of which no tick added more than {step:d}")
def check_filled(context, count, step):
    assert context.room.batch_count == count, context.room.batch_count
    assert max(context.added) <= step, context.added


@when("{count:d} online requests start at this host")
def start_online(context, count):
    context.online = count


@when("the endpoint reports {count:d} requests more than this host runs")
def report_others(context, count):
    context.other = count


@then("{count:d} batch items are to be cancelled at once")
def check_excess(context, count):
    excess = _tick(context).get("e", 0)
    assert excess == count, excess
    for _ in range(excess):
        context.room.give("e")


@when("the online requests end and {seconds:d} s pass")
def end_online(context, seconds):
    context.online = 0
    ramp_up(context, seconds)


def _tick(context):
    context.clock.advance(TICK_SECONDS)
    running = context.room.batch_count
    context.room.note_running("e", context.online + running)
    context.room.note_report("e", running + context.online + context.other, 0)
    return context.room.decide()


def _make_result(index):
    return ItemResult(index, True, b"{}")
