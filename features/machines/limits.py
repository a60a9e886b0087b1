"""State machine that checks `TokenBucket` against the bound in every window."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mangogauge.limits import TokenBucket

RATES = st.integers(0, 50)
BURSTS = st.integers(1, 20)
TOLERANCE = 1e-6


class TokenBucketMachine(RuleBasedStateMachine):
    """Checks that admissions in any window stay within the rates and burst in force."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.bucket = TokenBucket(10, 5, self.now)
        self.periods = [(0.0, 10, 5)]
        self.admitted = []

    @rule(seconds=st.floats(0, 3, allow_nan=False))
    def wait(self, seconds):
        self.now += seconds

    @rule(amount=st.integers(1, 6))
    def take(self, amount):
        if self.bucket.take(amount, self.now):
            self.admitted.append((self.now, amount))

    @rule()
    def wait_until_available(self):
        wait = self.bucket.compute_wait(1)
        if wait != float("inf"):
            self.now += wait + TOLERANCE
            self.bucket.accrue(self.now)
            assert self.bucket.compute_wait(1) == 0

    @rule(rate=RATES, burst=BURSTS)
    def change_limits(self, rate, burst):
        self.bucket.set_limits(rate, burst, self.now)
        self.periods.append((self.now, rate, burst))

    @rule(seconds=st.floats(0, 1))
    def read_earlier_time(self, seconds):
        self.bucket.accrue(self.now - seconds)

    @invariant()
    def check_windows(self):
        if not self.admitted:
            return
        end = self.admitted[-1][0]
        total = 0
        for start, amount in reversed(self.admitted):
            total += amount
            assert total <= self._bound(start, end) + TOLERANCE, (start, end, total)

    def _bound(self, start, end):
        accrued = 0.0
        burst = 0
        ends = [at for at, _, _ in self.periods[1:]] + [float("inf")]
        for (period_start, rate, period_burst), period_end in zip(
            self.periods, ends, strict=True
        ):
            if period_start <= end and period_end >= start:
                burst = max(burst, period_burst)
                accrued += rate * max(
                    0.0, min(end, period_end) - max(start, period_start)
                )
        return burst + accrued
