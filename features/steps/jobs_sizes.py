"""Steps of jobs whose results, progress or submissions exceed the store's limits."""

from behave import given, then, when

from features.builders.fleet import make_submission
from features.builders.jobstore import FixedClaimer
from features.machines.stores import Fate
from features.steps.jobs import LEASE_SECONDS, accept, run, submit_job
from features.steps.jobs_checkpoints import find_item, receive
from features.steps.jobs_claims import claim
from mangogauge.jobs import ItemState, Submission
from mangogauge.jobs.claims import JobClaims
from mangogauge.jobs.keys import make_results_prefix
from mangogauge.jobs.progress import ProgressWriter
from mangogauge.jobs.records import SubmittedItem
from mangogauge.store import StoreLimits
from mangogauge.telemetry import ServingMetrics

WRITE_SECONDS = 0.25
# Longer than the pause after a write that failed, shorter than a lease.
LATER_SECONDS = 0.5


def read_size(text):
    return int(text.replace(",", ""))


def read_numbers(text):
    return [int(n) for n in text.replace(" and ", ", ").split(", ")]


def make_text(number, size):
    return str(number) * size


@given("the store takes values of {size} bytes")
def limit_values(context, size):
    context.sizes = {}
    context.store.limits = StoreLimits(read_size(size))
    limit_hosts(context, size)


@given("the limits that hosts know are {size} bytes")
def limit_hosts(context, size):
    """Let the hosts know other limits; the first host keeps its claim."""
    store, limits = context.store, StoreLimits(read_size(size))
    for name, host in context.hosts.items():
        claimant = f"{name}#1"
        host.claims = JobClaims(store, store, host.registration, claimant, limits)


@given("the store refuses values of more than {size} bytes without having said so")
def limit_store(context, size):
    context.store.limits = StoreLimits(read_size(size))


@given('the store refuses all results of "{job_id}"')
def refuse_results(context, job_id):
    context.store.refused_prefix = make_results_prefix(job_id)


@given('the first host has also claimed the job "{job_id}" of {count:d} items')
def claim_second(context, job_id, count):
    host, first_job = context.hosts["first"], context.hosts["first"].job
    submit_job(context, "first", job_id, count)
    context.other_job = claim(context, "first", job_id)
    host.job = first_job


def finish(context, job, numbers, size, text=make_text):
    for number in numbers:
        item = job.items[f"{job.job_id}-{number}"]
        item.event_texts = [text(number, size)]
        context.sizes[item.item.item_id] = item.event_texts[0]
        job.finish(item, ItemState.DONE)


@when("items {numbers} end at the {name} host with {size} bytes each")
@when("item {numbers} ends at the {name} host with {size} bytes")
def finish_items(context, numbers, name, size):
    job = context.hosts[name].job
    finish(context, job, read_numbers(numbers), read_size(size))


@when("item {number:d} ends at the first host with {size} control characters")
def finish_control(context, number, size):
    job = context.hosts["first"].job
    finish(context, job, [number], read_size(size), lambda n, count: "\x01" * count)


@when('the items of "{job_id}" end at the first host with {size} bytes each')
def finish_other(context, job_id, size):
    job = context.other_job
    finish(context, job, range(len(job.items)), read_size(size))


@when("item {number:d} receives {size} control characters at the first host")
def receive_control(context, number, size):
    receive(find_item(context, "first", number), 1, b"\x01" * read_size(size))


def make_writer(context, name):
    """Return the writer of a host, the same one each time."""
    if not hasattr(context, "writers"):
        context.writers = {}
    if name not in context.writers:
        host = context.hosts[name]
        others = [context.other_job] if hasattr(context, "other_job") else []
        context.metrics = ServingMetrics()
        context.writers[name] = ProgressWriter(
            FixedClaimer([host.job, *others]),
            host.claims,
            context.clock,
            context.metrics,
        )
    return context.writers[name]


@when("the {name} host writes its jobs' progress")
def write_once(context, name):
    run(make_writer(context, name).write)


@when("the {name} host writes its jobs' progress again, later")
def write_later(context, name):
    context.clock.advance(LATER_SECONDS)
    write_once(context, name)


@when("the first host writes its jobs' progress again and again for {seconds:d} s")
def write_repeatedly(context, seconds):
    for _ in range(int(seconds / WRITE_SECONDS)):
        context.clock.advance(WRITE_SECONDS)
        write_once(context, "first")


@given("the store of jobs is available again")
@when("the store of jobs is available again")
def make_available(context):
    context.store.unavailable = False


@when(
    'the claim on "{job_id}" is lost to the second host after {count:d} writes '
    "of the first"
)
def lose_claim(context, job_id, count):
    context.store.fates = [Fate.ANSWERED] * count + [Fate.LATE]
    write_once(context, "first")
    context.clock.advance(LEASE_SECONDS + 1)
    run(context.hosts["second"].registration._register)
    assert claim(context, "second", job_id) is not None


@then("each value in the store has at most {size} bytes")
def check_values(context, size):
    items = run(context.store.list_prefix, "jobs/").unwrap()
    assert max(len(item.value) for item in items) <= read_size(size)


@then("the store refused nothing")
def check_nothing_refused(context):
    assert context.store.refused == 0, context.store.refused


@then("the store refused at most {count:d} writes, and each was counted")
def check_few_refused(context, count):
    assert 0 < context.store.refused <= count, context.store.refused
    counted = context.metrics.writes_refused._value.get()
    assert counted == context.store.refused, (counted, context.store.refused)


async def read_texts(context, reader, position, job_id):
    found = []
    while True:
        manifest, results = await reader.read_results(
            job_id, "desk", position + len(found), 0
        )
        found += [(result.item_id, result.text) for result in results]
        if not results or position + len(found) >= len(manifest.items):
            return found


@then(
    "a reader at each host reads the items {numbers} from position {position:d}, whole"
)
def check_whole(context, numbers, position):
    ids = [f"j1-{n}" for n in read_numbers(numbers)]
    check_texts(context, "j1", ids, position)


@then('a reader at each host reads all items of "{job_id}"')
def check_all(context, job_id):
    ids = [name for name in context.sizes if name.startswith(f"{job_id}-")]
    check_texts(context, job_id, ids, 0)


def check_texts(context, job_id, ids, position):
    expected = [(name, context.sizes[name]) for name in ids]
    for host in context.hosts.values():
        found = run(read_texts, context, host.reader, position, job_id)
        assert [name for name, _ in found] == ids, [name for name, _ in found]
        assert found == expected


SUBMISSIONS = {
    "a body of 150,000 bytes": lambda: SubmittedItem("big", "/", (), b"x" * 150_000),
    "header fields of 150,000 bytes in all": lambda: SubmittedItem(
        "big", "/", [(f"X-{n}", "x" * 1500) for n in range(100)], b""
    ),
}


@when('"{account}" submits a job with {what}')
def submit_too_large(context, account, what):
    small = make_submission("j9", 1)
    submission = Submission("j9", small.host, [*small.items, SUBMISSIONS[what]()])
    context.store.unavailable = False
    context.calls = context.store.calls
    context.refusal = run(accept, context, "first", submission, account)


@then("it is refused with {status:d} at the first attempt")
def check_refused_at_once(context, status):
    assert context.refusal is not None and context.refusal.status == status
    assert context.refusal.retry_after is None
    assert context.store.calls == context.calls + 1, context.store.calls
