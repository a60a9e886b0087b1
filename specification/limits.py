"""Limits: one part of a budget under leases, loans, pauses and re-claims.

Two hosts compete for one part of a client account's budget, on a common axis
of time; each host reads the time at each use, and messages take any time. The
platform records the part's owner and keeps its lease. `allowance` is a token
bucket of the part's whole rate and burst that pays for each admission of
either host: it can't be overdrawn if and only if, over every window,
admissions stay within rate x window + burst.

The same rules carry the durable part: its lease is the outage horizon, and a
release ends it early.
"""

from z3 import And, BitVecVal, If, Implies, Not, Or

from .model import Action, Specification, Variable

__all__ = ["LimitsSpecification"]

HOSTS = range(2)
NUMBER_BITS = 5
TIME_LIMIT = 8

RATE = 2
BURST = 2
LOAN_RATE = 1
LOAN_BURST = 1
LEASE_TICKS = 2
LOAN_TICKS = 3
MARGIN_TICKS = 1


class LimitsSpecification(Specification):
    """The protocol of leases and loans.

    Notes
    -----
    Platform: `owner` of the part, `lease_until` by host. Host: whether it
    `owns` the part as far as it knows, up to `valid_until`; `asked_at` when it
    asked for a lease; `answered`, the platform's answer is under way, and
    `answer_owns`, the owner that the same transaction read. Loans:
    `loan_asked_at`, `loan_sent`, and `lent_until` at the lender,
    `borrowed_until` at the borrower. `tokens` are a host's own, `loan_tokens`
    those borrowed. `gone_at` is when a host saw the owner's lease gone.
    """

    mutations = (
        "lease counted from the answer",
        "loan counted from the reply",
        "lender restores at once",
        "lender restores with tokens",
        "re-claim ignores loans",
        "clock not read at admission",
        "re-claim ignores changes",
        "ownership outlives the lease",
    )
    depth = 16
    fair_schedule = (
        "platform grants host 1 a lease",
        "host 1 gets its lease",
        "time passes",
        "time passes",
        "host 1 sees the owner's lease gone",
        *(["time passes"] * (LOAN_TICKS + MARGIN_TICKS)),
        "host 1 renews its lease promptly",
        "host 1 claims the part",
    )
    variables = {
        "now": Variable(NUMBER_BITS),
        "allowance": Variable(NUMBER_BITS),
        "overdrawn": Variable(),
        "owner": Variable(NUMBER_BITS),
        "lease_until": Variable(NUMBER_BITS, len(HOSTS)),
        "owns": Variable(0, len(HOSTS)),
        "valid_until": Variable(NUMBER_BITS, len(HOSTS)),
        "asking": Variable(0, len(HOSTS)),
        "asked_at": Variable(NUMBER_BITS, len(HOSTS)),
        "answered": Variable(0, len(HOSTS)),
        "answer_owns": Variable(0, len(HOSTS)),
        "tokens": Variable(NUMBER_BITS, len(HOSTS)),
        "gone": Variable(0, len(HOSTS)),
        "gone_at": Variable(NUMBER_BITS, len(HOSTS)),
        "loan_asking": Variable(0, len(HOSTS)),
        "loan_asked_at": Variable(NUMBER_BITS, len(HOSTS)),
        "loan_sent": Variable(0, len(HOSTS)),
        "loan_carried": Variable(NUMBER_BITS, len(HOSTS)),
        "lent": Variable(0, len(HOSTS)),
        "lent_until": Variable(NUMBER_BITS, len(HOSTS)),
        "borrowed_until": Variable(NUMBER_BITS, len(HOSTS)),
        "loan_tokens": Variable(NUMBER_BITS, len(HOSTS)),
    }

    def start(self, s):
        """Host 0 has just got the part, with a full bucket."""
        zeros = [
            s.now,
            *s.asked_at,
            *s.gone_at,
            *s.loan_asked_at,
            *s.loan_carried,
            *s.lent_until,
            *s.borrowed_until,
            *s.loan_tokens,
        ]
        flags = [s.overdrawn, *s.asking, *s.answered, *s.answer_owns, *s.gone]
        flags += [*s.loan_asking, *s.loan_sent, *s.lent]
        return And(
            *(value == 0 for value in zeros),
            *(Not(flag) for flag in flags),
            s.allowance == BURST,
            s.owner == 0,
            *_first(s.lease_until, LEASE_TICKS),
            *_first(s.valid_until, LEASE_TICKS),
            *_first(s.tokens, BURST),
            s.owns[0],
            Not(s.owns[1]),
        )

    def list_actions(self, s):
        """Return every action."""
        actions = [self._tick(s)]
        for host in HOSTS:
            actions += self._list_lease_actions(s, host)
            actions += self._list_claim_actions(s, host)
            actions += self._list_loan_actions(s, host, 1 - host)
            actions += self._list_admissions(s, host)
        return actions

    def _tick(self, s):
        updates = {
            "now": s.now + 1,
            "allowance": _least(s.allowance + RATE, BURST),
        }
        for h in HOSTS:
            rate = If(s.lent[h], _number(RATE - LOAN_RATE), _number(RATE))
            cap = If(s.lent[h], _number(BURST - LOAN_BURST), _number(BURST))
            grown = _least(s.tokens[h] + rate, cap)
            updates["tokens", h] = If(self._may_use(s, h), grown, s.tokens[h])
            grown = _least(s.loan_tokens[h] + LOAN_RATE, LOAN_BURST)
            borrows = s.now < s.borrowed_until[h]
            updates["loan_tokens", h] = If(borrows, grown, s.loan_tokens[h])
        return Action("time passes", s.now < TIME_LIMIT, updates)

    def _may_use(self, s, h):
        valid = self.unless("clock not read at admission", s.now < s.valid_until[h])
        return And(s.owns[h], valid)

    def _list_lease_actions(self, s, h):
        yield Action(
            f"host {h} asks for a lease",
            And(Not(s.asking[h]), Not(s.answered[h])),
            {("asking", h): True, ("asked_at", h): s.now},
        )
        # The lease hangs on the record, so that its renewal changes what a
        # re-claim compares.
        kept = {("gone", 1 - h): False}
        if self.mutation == "re-claim ignores changes":
            kept = {}
        yield Action(
            f"platform grants host {h} a lease",
            s.asking[h],
            {
                ("asking", h): False,
                ("answered", h): True,
                ("answer_owns", h): s.owner == h,
                ("lease_until", h): s.now + LEASE_TICKS,
                **kept,
            },
        )
        # A lease that is granted anew after it lapsed says nothing of the part:
        # the owner is read again with each grant.
        owns = s.answer_owns[h]
        if self.mutation == "ownership outlives the lease":
            owns = s.owns[h]
        counted_from = s.asked_at[h]
        if self.mutation == "lease counted from the answer":
            counted_from = s.now
        yield Action(
            f"host {h} gets its lease",
            s.answered[h],
            {
                ("answered", h): False,
                ("owns", h): owns,
                ("valid_until", h): counted_from + LEASE_TICKS,
            },
        )

        # The three steps above without time between them, to keep runs short.
        yield Action(
            f"host {h} renews its lease promptly",
            And(Not(s.asking[h]), Not(s.answered[h])),
            {
                ("asked_at", h): s.now,
                ("lease_until", h): s.now + LEASE_TICKS,
                ("owns", h): s.owner == h
                if self.mutation != "ownership outlives the lease"
                else s.owns[h],
                ("valid_until", h): s.now + LEASE_TICKS,
                **kept,
            },
        )

    def _list_claim_actions(self, s, h):
        other = 1 - h
        yield Action(
            f"host {h} sees the owner's lease gone",
            And(s.owner == other, s.now >= s.lease_until[other], Not(s.gone[h])),
            {("gone", h): True, ("gone_at", h): s.now},
        )
        wait = LOAN_TICKS + MARGIN_TICKS
        over = self.unless("re-claim ignores loans", s.now >= s.gone_at[h] + wait)
        yield Action(
            f"host {h} claims the part",
            And(s.gone[h], s.owner == other, over, s.now < s.valid_until[h]),
            {
                "owner": h,
                ("gone", h): False,
                ("owns", h): True,
                ("tokens", h): 0,
                ("lent", h): False,
            },
        )

    def _list_loan_actions(self, s, lender, borrower):
        yield Action(
            f"host {borrower} asks for a loan",
            And(
                Not(s.loan_asking[borrower]),
                Not(s.loan_sent[borrower]),
                s.now >= s.borrowed_until[borrower],
            ),
            {("loan_asking", borrower): True, ("loan_asked_at", borrower): s.now},
        )
        carried = _least(s.tokens[lender], LOAN_BURST)
        yield Action(
            f"host {lender} lends",
            And(
                s.loan_asking[borrower],
                Not(s.lent[lender]),
                self._may_use(s, lender),
            ),
            {
                ("loan_asking", borrower): False,
                ("loan_sent", borrower): True,
                ("loan_carried", borrower): carried,
                ("tokens", lender): s.tokens[lender] - carried,
                ("lent", lender): True,
                ("lent_until", lender): s.now + LOAN_TICKS + MARGIN_TICKS,
            },
        )
        counted_from = s.loan_asked_at[borrower]
        if self.mutation == "loan counted from the reply":
            counted_from = s.now
        yield Action(
            f"host {borrower} gets the loan",
            s.loan_sent[borrower],
            {
                ("loan_sent", borrower): False,
                ("borrowed_until", borrower): counted_from + LOAN_TICKS,
                ("loan_tokens", borrower): s.loan_carried[borrower],
            },
        )
        ended = self.unless("lender restores at once", s.now >= s.lent_until[lender])
        restored = {("lent", lender): False}
        if self.mutation == "lender restores with tokens":
            restored["tokens", lender] = BURST
        yield Action(f"host {lender} restores", And(s.lent[lender], ended), restored)

    def _list_admissions(self, s, h):
        paid = {
            "allowance": If(s.allowance > 0, s.allowance - 1, 0),
            "overdrawn": Or(s.overdrawn, s.allowance <= 0),
        }
        yield Action(
            f"host {h} admits",
            And(self._may_use(s, h), s.tokens[h] > 0),
            {("tokens", h): s.tokens[h] - 1, **paid},
        )
        yield Action(
            f"host {h} admits on its loan",
            And(s.now < s.borrowed_until[h], s.loan_tokens[h] > 0),
            {("loan_tokens", h): s.loan_tokens[h] - 1, **paid},
        )

    def list_invariants(self, s):
        """Return the promise."""
        return {"admissions stay within rate and burst": Not(s.overdrawn)}

    def list_lemmas(self, s):
        """Return what the promise rests on."""
        lemmas = {"numbers are in range": self._list_ranges(s)}
        for h in HOSTS:
            other = 1 - h
            live, end = self._measure_loan(s, other)
            lemmas |= {
                f"host {h} uses the part as its owner only": Implies(
                    And(s.owns[h], s.now < s.valid_until[h]), s.owner == h
                ),
                f"host {h} is told of the part as its owner only": Implies(
                    And(
                        s.answered[h],
                        s.answer_owns[h],
                        s.now < s.asked_at[h] + LEASE_TICKS,
                    ),
                    s.owner == h,
                ),
                f"host {h} trusts its lease no longer than the platform": And(
                    s.valid_until[h] <= s.lease_until[h],
                    Implies(
                        s.answered[h], s.asked_at[h] + LEASE_TICKS <= s.lease_until[h]
                    ),
                ),
                f"host {h} gave up what it lent": Implies(
                    live, And(s.owner == h, s.lent[h], end <= s.lent_until[h])
                ),
                f"host {h} lent nothing after its lease": Implies(
                    And(s.gone[other], s.owner == h),
                    And(
                        s.lease_until[h] <= s.gone_at[other],
                        Implies(live, end <= s.gone_at[other] + LOAN_TICKS),
                    ),
                ),
                f"host {h} keeps within its part": Implies(
                    s.lent[h], s.tokens[h] <= BURST - LOAN_BURST
                ),
                f"host {h} waits for the other's part": Implies(
                    s.gone[h], s.owner == other
                ),
                f"host {h} borrows once at a time": And(
                    Not(And(s.loan_asking[h], s.loan_sent[h])),
                    Implies(
                        Or(s.loan_asking[h], s.loan_sent[h]),
                        s.now >= s.borrowed_until[h],
                    ),
                ),
            }
        held = sum((self._count_held(s, h) for h in HOSTS), _number(0))
        return {**lemmas, "tokens are covered by the allowance": held <= s.allowance}

    def goal(self, s):
        """Return that the part of a host 0 that died is in use again."""
        in_use = And(s.owner == 1, s.now < s.valid_until[1])
        return Or(s.now >= TIME_LIMIT, in_use)

    def _measure_loan(self, s, borrower):
        """Return whether a loan may be in use, or yet be so, and its end."""
        sent_end = s.loan_asked_at[borrower] + LOAN_TICKS
        sent = And(s.loan_sent[borrower], s.now < sent_end)
        used = s.now < s.borrowed_until[borrower]
        return Or(sent, used), If(sent, sent_end, s.borrowed_until[borrower])

    def _count_held(self, s, h):
        live, _ = self._measure_loan(s, h)
        borrowed = If(s.loan_sent[h], s.loan_carried[h], s.loan_tokens[h])
        none = _number(0)
        return If(s.owner == h, s.tokens[h], none) + If(live, borrowed, none)

    def _list_ranges(self, s):
        past = [*s.asked_at, *s.gone_at, *s.loan_asked_at]
        leases = [*s.lease_until, *s.valid_until]
        lent_ticks = LOAN_TICKS + MARGIN_TICKS
        return And(
            s.now >= 0,
            s.now <= TIME_LIMIT,
            Or(*(s.owner == h for h in HOSTS)),
            *(And(value >= 0, value <= s.now) for value in past),
            *(And(value >= 0, value <= s.now + LEASE_TICKS) for value in leases),
            *(And(v >= 0, v <= s.now + LOAN_TICKS) for v in s.borrowed_until),
            *(And(v >= 0, v <= s.now + lent_ticks) for v in s.lent_until),
            s.allowance >= 0,
            s.allowance <= BURST,
            *(And(value >= 0, value <= BURST) for value in s.tokens),
            *(
                And(value >= 0, value <= LOAN_BURST)
                for value in (*s.loan_tokens, *s.loan_carried)
            ),
        )


def _first(values, number):
    return [value == (number if i == 0 else 0) for i, value in enumerate(values)]


def _number(value):
    return BitVecVal(value, NUMBER_BITS)


def _least(value, bound):
    return If(value < bound, value, bound)
