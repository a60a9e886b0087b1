"""Steps of copies that late reports confirm."""

from behave import given, then, when

from features.builders.copies import CopySimulation


@given(
    "{count:d} hosts with a copy of the orders that report every {interval:g} s, "
    "received {transit:g} s later"
)
def make_simulation(context, count, interval, transit):
    context.simulation = CopySimulation(count, interval, transit)


@when("they run for {seconds:g} s")
def run(context, seconds):
    context.started_at = context.simulation.now
    context.simulation.run(seconds)


@when("the orders change, and {seconds:g} s pass")
def change_orders(context, seconds):
    context.simulation.change()
    context.simulation.run(seconds)


@when("the store is unavailable for {seconds:g} s")
def make_store_unavailable(context, seconds):
    context.simulation.store_unavailable = True
    context.simulation.run(seconds)


@then("at most {seconds:g} s passed between two of their reads")
def check_gaps(context, seconds):
    longest = context.simulation.find_longest_gap(context.started_at)
    assert longest <= seconds, f"{longest:.3f} s without a read"


@then("all of them have the change")
def check_change(context):
    stale = context.simulation.list_stale()
    assert not stale, (
        f"{len(stale)} of {len(context.simulation.hosts)} hosts don't have it"
    )


@then("the age of each copy is at least {seconds:g} s")
def check_ages(context, seconds):
    youngest = min(context.simulation.list_ages())
    assert youngest >= seconds, f"{youngest:.3f} s"
