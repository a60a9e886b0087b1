"""Steps of whether an item is worth starting, and which ones are interrupted."""

import math

from behave import given, then, when

from features.builders.fleet import (
    SERVICE,
    FixedDirectory,
    make_endpoint,
    make_report,
)
from features.builders.itemload import TOKENS, make_items
from features.builders.itemplay import ItemPlay
from mangogauge.clock import ManualClock
from mangogauge.jobs.estimates import ItemPace
from mangogauge.jobs.scheduling import order_items, order_victims
from mangogauge.jobs.starting import StartPolicy
from mangogauge.placement import ANYWHERE, Eligibility, SlotOutlook
from mangogauge.sharing import ReportTable

PERIOD_SECONDS, LOW_SECONDS = 5.0, 3.0
EVENTS, ITEM_SECONDS = 100, 2.5


class FixedOutlook:
    """Outlook of slots that are free for a given time."""

    def __init__(self, seconds):
        self._seconds = seconds

    def get_period(self, service):
        return PERIOD_SECONDS

    def find_demand_limit(self, endpoint):
        return 0.0

    def predict_peak(self, service, seconds, with_margin=True):
        return float(seconds > self._seconds)


def make_pace(seconds):
    pace = ItemPace()
    for _ in range(200):
        pace.note_run(TOKENS, seconds)
        pace.note_end(TOKENS, EVENTS)
    return pace


def make_account_items(account, count, due, events):
    items = make_items(f"{account}-{due}-{events}", count, due, events)
    manifest = items[0].job.manifest
    items[0].job.manifest = type(manifest)(
        **{**_list_fields(manifest), "account": account}
    )
    return items


def _list_fields(manifest):
    names = [attribute.name for attribute in type(manifest).__attrs_attrs__]
    return {name: getattr(manifest, name) for name in names}


@given("an endpoint of which a slot is expected to be free for {seconds:g} s")
def make_outlook(context, seconds):
    context.outlook = FixedOutlook(seconds)
    context.endpoint = make_endpoint()


@given("an item that runs for {seconds:g} s more and is due in {due:g} s")
def make_item(context, seconds, due):
    context.pace = make_pace(seconds)
    context.item = make_items("j", 1, due)[0]


@when("the forecast is turned off")
def turn_off(context):
    context.outlook = None


@then("the item starts: {reason}")
def check_start(context, reason):
    policy = StartPolicy(context.outlook, context.pace, now=0.0)
    found, endpoint = policy.find(
        context.item, (SERVICE,), ANYWHERE, [context.endpoint], lambda endpoint: True
    )
    assert (found.value if found else "no") == reason, found
    assert (endpoint is None) == (found is None)


@given("running items")
def make_running(context):
    context.names, context.timely = {}, set()
    for row in context.table:
        item = make_items(row["item"], 1, float(row["due"]), int(row["done"]))[0]
        item.body = bytes(int(row["prompt"]))
        context.names[item] = row["item"]
        if row["timely"] == "yes":
            context.timely.add(item)


@then('they are interrupted in the order "{names}"')
def check_victims(context, names):
    items = reversed(context.names)
    victims = order_victims(items, context.timely, make_pace(ITEM_SECONDS), now=0.0)
    assert [context.names[item] for item in victims] == names.split(", "), victims


@given(
    '{first:d} late items of account "{one}" that are {done:d} % done,'
    ' and {second:d} of "{other}" that aren\'t begun'
)
def make_late(context, first, one, done, second, other):
    context.items = make_account_items(one, first, -1.0, done)
    context.items += make_account_items(other, second, -1.0, 0)


@then('of the first {first:d} items in order {count:d} are of account "{account}"')
def check_accounts(context, first, count, account):
    order = order_items(context.items, set(), make_pace(ITEM_SECONDS))[:first]
    accounts = [item.job.manifest.account for item in order]
    assert accounts.count(account) == count, accounts


@given(
    "a play of {jobs:g} jobs of 10 items per second beside alternating online demand"
)
def set_play(context, jobs):
    context.jobs_per_second = jobs


@when("it is played for {count:d} periods with the forecast and without")
def play(context, count):
    rate = context.jobs_per_second
    context.with_forecast = ItemPlay(rate, make_forecast=SlotOutlook).play(count)
    context.without = ItemPlay(rate).play(count)


@then(
    "there are at most {most:g} starts for each item that ends,"
    " and at least {least:g} without"
)
def check_starts(context, most, least):
    starts = context.with_forecast.starts_per_end
    without = context.without.starts_per_end
    assert starts <= most, (starts, without)
    assert without >= least, (starts, without)


@then("items use at least {share:g} of the spare slots between peaks while some wait")
def check_use(context, share):
    assert context.with_forecast.used_share >= share, context.with_forecast


@then("99 % of online requests wait at most {seconds:g} s")
def check_waits(context, seconds):
    assert context.with_forecast.high_wait <= seconds, context.with_forecast


@then("{count:d} items are late")
def check_late(context, count):
    assert context.with_forecast.late == count, context.with_forecast


@given(
    "a host that has seen {seconds:g} s of demand that alternates between {low:d} and"
    " {high:d} requests at {count:d} endpoints of 8 slots"
)
def make_seen(context, seconds, low, high, count):
    context.clock = ManualClock()
    context.endpoints = [make_endpoint(f"e{n}") for n in range(count)]
    context.table_of_loads = ReportTable("own", "1", context.clock)
    directory = FixedDirectory(context.endpoints)
    context.outlook = SlotOutlook(
        directory, Eligibility(directory), context.table_of_loads, context.clock
    )
    context.numbers = iter(range(1, 100_000))
    context.levels = low, high
    while context.clock.read_elapsed() < seconds:
        phase = context.clock.read_elapsed() % PERIOD_SECONDS
        see(context, low if phase < LOW_SECONDS else high)


def see(context, online):
    """Show an online load, of which a tenth waits, and some items, for 0.1 s."""
    running = online * 9 // 10
    loads = {
        endpoint.name: ((running + n) // len(context.endpoints), 0)
        for n, endpoint in enumerate(context.endpoints)
    }
    waiting = online - running
    context.table_of_loads.merge_report(
        make_report("h", next(context.numbers), loads=loads, waiting=waiting)
    )
    context.outlook.sample()
    context.clock.advance(0.1)


@when("demand falls to {online:d} requests")
def fall(context, online):
    for _ in range(8):
        see(context, online)


def count_lasting(context, seconds):
    """Return for each endpoint how many items fit beside the expected peak."""
    outlook = context.outlook
    peak = outlook.predict_peak(SERVICE, seconds) / len(context.endpoints)
    limits = [outlook.find_demand_limit(e) for e in context.endpoints]
    return [math.floor(x / len(limits) - peak) + 1 for x in limits]


@then(
    "{a:d} to {b:d} slots of an endpoint last for {short:g} s,"
    " and {c:d} to {d:d} for {long:g} s"
)
def check_lasting(context, a, b, short, c, d, long):
    for least, most, seconds in ((a, b, short), (c, d, long)):
        counts = count_lasting(context, seconds)
        assert all(least <= count <= most for count in counts), counts


@when("an endpoint runs {count:d} items")
def run_items(context, count):
    context.before = count_lasting(context, 1.0)
    loads = {context.endpoints[0].name: (0, count)}
    context.table_of_loads.merge_report(make_report("r", loads=loads))


@then("it has {count:d} slots fewer that last")
def check_fewer(context, count):
    after = count_lasting(context, 1.0)
    assert after[0] == context.before[0] - count, (context.before, after)
    assert after[1:] == context.before[1:]
