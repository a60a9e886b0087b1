"""Steps for the ledgers' loans."""

from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from features.builders.bounds import compute_excess
from features.builders.loan_machine import LoanMachine
from mangogauge.limits import AccountLedger, Allocation

FOREVER = 1e12
START = 1000.0


@given("limits admissions of two hosts that each admit the whole burst")
def make_violation(context):
    one = [(START + i / 100, 1.0) for i in range(20)]
    two = [(START + i / 100, 1.0) for i in range(20)]
    context.logs = [one, two]


@then("the limits checker finds an excess of one burst")
def check_excess(context):
    # 0.19 seconds at rate 10 accrue 1.9 tokens.
    excess = compute_excess(sum(context.logs, []), 10, 20)
    assert abs(excess - 18.1) < 1e-6, excess


@then("the limits checker finds none within one host's admissions")
def check_no_excess(context):
    assert compute_excess(context.logs[0], 10, 20) == 0


@then("no run of the limits loan machine breaks the bound")
def run_machine(context):
    run_state_machine_as_test(
        LoanMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=200,
            stateful_step_count=40,
        ),
    )


@given("two limits ledgers with half of rate {rate:d} and burst {burst:d} each")
def make_ledgers(context, rate, burst):
    context.now = START
    allocation = (Allocation(0.5, 0.0, FOREVER),)
    context.ledgers = [AccountLedger(rate, burst, allocation, START) for _ in range(2)]


@when("one asks the other for 5 tokens and the request arrives twice")
def ask_twice(context):
    borrower, lender = context.ledgers
    assert borrower.take(10, START) and lender.take(2, START)
    context.first = borrower.make_request("b", "a", 1, burst=0.25, tokens=5.0)
    context.grants = [lender.lend(context.first, START + t) for t in (0.01, 0.3)]


@then("both answers are the same and the lender transferred 5 tokens once")
def check_granted_once(context):
    one, two = context.grants
    assert one == two and one.tokens == 5, context.grants
    # 8 tokens and those accrued at half the rate until the second request, minus 5.
    assert abs(context.ledgers[1].tokens - (8 + 5 * 0.3 - 5)) < 1e-6


@then("an answer that arrives after a newer request is ignored")
def check_old_grant(context):
    borrower, lender = context.ledgers
    borrower.make_request("b", "a", 2, burst=0.25, tokens=5.0)
    borrower.apply_grant("b", context.grants[0], START, START + 0.4)
    assert borrower.get_held_shares(START + 0.4) == (0.5, 0.5)


@when(
    "one borrows the other's whole half for 2 seconds and then pauses for {seconds:d}"
)
def borrow_and_pause(context, seconds):
    borrower, lender = context.ledgers
    request = borrower.make_request(
        "b", "a", 1, rate=0.5, burst=0.5, tokens=10.0, seconds=2.0
    )
    grant = lender.lend(request, START)
    borrower.apply_grant("b", grant, START, START)
    assert borrower.tokens == 20 and not lender.take(0.5, START)
    context.now = START + seconds


@then("the borrower can use no more than its own half")
def check_own_half(context):
    borrower = context.ledgers[0]
    assert not borrower.take(10.5, context.now)
    assert borrower.take(10, context.now)


@then("the lender can use its half again")
def check_lender_half(context):
    assert context.ledgers[1].take(10, context.now)


@given("a limits ledger whose allocation expires after 10 seconds")
def make_expiring_ledger(context):
    context.allocation = Allocation(1.0, 0.0, START + 10)
    context.ledger = AccountLedger(10, 20, (context.allocation,), START)


@when("its host pauses for {seconds:d} seconds")
def pause_host(context, seconds):
    context.now = START + seconds


@then("it admits nothing, not even after a late renewal")
def check_expired(context):
    assert not context.ledger.take(1, context.now)
    assert not context.allocation.extend(context.now + 10, context.now)
    assert not context.ledger.take(1, context.now + 1)


@when("it lends all that it has to a third ledger")
def lend_to_third(context):
    third = AccountLedger(10, 20, (), START)
    request = third.make_request("a", "c", 1, rate=1.0, burst=1.0, seconds=1.0)
    grant = context.ledgers[0].lend(request, START)
    assert grant.rate == 1.0, grant


@when("the lender stops using its slots")
def stop_using(context):
    context.ledgers[1].set_allocations((), START)


@then("a third ledger that asks the lender gets no tokens")
def check_no_tokens(context):
    third = AccountLedger(10, 20, (Allocation(0.5, START, FOREVER),), START)
    request = third.make_request("b", "c", 1, burst=0.25, tokens=5.0)
    assert request.room == 10, request
    assert context.ledgers[1].lend(request, START).tokens == 0


@then("it returns nothing")
def check_not_returned(context):
    assert context.ledgers[0].return_loan("b", "a", 2, START + 0.1) is None


@when("the account's rate is set to {rate:d} and its burst to {burst:d}")
def change_rate(context, rate, burst):
    for ledger in context.ledgers:
        ledger.set_limits(rate, burst, context.now)


@then("both together admit at most {count:d} at once")
def check_total(context, count):
    admitted = sum(le.take(1, context.now) for le in context.ledgers for _ in range(30))
    assert admitted <= count, admitted
    assert count == 0 or admitted > 0, admitted
