"""State machine of ledgers whose messages are lost, duplicated and delayed."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from features.builders.bounds import check_bound
from mangogauge.limits import AccountLedger, Allocation

HOSTS = range(4)
RATE, BURST = 10.0, 20.0
ALLOCATION_SECONDS = 3.0
HOST = st.sampled_from(HOSTS)
PART = st.sampled_from([0.0, 0.05, 0.25, 1.0])


class LoanMachine(RuleBasedStateMachine):
    """Four ledgers of one account, with allocations that expire and are taken over."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.allocations = [
            [Allocation(1 / len(HOSTS), self.now - 1000, self.now + ALLOCATION_SECONDS)]
            for _ in HOSTS
        ]
        self.ledgers = [self.make_ledger(host) for host in HOSTS]
        self.admissions = []
        self.requests = []
        self.replies = []
        self.sequence = 0

    def make_ledger(self, host):
        return AccountLedger(RATE, BURST, tuple(self.allocations[host]), self.now)

    @rule(seconds=st.sampled_from([0.01, 0.2, 1.0, 2.2]))
    def advance(self, seconds):
        self.now += seconds

    @rule(host=HOST, count=st.integers(1, 20))
    def take(self, host, count):
        for _ in range(count):
            if self.ledgers[host].take(1.0, self.now):
                self.admissions.append((self.now, 1.0))

    @rule(
        borrower=HOST,
        lender=HOST,
        rate=PART,
        burst=PART,
        tokens=st.sampled_from([0.0, 1.0, 20.0]),
        seconds=st.sampled_from([0.5, 2.0]),
    )
    def ask(self, borrower, lender, rate, burst, tokens, seconds):
        if borrower != lender:
            self.requests.append(
                self.send(borrower, lender, rate, burst, tokens, seconds)
            )

    @rule(
        borrower=HOST,
        lender=HOST,
        rate=PART,
        burst=PART,
        seconds=st.sampled_from([0.5, 2.0]),
        delay=st.sampled_from([0.0, 0.01, 0.2]),
    )
    def exchange(self, borrower, lender, rate, burst, seconds, delay):
        """Send a request and deliver its answer, with a delay each way."""
        if borrower == lender:
            return
        _, request, sent_at = self.send(borrower, lender, rate, burst, 20.0, seconds)
        self.now += delay
        grant = self.ledgers[lender].lend(request, self.now)
        self.now += delay
        if grant is not None:
            self.ledgers[borrower].apply_grant(lender, grant, sent_at, self.now)

    def send(self, borrower, lender, rate, burst, tokens, seconds):
        self.sequence += 1
        self.ledgers[borrower].settle(self.now)
        request = self.ledgers[borrower].make_request(
            lender,
            borrower,
            self.sequence,
            rate=rate,
            burst=burst,
            tokens=tokens,
            seconds=seconds,
        )
        return lender, request, self.now

    @rule(borrower=HOST, lender=HOST)
    def give_back(self, borrower, lender):
        self.sequence += 1
        request = self.ledgers[borrower].return_loan(
            lender, borrower, self.sequence, self.now
        )
        if request is not None:
            self.requests.append((lender, request, self.now))

    @rule(data=st.data(), doubled=st.booleans())
    def deliver_request(self, data, doubled):
        if not self.requests:
            return
        index = data.draw(st.integers(0, len(self.requests) - 1))
        lender, request, sent_at = self.requests[index]
        if not doubled:
            del self.requests[index]
        grant = self.ledgers[lender].lend(request, self.now)
        if grant is not None:
            self.replies.append((request.borrower, lender, grant, sent_at))

    @rule(data=st.data(), doubled=st.booleans())
    def deliver_reply(self, data, doubled):
        if not self.replies:
            return
        index = data.draw(st.integers(0, len(self.replies) - 1))
        borrower, lender, grant, sent_at = self.replies[index]
        if not doubled:
            del self.replies[index]
        self.ledgers[borrower].apply_grant(lender, grant, sent_at, self.now)

    @rule(host=HOST)
    def renew_allocations(self, host):
        for allocation in self.allocations[host]:
            allocation.extend(self.now + ALLOCATION_SECONDS, self.now)

    @rule(host=HOST, taker=HOST)
    def take_over(self, host, taker):
        lapsed = [
            allocation
            for allocation in self.allocations[host]
            if allocation.until <= self.now
        ]
        for allocation in lapsed:
            self.allocations[host].remove(allocation)
            self.allocations[taker].append(
                Allocation(allocation.share, self.now, self.now + ALLOCATION_SECONDS)
            )
        for changed in {host, taker}:
            self.ledgers[changed].set_allocations(
                tuple(self.allocations[changed]), self.now
            )

    @rule(host=HOST)
    def forget_idle(self, host):
        if self.ledgers[host].is_idle(self.now):
            self.ledgers[host] = self.make_ledger(host)

    @invariant()
    def check_windows(self):
        check_bound(self.admissions, RATE, BURST)

    @rule()
    def check_total_tokens(self):
        for ledger in self.ledgers:
            ledger.settle(self.now)
        total = sum(ledger.tokens for ledger in self.ledgers)
        assert total <= self.compute_level() + 1e-6, total

    def compute_level(self):
        """Return the tokens that one bucket for the whole account would hold now."""
        level, last = BURST, 100.0
        for at, cost in [*self.admissions, (self.now, 0.0)]:
            level = min(BURST, level + RATE * (at - last)) - cost
            last = at
        return level

    @invariant()
    def check_shares(self):
        # Checked now and at every later end of a loan or allocation, as if no more
        # messages arrived. An allocation that has expired by then may have been taken
        # over by another host.
        ends = {end for ledger in self.ledgers for end in ledger.list_end_times()}
        allocations = [allocation for held in self.allocations for allocation in held]
        for time in [self.now, *(end for end in ends if end > self.now)]:
            lapsed = sum(
                allocation.share
                for allocation in allocations
                if allocation.until <= time
            )
            for index in (0, 1):
                held = [
                    max(0.0, le.get_held_shares(time)[index]) for le in self.ledgers
                ]
                assert sum(held) + lapsed <= 1 + 1e-9, (time, held, lapsed)
