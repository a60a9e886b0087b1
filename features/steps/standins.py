"""Steps of the fault proxy and of the platform stand-in."""

import http.client
import threading
import time

import curio
import orjson
from attrs import asdict
from behave import given, then, when
from returns.result import Failure, Success

from features.builders import Caller, wait_until
from mangogauge.standins import LinkFaults
from mangogauge.standins.proxy import make_schedule
from mangogauge.store import (
    Commit,
    GatewayStore,
    Lease,
    RecordStore,
    StoreLostAnswerError,
    StoreUnavailableError,
)

LINK = "service"
SHORT_SECONDS = 0.3
SEED = 11
BODY = b"body" * 1000


class _Post:
    """A post in a thread of its own."""

    def __init__(self, caller, reference):
        self.reference = reference
        self.answer = None
        self.failed = False
        self._caller = caller
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def is_done(self):
        return not self._thread.is_alive()

    def _run(self):
        try:
            self.answer = self._caller.request("POST", self.reference, BODY)
        except (OSError, http.client.HTTPException):
            self.failed = True


def count_runs(context, reference):
    runs = context.world.get_standin("service").control()["runs"]
    return runs.get(f"POST {reference}", 0)


def send_post(context):
    context.number = getattr(context, "number", 0) + 1
    return _Post(context.caller, f"/call/{context.number}")


@given("a service behind a fault proxy")
def start_proxied_service(context):
    context.world.start_service("service")
    target = context.world.endpoints["service"]["address"]
    address, _, port = context.world.start_proxy(service=target)[LINK].rpartition(":")
    context.caller = Caller(address, int(port))


@then("a post through the proxy is answered and ran once")
@then("the post is answered and ran once")
def check_answered(context):
    post = getattr(context, "post", None)
    if post is None or post.failed:
        post = send_post(context)
    wait_until(lambda: post.is_done, "the post is done")
    assert post.answer is not None and post.answer.body == BODY, vars(post)
    assert count_runs(context, post.reference) == 1


@then("the proxy counted bytes both ways")
def check_bytes(context):
    link = context.world.get_standin("proxy").control()[LINK]
    assert link["bytes_forward"] > 4 and link["bytes_backward"] > 4, link


@when('the link\'s "{fault}" is set and a post is sent')
def cut_and_post(context, fault):
    context.world.set_faults(LINK, **{fault: True})
    context.post = send_post(context)


@then("the post has not run while the link is cut")
def check_not_run(context):
    time.sleep(SHORT_SECONDS)
    assert count_runs(context, context.post.reference) == 0
    assert not context.post.is_done


@when("the link is mended")
def mend(context):
    faults = asdict(LinkFaults())
    context.world.set_faults(LINK, **faults)


@then("the post runs once, and its answer has not come")
def check_run_unanswered(context):
    wait_until(lambda: count_runs(context, context.post.reference) == 1, "it ran")
    time.sleep(SHORT_SECONDS)
    assert not context.post.is_done


@when("the link loses one answer and a post is sent")
def lose_and_post(context):
    context.world.set_faults(LINK, lose_answers=1)
    context.post = send_post(context)


@when("the link truncates after {count:d} bytes and a post is sent")
def truncate_and_post(context, count):
    context.world.set_faults(LINK, truncate_after=count)
    context.post = send_post(context)


@when("the link refuses and a post is sent")
def refuse_and_post(context):
    context.world.set_faults(LINK, refuse=True)
    context.post = send_post(context)


@then("the post runs once and ends without an answer")
def check_lost(context):
    wait_until(lambda: context.post.is_done, "the post is done")
    assert context.post.failed, context.post.answer
    assert count_runs(context, context.post.reference) == 1


@then("the post ends without an answer")
def check_ended(context):
    wait_until(lambda: context.post.is_done, "the post is done")
    assert context.post.failed, context.post.answer


@then("the service ran nothing")
def check_nothing_ran(context):
    assert not context.world.get_standin("service").control()["runs"]


@when("the link is reset")
def reset(context):
    context.world.set_faults(LINK, reset=True)


@when("the link delays by {seconds:f} seconds")
def delay(context, seconds):
    context.world.set_faults(LINK, delay=seconds)


@then("a post through the proxy takes at least {seconds:f} seconds")
def check_delay(context, seconds):
    started = time.monotonic()
    check_answered(context)
    assert time.monotonic() - started >= seconds


@then("schedules of the same seed are the same, of others not")
def check_schedules(context):
    first = make_schedule(SEED, ["x", "y"], 60)
    assert first == make_schedule(SEED, ["y", "x"], 60)
    assert first != make_schedule(SEED + 1, ["x", "y"], 60)


@then("after its last step a link has no fault")
def check_schedule_ends(context):
    for seed in range(50):
        state = {name: LinkFaults() for name in "xy"}
        for step in make_schedule(seed, ["x", "y"], 60):
            for name, value in step.changes.items():
                setattr(state[step.link], name, value)
        for faults in state.values():
            faults.reset = False
            assert faults == LinkFaults(), (seed, faults)


@when("a schedule of {seconds:d} second is posted")
def post_schedule(context, seconds):
    request = {"seed": SEED, "links": [LINK], "seconds": seconds}
    request["faults_per_minute"] = 240
    caller = context.world.get_standin("proxy")
    context.steps = caller.request("POST", "/schedule", orjson.dumps(request)).json
    assert context.steps
    faulty = any(step["changes"] for step in context.steps)
    assert faulty, context.steps
    time.sleep(seconds)


@then("the link has no fault in the end")
def check_no_fault(context):
    def is_mended():
        faults = context.world.get_standin("proxy").control()[LINK]["faults"]
        return faults == asdict(LinkFaults())

    wait_until(is_mended, "the schedule has ended")


@then("changing an unknown fault or link is answered by 400")
def check_unknown(context):
    caller = context.world.get_standin("proxy")
    for body in ({LINK: {"gremlins": 1}}, {"nowhere": {"delay": 1}}):
        answer = caller.request("POST", "/control", orjson.dumps(body))
        assert answer.status == 400, answer


def run_with_store(context, function):
    async def run():
        store = GatewayStore([context.world.platform_address], timeout=5.0)
        try:
            return await function(store)
        finally:
            await store.close()

    return curio.run(run)


@given("a platform stand-in and its gateway store")
def start_platform(context):
    context.world.start_platform()
    context.control = context.world.get_standin("platform").control


@when("the stand-in loses one answer and a record is written")
def write_losing(context):
    context.control(lose_answers=1)
    context.written = run_with_store(
        context, lambda store: RecordStore(store).write("record", b"value")
    )


@then("the write is a commit")
def check_commit(context):
    assert isinstance(context.written.unwrap(), Commit), context.written


@then("the record is there, written once")
def check_written_once(context):
    item = run_with_store(context, lambda store: store.get("record")).unwrap()
    assert item.create_revision == item.mod_revision, item


@when("the stand-in is down and a key is put")
def put_while_down(context):
    context.control(down=True)
    context.put = run_with_store(context, lambda store: store.put("key", b"value"))


@then("the put failed")
def check_put_failed(context):
    assert isinstance(context.put, Failure), context.put
    errors = (StoreUnavailableError, StoreLostAnswerError)
    assert isinstance(context.put.failure(), errors), context.put


@then("the key is absent once the stand-in is up again")
def check_absent(context):
    context.control(down=False)
    assert run_with_store(context, lambda store: store.get("key")) == Success(None)


@when("a key hangs on a lease and all leases are expired")
def expire(context):
    async def put(store):
        lease = (await store.grant_lease(600)).unwrap()
        await store.put("key", b"value", lease.lease_id)
        return lease

    context.lease = run_with_store(context, put)
    context.control(expire_leases=True)


@then("the key is gone and the lease can't be renewed")
def check_expired(context):
    assert run_with_store(context, lambda store: store.get("key")) == Success(None)
    lease = Lease(context.lease.lease_id, 600, 0)
    renewed = run_with_store(context, lambda store: store.renew_lease(lease))
    assert isinstance(renewed, Failure), renewed


@when("writes are capped at {cap:d} a second and {count:d} are sent")
def write_capped(context, cap, count):
    context.control(writes_per_second=cap, reset_counts=True)

    async def write(store):
        return [await store.put(f"key{n}", b"value") for n in range(count)]

    context.written = run_with_store(context, write)


@then("at least {cap:d} took effect, at least one was refused, and the counts say so")
def check_capped(context, cap):
    good = sum(1 for result in context.written if isinstance(result, Success))
    refused = len(context.written) - good
    counts = context.control()["counts"]
    assert good >= cap and refused >= 1, context.written
    assert counts["write refused"] == refused, (counts, refused)


@then("putting a value of {size:d} bytes is refused")
def check_size(context, size):
    put = run_with_store(context, lambda store: store.put("big", bytes(size)))
    assert isinstance(put, Failure), put
