"""Steps of batch jobs."""

import contextlib
import threading
import time

from behave import given, then, when

from features.builders import wait_until
from features.builders.jobs import (
    Audit,
    JobCaller,
    JobPlan,
    read_booking_runs,
    read_owners,
)

SETTINGS = """
[batch]
chunk_items = 20
concurrency = 8
lease_seconds = 2
poll_seconds = 0.1
commit_seconds = 0.3
backoff_seconds = 0.1
outage_seconds = 60
"""


@given("a batch fleet with hosts in two data centres")
def start_fleet(context):
    world = context.world
    world.start_backends()
    # Far above what any scenario sends at once: these are not about rates.
    world.accounts = [("desk", 1000, 1000)]
    world.extra = SETTINGS + getattr(context, "batch_extra", "")
    world.apply_configuration()
    world.start_host("a1", "a")
    world.start_host("b1", "b")
    key = world.grant_key("desk")
    context.jobs = JobCaller(world, key)
    for host in world.hosts:
        caller = context.jobs.get_caller(host)
        wait_until(
            lambda caller=caller: caller.request("GET", "/v1/batches").status == 200,
            f"the key works at {host}",
        )


@given("the batch service runs the next {count:d} calls without an answer")
def drop_answers(context, count):
    context.world.get_standin("desk-service").control(drop_answers=count)


@given(
    "the platform answers after {delay:f} s and loses every {nth:d}th write's answer"
)
def slow_platform(context, delay, nth):
    platform = context.world.get_standin("platform")
    platform.control(delay=delay)
    context.losing = threading.Event()

    def lose():
        # Roughly every nth: a host's writes go on meanwhile.
        while not context.losing.wait(delay * nth):
            with contextlib.suppress(OSError):
                platform.control(lose_answers=1)

    threading.Thread(target=lose, daemon=True).start()
    context.add_cleanup(context.losing.set)


@given("the platform loses the answers of the next {count:d} writes")
def lose_answers(context, count):
    context.lose_before_submit = count


@when(
    "a batch job of {chats:d} chats, {bookings:d} bookings and {bad:d} bad items "
    'is accepted by "{host}"'
)
def submit_job(context, chats, bookings, bad, host):
    context.plan = JobPlan(chats, bookings, bad)
    file = context.jobs.upload(host, context.plan.make_items())
    assert file.status == 200, file
    window = "1s" if hasattr(context, "batch_extra") else "24h"
    answer = context.jobs.submit(
        host, file.json["id"], key="job-1", completion_window=window
    )
    assert answer.status == 200, answer
    context.job_id = answer.json["id"]


@when('the same keyed batch submission is sent to "{first}" and "{second}" at once')
def submit_twice(context, first, second):
    context.plan = JobPlan(20, 5, 0)
    file = context.jobs.upload(first, context.plan.make_items()).json
    if getattr(context, "lose_before_submit", 0):
        platform = context.world.get_standin("platform")
        platform.control(lose_answers=context.lose_before_submit)
    context.file_id = file["id"]
    context.answers = []

    def submit(host):
        context.answers.append(context.jobs.submit(host, file["id"], key="twice"))

    threads = [threading.Thread(target=submit, args=(h,)) for h in (first, second)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    # The client uploads once more too, as one that lost everything would.
    again = context.jobs.upload(second, context.plan.make_items()).json
    context.answers.append(context.jobs.submit(second, again["id"], key="twice"))


@then("all answers name the same batch job")
def check_same_job(context):
    assert all(a.status == 200 for a in context.answers), context.answers
    ids = {answer.json["id"] for answer in context.answers}
    assert len(ids) == 1, ids
    context.job_id = ids.pop()
    listed = context.jobs.get_caller("a1").request("GET", "/v1/batches").json
    assert [job["id"] for job in listed["data"]] == [context.job_id], listed


@then("the same keyed batch submission with another body is refused with 409")
def check_other_body(context):
    answer = context.jobs.submit(
        "b1", context.file_id, key="twice", completion_window="12h"
    )
    assert (answer.status, answer.code) == (409, "conflict"), answer
    assert answer.json["error"]["executed"] == "no", answer


@then("the batch job completes and passes the audit through a host that is left")
def check_through_left(context):
    check_audit(context, context.left)


@then('the batch job completes and passes the audit through "{host}"')
def check_audit(context, host):
    job = context.jobs.wait_until_ended(host, context.job_id)
    assert job["status"] == "completed", job
    check_results(context, host, job)


def check_results(context, host, job, partial=False):
    context.results = context.jobs.read_results(host, job)
    audit = Audit(
        [item["custom_id"] for item in context.plan.make_items()],
        [result["custom_id"] for result in context.results],
        read_booking_runs(context.world),
    )
    faults = audit.find_faults(partial)
    assert not faults, faults
    counts = job["request_counts"]
    assert counts["completed"] + counts["failed"] == len(context.results), job


@then("the batch job passes the audit again and no claim is left")
def check_again(context):
    wait_until(
        lambda: not read_owners(context.world, context.job_id), "no claim is left"
    )
    for host in context.world.hosts:
        check_audit(context, host)


@then("{count:d} items of the batch job end in its error file")
def check_errors(context, count):
    failed = [r for r in context.results if r["custom_id"].startswith("bad-")]
    assert len(failed) == count, failed
    assert all(r["response"]["status_code"] == 400 for r in failed), failed


@then('{count:d} items of the batch job end as "{code}"')
def check_codes(context, count, code):
    errors = [r for r in context.results if (r["error"] or {}).get("code") == code]
    assert len(errors) == count, errors


@then('a batch submission through "{host}" is refused as not executed')
def check_refused(context, host):
    answer = context.jobs.submit(host, "file-any")
    assert answer.code == "platform_away", answer
    assert answer.json["error"]["executed"] == "no", answer
    answer = context.jobs.upload(host, context.plan.make_items())
    assert answer.code == "platform_away", answer
    assert answer.json["error"]["executed"] == "no", answer


@then("chats of the batch job go on at the engines")
def check_going_on(context):
    before = _count_finished(context)
    wait_until(
        lambda: _count_finished(context) > before, "an item finishes without platform"
    )


@then('an online chat through "{host}" is answered')
def check_online(context, host):
    assert context.jobs.get_caller(host).chat("hello").status == 200


@when('the batch job is cancelled through "{host}" once {count:d} items are settled')
def cancel_job(context, host, count):
    context.jobs.wait_until_settled(host, context.job_id, count)
    answer = context.jobs.cancel(host, context.job_id)
    assert answer.status == 200, answer
    assert answer.json["status"] in ("cancelling", "cancelled"), answer


@then('the batch job ends as "{state}" with a partial result')
def check_cancelled(context, state):
    job = context.jobs.wait_until_ended("a1", context.job_id)
    assert job["status"] == state, job
    check_results(context, "b1", job, partial=True)
    assert 10 <= len(context.results) < 240, len(context.results)


@then("nothing of the batch job runs any more")
def check_stopped(context):
    started = _count_started(context)
    bookings = read_booking_runs(context.world)
    engines = ("engine-a", "engine-b")
    for name in engines:
        assert context.world.get_standin(name).control()["running"] == 0
    # Several times the interval at which hosts look for work.
    time.sleep(1)
    assert _count_started(context) == started
    assert read_booking_runs(context.world) == bookings
    job = context.jobs.read_job("a1", context.job_id)
    assert job["status"] == "cancelled", job


@when("{count:d} batch jobs of {items:d} chats are cancelled around their completion")
def race_cancels(context, count, items):
    context.plan = JobPlan(items, 0, 0, max_tokens=20)
    file = context.jobs.upload("a1", context.plan.make_items()).json
    context.raced = []
    for number in range(count):
        job = context.jobs.submit("a1", file["id"], key=f"race-{number}").json
        time.sleep(0.1 * number)
        answer = context.jobs.cancel("b1", job["id"])
        context.raced.append((job["id"], answer.json["status"]))


@then("each batch job ends in one state, and stays in it")
def check_raced(context):
    for job_id, told in context.raced:
        job = context.jobs.wait_until_ended("a1", job_id)
        allowed = {"completed": ("completed",), "cancelled": ("cancelled",)}
        allowed["cancelling"] = ("cancelled",)
        assert job["status"] in allowed[told], (told, job)
        check_results(context, "b1", job, partial=job["status"] == "cancelled")
        again = context.jobs.read_job("b1", job_id)
        assert again["status"] == job["status"], again
        assert again["request_counts"] == job["request_counts"], again


def _count_started(context):
    return _count(context, "started")


def _count_finished(context):
    return _count(context, "finished")


def _count(context, what):
    total = 0
    for name in ("engine-a", "engine-b"):
        records = context.world.get_standin(name).control()["records"]
        total += sum(
            1
            for r in records
            if r["what"] == what and r["request"].startswith(context.job_id)
        )
    return total


@when('an audit is given a job of {count:d} items with "{plant}" planted')
def plant_fault(context, count, plant):
    names = [f"item-{i}" for i in range(count)]
    plants = {
        "nothing": Audit(names, list(names), {}),
        "a lost result": Audit(names, names[1:], {}),
        "a doubled result": Audit(names, [*names, names[0]], {}),
        "a foreign result": Audit(names, [*names, "other"], {}),
        "a second run": Audit(names, list(names), {names[0]: 2}),
    }
    context.faults = plants[plant].find_faults()


@then('the audit says "{sentence}"')
def check_sentence(context, sentence):
    assert context.faults == ([] if sentence == "nothing" else [sentence])


@when(
    'a batch job of {chats:d} chats with {tokens:d} tokens each is accepted by "{host}"'
)
def submit_long_job(context, chats, tokens, host):
    context.plan = JobPlan(chats, 0, 0, max_tokens=tokens)
    file = context.jobs.upload(host, context.plan.make_items()).json
    context.job_id = context.jobs.submit(host, file["id"]).json["id"]


@when("batch items fill an engine")
def wait_for_batch(context):
    engine = context.world.get_standin("engine-a")
    wait_until(lambda: engine.control()["running"] >= 6, "batch items run")


@when('{count:d} online chats of {tokens:d} tokens are sent to "{host}" at once')
def send_burst(context, count, tokens, host):
    caller = context.jobs.get_caller(host)
    context.burst = []

    def send(number):
        context.burst.append(caller.chat(f"online {number}", max_tokens=tokens))

    threads = [threading.Thread(target=send, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("all online chats are answered, and batch items were cancelled for them")
def check_burst(context):
    assert {answer.status for answer in context.burst} == {200}
    assert _count(context, "cancelled") > 0


@then("batch items were cancelled at the engines")
def check_items_cancelled(context):
    assert _count(context, "cancelled") > 0


@given('the batch model "{model}" is in the settings and at no engine')
def add_absent_model(context, model):
    world = context.world
    world.extra += f"[model {model}]\n"
    version = world.apply_configuration()
    for host in world.hosts:
        operator = world.get_operator(host)
        wait_until(
            lambda o=operator: (
                o.request("GET", "/state").json["configuration_version"] >= version
            ),
            f"{host} has the configuration",
        )


@when(
    '{jobs:d} batch jobs of {count:d} items for the model "{model}" '
    "due in {seconds:d} s are accepted"
)
def submit_absent(context, jobs, count, model, seconds):
    items = JobPlan(count).make_items()
    for item in items:
        item["body"]["model"] = model
    file = context.jobs.upload("a1", items).json
    answers = [
        context.jobs.submit("a1", file["id"], completion_window=f"{seconds}s")
        for _ in range(jobs)
    ]
    context.absent = [answer.json["id"] for answer in answers]


@then('the jobs for the absent model end with {count:d} errors "{code}"')
def check_absent(context, count, code):
    results = []
    for job_id in context.absent:
        job = context.jobs.wait_until_ended("b1", job_id)
        results += context.jobs.read_results("b1", job)
    codes = [result["error"]["code"] for result in results]
    assert codes == [code] * count, codes
