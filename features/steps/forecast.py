"""Steps of the forecast of demand."""

import math
import random

from behave import given, then, when

from mangogauge.forecast import DemandForecast

SAMPLE_SECONDS = 0.1
SAMPLES = {"text": "many", "none": None}
LOW_SECONDS, PERIOD_SECONDS = 3.0, 5.2
LOW, HIGH = 27, 131
SHAPES = {
    "noise": lambda seconds: 70,
    "a ramp": lambda seconds: 30 + 1.5 * seconds,
    "a new step": lambda seconds: 30 if seconds < 30 else 135,
}


@given("a forecast that is fed ten times a second")
def make_forecast(context):
    context.forecast = DemandForecast()
    context.random = random.Random(5)
    context.now, context.offset = 1000.0, 0.0


def feed(context, seconds, measure):
    """Feed samples with the noise of independent requests, at uneven times."""
    end = context.now + seconds
    while context.now < end:
        mean = measure(context.now)
        demand = max(0, round(context.random.gauss(mean, math.sqrt(mean))))
        context.forecast.note(context.now, demand)
        context.now += SAMPLE_SECONDS * context.random.uniform(0.8, 1.2)


def alternate(context, now):
    phase = (now - context.offset) % PERIOD_SECONDS
    return LOW if phase < LOW_SECONDS else HIGH


@when(
    "demand alternates between 27 for 3 s and 131 for 2.2 s, from {offset:g} s on,"
    " for {seconds:g} s"
)
def feed_alternating(context, offset, seconds):
    context.offset = context.now - offset
    feed_more(context, seconds)


@when("demand alternates for {seconds:g} s")
def feed_more(context, seconds):
    feed(context, seconds, lambda now: alternate(context, now))


@when("demand alternates until {seconds:g} s after a fall")
def feed_until_fall(context, seconds):
    phase = (context.now - context.offset) % PERIOD_SECONDS
    feed_more(context, PERIOD_SECONDS - phase + seconds)


@when("demand is {kind} for {seconds:g} s")
def feed_shape(context, kind, seconds):
    start, shape = context.now, SHAPES[kind]
    feed(context, seconds, lambda now: shape(now - start))


@when("no sample arrives for {seconds:g} s")
def miss_samples(context, seconds):
    context.now += seconds


@when("these samples are fed: {samples}")
def feed_odd(context, samples):
    for text in samples.split(", "):
        value = SAMPLES[text] if text in SAMPLES else float(text)
        context.forecast.note(context.now, value)


@then("its period is {seconds:g} s, within {tolerance:g} s")
def check_period(context, seconds, tolerance):
    period = context.forecast.period_seconds
    assert period and abs(period - seconds) <= tolerance, period


@then("it has no period")
def check_no_period(context):
    assert context.forecast.period_seconds is None, context.forecast.period_seconds


@then("its error is at most {error:g} requests")
def check_error(context, error):
    assert context.forecast.error <= error, context.forecast.error


@then("its level is {level:g}, within {tolerance:g}")
def check_level(context, level, tolerance):
    assert abs(context.forecast.level - level) <= tolerance, context.forecast.level


def predict(context, seconds):
    return context.forecast.predict_peak(context.now, seconds)


@then("the peak within {seconds:g} s is at most {peak:g}")
def check_low_peak(context, seconds, peak):
    assert predict(context, seconds) <= peak, predict(context, seconds)


@then("the peak within {seconds:g} s is at least {peak:g}")
def check_high_peak(context, seconds, peak):
    assert predict(context, seconds) >= peak, predict(context, seconds)


@then("the peak within {seconds:g} s is {peak:g}, within {tolerance:g}")
def check_peak(context, seconds, peak, tolerance):
    assert abs(predict(context, seconds) - peak) <= tolerance, predict(context, seconds)


@then("demand is expected to stay below {demand:g} for {seconds:g} s, within {by:g} s")
def check_seconds(context, demand, seconds, by):
    expected = context.forecast.predict_seconds_within(context.now, demand, 10.0)
    assert abs(expected - seconds) <= by, expected


@then("{count:d} samples were ignored")
def check_ignored(context, count):
    assert context.forecast.ignored == count, context.forecast.ignored
