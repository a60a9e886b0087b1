"""Steps of which client accounts a report names."""

from behave import given, then, when

from features.builders.fleet import make_account, make_configuration, make_report
from mangogauge.clock import ManualClock
from mangogauge.fleet import PrefixRoutes
from mangogauge.sharing import SharedQuota

ACCOUNTS = {name: make_account(name, rate=1.0, burst=1000.0) for name in "abc"}
ROUTES = PrefixRoutes(make_configuration(accounts=list(ACCOUNTS.values())))


def admit(context, name):
    assert context.quota.admit(ACCOUNTS[name], 1.0).admitted


@given('a host that has admitted requests of "{names}"')
def make_host(context, names):
    context.clock = ManualClock()
    context.quota = SharedQuota(context.clock)
    for name in names.split(", "):
        admit(context, name)


@when('after {seconds:g} s it admits a request of "{name}"')
def pass_and_admit(context, seconds, name):
    context.clock.advance(seconds)
    admit(context, name)


@then('its next report names "{names}", which are all')
def check_all(context, names):
    assert context.quota.count_recent() == (count_each(names), True)


@then('its next report names "{names}", which aren\'t all')
def check_news(context, names):
    assert context.quota.count_recent() == (count_each(names), False)


def count_each(names):
    return dict.fromkeys(names.split(", "), 1)


def report(context, whole=False, **admitted):
    message = make_report("other", admitted=admitted, admitted_complete=whole)
    context.quota.merge_report(message, ROUTES)


@given('a host that has just heard of another by a report that names "a" alone')
def make_hearer(context):
    context.quota = SharedQuota(ManualClock())
    report(context, a=7)


@when('that other reports {first:d} requests of "b", and then {second:d}')
def report_twice(context, first, second):
    report(context, b=first)
    report(context, b=second)


@when('that other reports all accounts, "a" and "b"')
def report_all(context):
    report(context, whole=True, a=7, b=53)


@when('that other reports {count:d} requests of "c"')
def report_new(context, count):
    report(context, c=count)


@then('the host has counted {count:d} requests of "{name}"')
def check_count(context, count, name):
    assert context.quota.count_known().get(name, 0) == count
