"""Steps of requests that crash the endpoints that run them."""

import time

from behave import then, when

from features.builders.processes import wait_until

# Between two requests: longer than a caller's own pause before the next try.
PAUSE_SECONDS = 0.5


def count_crashed(context):
    processes = context.world.processes
    return sum(not processes[name].is_running for name in context.deployment.endpoints)


@when(
    '"{account}" sends "{word}" for "{path}" {count:d} times, '
    'to "{first}" and "{second}" in turn'
)
def send_in_turn(context, account, word, path, count, first, second):
    for number in range(count):
        host = second if number % 2 else first
        context.answer = context.deployment.ask(
            host, path, f"{word}-{number}", key=f"{account}-key"
        )
        time.sleep(PAUSE_SECONDS)


@then("{count:d} endpoints have crashed, and the last answer is {status:d}")
def check_refused(context, count, status):
    assert count_crashed(context) == count
    assert context.answer.status == status, context.answer


@then(
    '{count:d} results of "{job_id}" can be read at "{host}", '
    "and {seconds:g} s later {crashed:d} endpoints have crashed"
)
def check_items(context, count, job_id, host, seconds, crashed):
    def count_results():
        return len(context.deployment.read_job(host, job_id).json["results"])

    wait_until(lambda: count_results() == count, f"{count} results")
    time.sleep(seconds)
    assert count_crashed(context) == crashed
