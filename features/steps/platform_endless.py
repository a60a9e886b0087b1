"""Steps of endpoints and a store that send bytes without end."""

import time

from behave import given, then, when

from features.builders import wait_until
from features.builders.platform.endless import EndlessEndpoint

MOST_REQUESTS = 60
KILOBYTES_PER_MEGABYTE = 1024


@given('an endpoint "{name}" that sends {trouble} without end')
def start_rogue(context, name, trouble):
    deployment = context.deployment
    context.rogue = EndlessEndpoint(deployment.address, trouble)
    context.add_cleanup(context.rogue.close)
    deployment.endpoints[name] = context.rogue.address
    deployment.write_entry(name)
    # It can't be asked what arrived there.
    del deployment.endpoints[name]
    for host in deployment.hosts:
        wait_until(
            lambda host=host: name in context.world.processes[host].read_log(),
            f"{host} knows {name}",
        )


@when(
    '"{account}" asks "{host}" for "{path}" until its log says "{reason}", '
    "and {more:d} times more"
)
def ask_until_told(context, account, host, path, reason, more):
    def ask(number):
        key = f"{account}-key"
        answer = context.deployment.ask(host, path, f"q{number}", 4, key=key)
        context.answers.append(answer)

    def is_told():
        met = context.rogue.opened or len(context.answers) < MOST_REQUESTS
        assert met, "the rogue was never asked"
        ask(len(context.answers))
        return reason in context.world.processes[host].read_log()

    context.answers = []
    # A rogue that was slow to begin is given up as silent, and met again later.
    wait_until(is_told, f'the log of {host} says "{reason}"')
    for number in range(more):
        ask(1_000_000 + number)


@then('"{name}" was cut off each time, after {count:d} bytes that were read')
def check_cut(context, name, count):
    rogue = context.rogue
    wait_until(lambda: len(rogue.sent) >= rogue.opened, f"{name} is cut off")
    # How much of what was sent is still unread shows on neither side.
    most = count + rogue.measure_unread()
    assert rogue.sent and max(rogue.sent) <= most, rogue.sent


@then('the log of "{host}" says "{text}"')
def check_log(context, host, text):
    assert text in context.world.processes[host].read_log()


@then('"{host}" takes less than {megabytes:d} MB')
def check_memory(context, host, megabytes):
    with open(f"/proc/{context.world.processes[host].pid}/status") as status:
        row = next(line for line in status if line.startswith("VmHWM"))
    kilobytes = int(row.split()[1])
    assert kilobytes < megabytes * KILOBYTES_PER_MEGABYTE, row


@when("the store's answers never end for {seconds:g} s")
def make_store_endless(context, seconds):
    context.deployment.control("store", endless=True)
    time.sleep(seconds)
    context.deployment.control("store", endless=False)
