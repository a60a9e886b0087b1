"""Steps of the client accounts that a report names."""

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
def wait_and_admit(context, seconds, name):
    context.clock.advance(seconds)
    admit(context, name)


@then('its next report names "{names}", and is complete')
def check_complete(context, names):
    assert context.quota.count_recent() == (make_counts(names), True)


@then('its next report names "{names}", and is not complete')
def check_recent(context, names):
    assert context.quota.count_recent() == (make_counts(names), False)


def make_counts(names):
    return dict.fromkeys(names.split(", "), 1)


def merge_report(context, is_complete=False, **admitted):
    message = make_report("other", admitted=admitted, admitted_complete=is_complete)
    context.quota.merge_report(message, ROUTES)


@given('a host that has received another host\'s first report, which names only "a"')
def make_reported_host(context):
    context.quota = SharedQuota(ManualClock())
    merge_report(context, a=7)


@when('the other host reports {first:d} requests of "b", and then {second:d}')
def report_twice(context, first, second):
    merge_report(context, b=first)
    merge_report(context, b=second)


@when('the other host reports all accounts, "a" and "b"')
def report_all_accounts(context):
    merge_report(context, is_complete=True, a=7, b=53)


@when('the other host reports {count:d} requests of "c"')
def report_account(context, count):
    merge_report(context, c=count)


@then('the host has counted {count:d} requests of "{name}"')
def check_count(context, count, name):
    assert context.quota.count_known().get(name, 0) == count
