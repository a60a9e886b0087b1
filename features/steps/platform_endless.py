"""Steps of endpoints and a store that send bytes without end."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.builders import wait_until
from features.builders.platform.endless import EndlessEndpoint

MOST_REQUESTS = 60
DEFAULT_SLOTS = 8
KILOBYTES_PER_MEGABYTE = 1024


@given('an endpoint "{name}" that sends {trouble} without end')
def start_rogue(context, name, trouble):
    start_rogue_of(context, name, DEFAULT_SLOTS, trouble)


@given('an endpoint "{name}" of {slots:d} slots that sends {trouble} without end')
def start_rogue_of(context, name, slots, trouble):
    deployment = context.deployment
    context.rogue = EndlessEndpoint(deployment.address, trouble)
    context.add_cleanup(context.rogue.close)
    deployment.endpoints[name] = context.rogue.address
    deployment.write_entry(name, slots=slots)
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


def make_asker(context, account, host, path):
    def ask(number):
        key = f"{account}-key"
        return context.deployment.ask(host, path, f"m{number}", 4, key=key)

    return ask


@when('"{account}" asks "{host}" for "{path}" {count:d} times, {width:d} at once')
def ask_many(context, account, host, path, count, width):
    ask = make_asker(context, account, host, path)
    with ThreadPoolExecutor(width) as pool:
        context.answers = list(pool.map(ask, range(count)))


@when('"{account}" asks "{host}" {count:d} times for "{path}", whoever answers')
def ask_some(context, account, host, count, path):
    ask = make_asker(context, account, host, path)
    context.answers = [ask(1_000_000 + number) for number in range(count)]


@then("some were answered whole")
def check_some_whole(context):
    whole = [a for a in context.answers if a.status == 200 and a.whole]
    assert whole, context.answers


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
