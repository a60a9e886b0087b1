"""Steps of attempts at endpoints that act while a successor is sought."""

from behave import given, then, when

from features.builders.handovers import SilentAttempt


@given("a request to an endpoint that is silent, its path {path}")
def make_attempt(context, path):
    context.attempt = SilentAttempt(is_direct=path == "direct")


@when("the endpoint {acts} while a successor is sought")
def run_attempt(context, acts):
    context.outcome = context.attempt.run(acts)


@then("the attempt ends with {outcome}")
def check_outcome(context, outcome):
    assert str(context.outcome) == outcome, context.outcome
