"""Steps of batches whose writes the platform takes without an answer."""

from behave import then, when

from features.builders import wait_until
from features.builders.jobs import JobPlan

ALL_WRITES = -1


def lose_answers(context, count):
    context.world.get_standin("platform").control(lose_answers=count)


@when(
    'a batch is submitted to "{host}" while the platform loses the answers '
    "of all writes"
)
def submit(context, host):
    file = context.jobs.upload(host, JobPlan(chats=4).make_items()).json
    lose_answers(context, ALL_WRITES)
    context.answer = context.jobs.submit(host, file["id"])


@when(
    'the batch is cancelled at "{host}" while the platform loses the answers '
    "of all writes"
)
def cancel(context, host):
    lose_answers(context, ALL_WRITES)
    context.answer = context.jobs.cancel(host, context.job_id)


@then('the batch is answered by {status:d} as "{code}", executed "{executed}"')
def check_answer(context, status, code, executed):
    answer = context.answer
    error = answer.json["error"]
    found = (answer.status, error["code"], error["executed"])
    assert found == (status, code, executed), answer


@then("the batch is there once the platform answers")
def check_submitted(context):
    lose_answers(context, 0)
    caller = context.jobs.get_caller("b1")
    wait_until(
        lambda: caller.request("GET", "/v1/batches").json.get("data"),
        "the batch is listed",
    )


@then("the batch is cancelled once the platform answers")
def check_cancelled(context):
    lose_answers(context, 0)
    job = context.jobs.wait_until_ended("a1", context.job_id)
    assert job["status"] == "cancelled", job


@when(
    'a batch is submitted to "{host}" while the platform answers all writes '
    "by {status:d} after it took them"
)
def submit_beside_errors(context, host, status):
    context.world.get_standin("platform").control(lost_status=status)
    submit(context, host)
