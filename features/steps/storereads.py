"""Steps of the play of hosts that read the store."""

from behave import given, then, when

from features.builders.storereads import ORDERS, StorePlay

SETTLE_SECONDS = 3.0
READERS = 4
TROUBLES = {
    "are frozen": "frozen",
    "are refused by the store": "refused",
    "get no news": "deaf",
}


@given("{count:d} hosts that have read all copies")
def make_settled_hosts(context, count):
    context.play = StorePlay(count)
    context.play.run(SETTLE_SECONDS)
    context.play.calls.clear()


@given("{count:d} hosts that all start within {seconds:g} s")
def make_starting_hosts(context, count, seconds):
    context.play = StorePlay(count, seconds)


@when("they read and report for {seconds:g} s")
def pass_time(context, seconds):
    context.play.run(seconds)


@when('data centre "{name}" is cut off for {seconds:g} s')
def cut_off(context, name, seconds):
    context.play.cut_off = name
    context.play.run(seconds)
    context.play.cut_off = ""


@when("the store refuses all calls for {seconds:g} s")
def refuse_calls(context, seconds):
    context.play.store_refuses = True
    context.play.run(seconds)
    context.play.store_refuses = False


@when("the operators write, and the hosts read for {seconds:g} s")
def write_orders(context, seconds):
    context.play.calls.clear()
    context.play.change(ORDERS)
    context.play.run(seconds)


@when("for {seconds:g} s these {what}: {which}")
def trouble_hosts(context, seconds, what, which):
    play = context.play
    next_readers = play.find_next_readers(ORDERS, READERS)
    hosts = {
        "the next reader": next_readers[:1],
        "the next readers": next_readers,
        "one in five": play.hosts[::5],
    }[which]
    for host in hosts:
        setattr(host, TROUBLES[what], True)
    play.run(seconds)


@then("the newest state was read at most {count:d} times")
def check_reads(context, count):
    reads = context.play.calls["newest"]
    assert 0 < reads <= count, dict(context.play.calls)


@then("for each host the newest state was read at most {count:g} times")
def check_reads_of_each(context, count):
    check_reads(context, count * len(context.play.hosts))


@then("all hosts have the change after {seconds:g} s")
def check_spread(context, seconds):
    spread = context.play.measure_spread(ORDERS)
    assert spread <= seconds, f"{spread:.2f} s"
