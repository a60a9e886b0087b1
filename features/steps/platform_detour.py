"""Steps of hosts that reach the platform's store through another."""

import time

from behave import given, then, when

from features.builders.processes import wait_until

LINK = "store"


@given('the host "{name}" behind a link to the store')
def start_linked_host(context, name):
    deployment = context.deployment
    listens = context.world.start_proxy(**{LINK: deployment.store_address})
    deployment.start_host(name, store=listens[LINK])


@when('"{name}" is cut off from the store')
def cut_link(context, name):
    context.world.set_faults(LINK, cut_forward=True, cut_backward=True)


@when('"{name}" is cut off from the store for {seconds:g} s')
def cut_link_for(context, name, seconds):
    # A cut within its registration ends in another one, as it should.
    process = context.world.processes[name]
    wait_until(lambda: '"registered"' in process.read_log(), f"{name} is registered")
    cut_link(context, name)
    time.sleep(seconds)


@when('"{account}" submits the job "{job_id}" to "{host}" once')
def submit_once(context, account, job_id, host):
    items = [(f"{job_id}-0", "/night/item", 10)]
    context.answer = context.deployment.submit(
        host, job_id, items, key=f"{account}-key"
    )


@then('"{name}" asked the store by way of another host')
def check_way(context, name):
    assert "way to the store" in context.world.processes[name].read_log()


@then('"{name}" was registered once, and "{other}" has heard of no loss')
def check_registration(context, name, other):
    processes = context.world.processes
    assert processes[name].read_log().count('"registered"') == 1
    assert "host's entry gone" not in processes[other].read_log()


@then("it is refused, and may be sent again soon")
def check_refused(context):
    assert context.answer.status == 503, context.answer
    assert float(context.answer.headers["retry-after"]) <= 2.0, context.answer
