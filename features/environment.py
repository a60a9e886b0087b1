"""Hooks of behave: each scenario gets a world of its own and loses it after."""

import time

from features.builders import World


def before_scenario(context, scenario):
    context.world = World(scenario.name)
    context.started = time.monotonic()


def after_scenario(context, scenario):
    failed = scenario.status.has_failed()
    context.world.stop(keep_logs=failed)
