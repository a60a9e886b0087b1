"""Steps of endpoints that send an answer twice."""

from collections import Counter

from behave import given, then

from features.builders import wait_until
from features.builders.platform.twins import TwinEndpoint


@given("{count:d} endpoints that refuse each request once, and say so twice")
def start_twins(context, count):
    deployment = context.deployment
    context.twins = [TwinEndpoint(deployment.address) for _ in range(count)]
    for number, twin in enumerate(context.twins):
        context.add_cleanup(twin.close)
        name = f"twin{number}"
        deployment.endpoints[name] = twin.address
        deployment.write_entry(name)
        # It can't be asked what arrived there.
        del deployment.endpoints[name]
        for host in deployment.hosts:
            wait_until(
                lambda host=host, name=name: (
                    name in context.world.processes[host].read_log()
                ),
                f"{host} knows {name}",
            )


@then("no request ran twice")
def check_runs(context):
    runs = sum((twin.runs for twin in context.twins), Counter())
    assert runs and max(runs.values()) == 1, runs
