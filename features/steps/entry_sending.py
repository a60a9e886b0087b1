"""Steps of requests that wait for a connection."""

from behave import given, then, when

from features.builders.sending import SendingWorld


@given("a connection that is made after {seconds:g} s")
def prepare_late(context, seconds):
    context.sending = SendingWorld((seconds, False))


@when("a request with a deadline of {seconds:g} s is dispatched")
def dispatch(context, seconds):
    context.refusal = context.sending.dispatch(seconds)


@then("the endpoint was told that it has {seconds:g} s at most")
def check_patience(context, seconds):
    assert 0 < context.sending.patience <= seconds, context.sending.patience
