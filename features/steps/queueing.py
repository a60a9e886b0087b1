"""Steps of queues and admission."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import curio
from behave import given, then, when

from features.builders import make_text, run_together, wait_until
from mangogauge.clock import ManualClock
from mangogauge.gateway import Call, CapacityGate, Priority
from mangogauge.http import Headers
from mangogauge.membership import Member, MembershipView
from mangogauge.queueing import FairQueue, Ticket
from mangogauge.routing import AnswerTimes, BalancedRouter
from mangogauge.settings import Endpoint, EndpointKind, Route, RouteKind

TOKENS = 8


@given('queueing: a fair queue with accounts "{names}" of weights "{weights}"')
def make_queue(context, names, weights):
    context.queue = FairQueue()
    numbers = [float(weight) for weight in weights.split(", ")]
    context.weights = dict(zip(names.split(", "), numbers, strict=True))


def add_requests(context, account, count, cost=1.0):
    tickets = [Ticket(account, context.weights[account], cost) for _ in range(count)]
    for ticket in tickets:
        context.queue.add(ticket)
    return tickets


@when('queueing: "{a}" adds {n:d} requests of cost {cost:d} and then "{b}" adds {m:d}')
def add_for_two_accounts(context, a, n, cost, b, m):
    add_requests(context, a, n, cost)
    add_requests(context, b, m, cost)


@when('queueing: "{a}" adds {n:d} requests of cost {x:d} and "{b}" {m:d} of cost {y:d}')
def add_with_two_costs(context, a, n, x, b, m, y):
    add_requests(context, a, n, x)
    add_requests(context, b, m, y)


@when('queueing: "{account}" adds {count:d} requests and withdraws them')
def add_and_withdraw(context, account, count):
    for ticket in add_requests(context, account, count):
        assert context.queue.remove(ticket)


@when(
    'queueing: "{account}" adds {count:d} requests of cost {cost:d} '
    "and {served:d} served ones cost nothing"
)
def add_and_refund(context, account, count, cost, served):
    add_requests(context, account, count, cost)
    taken = [context.queue.take_next() for _ in range(served)]
    for ticket in taken:
        context.queue.correct(ticket, 0.0)


@when('queueing: "{account}" adds {count:d} requests')
def add_for_account(context, account, count):
    add_requests(context, account, count)


@when('queueing: "{a}" and "{b}" add {count:d} requests each')
def add_same_for_two_accounts(context, a, b, count):
    add_requests(context, a, count)
    add_requests(context, b, count)


@then('queueing: the first {count:d} served have {number:d} of "{account}"')
def check_first_served(context, count, number, account):
    served = [context.queue.take_next().account for _ in range(count)]
    assert served.count(account) == number, served


@then(
    'queueing: of the first {units:d} units of work served "{account}" has '
    "{low:d} to {high:d}"
)
def check_work_served(context, units, account, low, high):
    work = dict.fromkeys(context.weights, 0.0)
    while sum(work.values()) < units:
        ticket = context.queue.take_next()
        if ticket is None:
            break
        work[ticket.account] += ticket.cost
    # "light" adds only 100 units of work, so it can't reach a larger lower limit.
    assert work[account] >= min(low, 100), work
    assert work[account] <= high, work


@given("queueing: a host before an engine with {slots:d} slots")
def start_host(context, slots):
    world = context.world
    world.accounts = [("flood", 1000, 1000), ("quiet", 1000, 1000)]
    world.start_platform()
    options = ("--slots", slots, "--step-seconds", 0.02)
    world.start_engine("engine-1", options=options, slots=slots)
    world.apply_configuration()
    world.start_host("a1")
    context.callers = {}
    for account in ("flood", "quiet"):
        caller = world.get_caller("a1", world.grant_key(account))
        context.callers[account] = caller
        wait_until(
            lambda caller=caller: caller.request("GET", "/v1/batches").status == 200,
            "the key works",
        )


@when(
    'queueing: "{big}" sends {n:d} chats at once and "{small}" sends {m:d}, one by one'
)
def send_chats(context, big, n, small, m):
    context.answers = []
    first_answered = threading.Event()

    def send_chat(account, number):
        prompt = f"{account} {number}"
        answer = context.callers[account].chat(prompt, max_tokens=TOKENS)
        context.answers.append((account, prompt, answer))
        first_answered.set()

    with ThreadPoolExecutor(n) as pool:
        futures = [pool.submit(send_chat, big, number) for number in range(n)]
        first_answered.wait()
        for number in range(m):
            send_chat(small, number)
        for future in futures:
            future.result()


@then('queueing: all of "{small}" are answered before most of "{big}" are')
def check_answer_order(context, small, big):
    accounts = [account for account, _, _ in context.answers]
    last = len(accounts) - 1 - accounts[::-1].index(small)
    before = accounts[:last].count(big)
    assert before < accounts.count(big) * 2 / 3, accounts


@then("queueing: each chat was answered or refused as overloaded")
def check_answered_or_refused(context):
    for account, prompt, answer in context.answers:
        if answer.status == 200:
            text = answer.json["choices"][0]["message"]["content"]
            assert text == make_text(prompt, TOKENS)
        else:
            assert account == "flood", answer
            assert answer.code == "overloaded", answer


@when('queueing: "{account}" sends {count:d} chats at once with a deadline of 1 second')
def send_chats_with_deadline(context, account, count):
    caller = context.callers[account]
    for number in range(8):
        assert caller.chat(f"before {number}", max_tokens=TOKENS).status == 200

    def send_chat(number):
        headers = {"X-Deadline-Ms": "1000", "X-Request-Id": f"ask-{number}"}
        answer = caller.chat(f"now {number}", max_tokens=TOKENS, headers=headers)
        return f"ask-{number}", answer

    context.answers_by_request = run_together(send_chat, range(count), count)


@then("queueing: some were refused as overloaded with a time to retry after")
def check_some_refused(context):
    context.refused = [(n, a) for n, a in context.answers_by_request if a.status == 503]
    assert context.refused
    for _, answer in context.refused:
        error = answer.json["error"]
        assert (error["code"], error["executed"]) == ("overloaded", "no"), error
        assert error["retry_after"] > 0, error
        assert int(answer.headers["retry-after"]) >= 1


@then("queueing: the engine ran none of the refused requests")
def check_refused_not_run(context):
    records = context.world.get_standin("engine-1").control()["records"]
    ran = {record["request"] for record in records}
    assert not ran & {name for name, _ in context.refused}


@given("queueing: a gate with a manual clock before an engine with {slots:d} slots")
def make_gate(context, slots):
    context.clock = ManualClock()
    endpoint = Endpoint(
        "engine-1",
        "127.0.0.1:1",
        "a",
        EndpointKind.ENGINE,
        models=("small",),
        slots=slots,
    )
    router = BalancedRouter("a", context.clock, random.Random(1))
    router.set_endpoints({"engine-1": endpoint})
    view = MembershipView(Member("a1", "a", "127.0.0.1:2", 1), context.clock)
    context.gate = CapacityGate(router, view, AnswerTimes(), context.clock)


def make_call(context, priority):
    return Call(
        request_id="1",
        account="desk",
        route=Route("chat", "/chat", RouteKind.MODEL),
        method="POST",
        target="/chat",
        headers=Headers(),
        body=b"{}",
        deadline=context.clock.read_elapsed() + 600,
        model="small",
        priority=priority,
    )


@when("queueing: {running:d} batch calls run and {waiting:d} more wait")
def set_batch_counts(context, running, waiting):
    context.counts = (running, waiting)


@then("queueing: an online call starts at once")
@then("queueing: no batch call starts while an online call waits")
def check_batch_waits(context):
    curio.run(run_gate, context)


async def run_gate(context):
    """Fill the gate with batch and online calls, and free slots one by one."""
    running, waiting = context.counts
    gate = context.gate
    started = []

    async def enter(priority):
        entry = await gate.enter(make_call(context, priority))
        started.append((priority, entry))

    async with curio.TaskGroup() as group:
        for _ in range(running + waiting):
            await group.spawn(enter, Priority.BATCH)
        await curio.sleep(0)
        for _ in range(running + 2):
            await group.spawn(enter, Priority.ONLINE)
        await wait_for_count(started, 2 * running)
        priorities = [priority for priority, _ in started]
        assert priorities == [Priority.BATCH] * running + [Priority.ONLINE] * running
        for _ in range(running):
            await gate.leave(started.pop(0)[1])
        assert [priority for priority, _ in started] == [Priority.ONLINE] * running
        while started:
            await gate.leave(started.pop(0)[1])
            await curio.sleep(0)


async def wait_for_count(started, count):
    give_up_at = time.monotonic() + 20
    while len(started) < count and time.monotonic() < give_up_at:
        await curio.sleep(0.001)
