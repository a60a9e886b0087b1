"""Steps of copies whose hosts hear of each other late."""

from behave import given, then, when

from features.builders.copies import CopyPlay


@given(
    "{count:d} hosts with a copy of the orders that report every {pause:g} s, "
    "heard {transit:g} s later"
)
def make_play(context, count, pause, transit):
    context.play = CopyPlay(count, pause, transit)


@when("they live for {seconds:g} s")
def live(context, seconds):
    context.began = context.play.now
    context.play.live(seconds)


@when("the orders change, and {seconds:g} s pass")
def change(context, seconds):
    context.play.change()
    context.play.live(seconds)


@when("the store is away for {seconds:g} s")
def leave_store(context, seconds):
    context.play.store_away = True
    context.play.live(seconds)


@then("no {seconds:g} s passed without a read of any of them")
def check_pauses(context, seconds):
    longest = context.play.find_longest_pause(context.began)
    assert longest <= seconds, f"{longest:.3f} s without a read"


@then("all of them have the change")
def check_change(context):
    stale = context.play.list_stale()
    assert not stale, f"{len(stale)} of {len(context.play.hosts)} hosts do not"


@then("each takes its copy to be {seconds:g} s old at least")
def check_ages(context, seconds):
    youngest = min(context.play.list_ages())
    assert youngest >= seconds, f"{youngest:.3f} s"
