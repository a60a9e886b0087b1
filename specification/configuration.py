"""Configuration: versions by compare-and-swap, relays, restarts.

One data centre of three hosts; two operators. The platform may be away at any
time. A host knows a version before it puts it in force, and does so only once
another host of its data centre knows it too, or none other is serving. A
restarted host serves what it reads from the platform, after it has told that to
another host; or, if all the others serve, the newest that they know.

That a starting host reads the platform, tells another host, and serves is one
step here; in the code its time is bounded.
"""

from z3 import And, BitVecVal, If, Implies, Not, Or

from .model import Action, Specification, Variable

__all__ = ["ConfigurationSpecification"]

HOSTS = range(3)
OPERATORS = range(2)
RELAY = 0
VERSION_BITS = 4
VERSION_LIMIT = 5


class ConfigurationSpecification(Specification):
    """The protocol of versions.

    Notes
    -----
    Platform: `recorded` version, and whether it is `away`. Operator: version
    that its change is `based` on, and whether the change is `sent`. Host:
    whether it is `serving`, version `known` and version `in_force`, and
    `answer`, a version read from the platform that is still under way.
    History: `reached`, the newest version in force in the data centre so far;
    `overwritten`, a change replaced one that its author had not seen;
    `reverted`, a host went back; `stale_start`, a restarted host served an
    older version than its data centre had had.
    """

    mutations = (
        "write without comparing",
        "take any answer",
        "restart serves what one peer knows",
        "restart serves its stale copy",
        "put in force what nobody else knows",
    )
    depth = 12
    variables = {
        "recorded": Variable(VERSION_BITS),
        "away": Variable(),
        "based": Variable(VERSION_BITS, len(OPERATORS)),
        "sent": Variable(0, len(OPERATORS)),
        "serving": Variable(0, len(HOSTS)),
        "known": Variable(VERSION_BITS, len(HOSTS)),
        "in_force": Variable(VERSION_BITS, len(HOSTS)),
        "answer": Variable(VERSION_BITS, len(HOSTS)),
        "reached": Variable(VERSION_BITS),
        "overwritten": Variable(),
        "reverted": Variable(),
        "stale_start": Variable(),
    }
    fair_schedule = (
        "platform comes back",
        *(
            f"host {h} starts from the platform and tells host {told}"
            for h in HOSTS
            for told in HOSTS
            if told != h
        ),
        f"platform answers host {RELAY}",
        f"host {RELAY} takes the answer",
        *(f"host {h} hears from host {RELAY}" for h in HOSTS if h != RELAY),
        *(f"host {h} puts in force" for h in HOSTS),
    )

    def start(self, s):
        """Version 1 is in force everywhere."""
        ones = [s.recorded, s.reached, *s.known, *s.in_force]
        zeros = [*s.based, *s.answer]
        history = [s.overwritten, s.reverted, s.stale_start]
        return And(
            *(value == 1 for value in ones),
            *(value == 0 for value in zeros),
            *s.serving,
            *(Not(value) for value in (s.away, *s.sent, *history)),
        )

    def list_actions(self, s):
        """Return every action."""
        actions = [
            Action("platform goes away", Not(s.away), {"away": True}),
            Action("platform comes back", s.away, {"away": False}),
        ]
        for operator in OPERATORS:
            actions += self._list_operator_actions(s, operator)
        for host in HOSTS:
            actions += self._list_running_actions(s, host)
            actions += self._list_starting_actions(s, host)
        return actions

    def _list_operator_actions(self, s, o):
        yield Action(
            f"operator {o} reads and changes",
            And(Not(s.away), Not(s.sent[o])),
            {("based", o): s.recorded, ("sent", o): True},
        )
        # The transaction stays under way after it took effect: it is sent
        # again if its answer was lost.
        yield Action(
            f"change of operator {o} arrives",
            And(
                Not(s.away),
                s.sent[o],
                s.based[o] < VERSION_LIMIT,
                self.unless("write without comparing", s.based[o] == s.recorded),
            ),
            {
                "recorded": s.based[o] + 1,
                "overwritten": Or(s.overwritten, s.based[o] != s.recorded),
            },
        )
        yield Action(f"operator {o} is done", s.sent[o], {("sent", o): False})

    def _list_running_actions(self, s, h):
        others = [other for other in HOSTS if other != h]
        yield Action(
            f"platform answers host {h}",
            And(Not(s.away), s.serving[h]),
            {("answer", h): s.recorded},
        )
        taken = s.answer[h]
        if self.mutation != "take any answer":
            taken = _newest(s.answer[h], s.known[h])
        yield Action(
            f"host {h} takes the answer",
            And(s.serving[h], s.answer[h] > 0),
            {("known", h): taken, ("answer", h): 0},
        )
        for other in others:
            yield Action(
                f"host {h} hears from host {other}",
                And(s.serving[h], s.serving[other]),
                {("known", h): _newest(s.known[h], s.known[other])},
            )
        backed = Or(
            *(And(s.serving[o], s.known[o] >= s.known[h]) for o in others),
            Not(Or(*(s.serving[o] for o in others))),
        )
        yield Action(
            f"host {h} puts in force",
            And(
                s.serving[h], self.unless("put in force what nobody else knows", backed)
            ),
            {
                ("in_force", h): s.known[h],
                "reached": _newest(s.reached, s.known[h]),
                "reverted": Or(s.reverted, s.known[h] < s.in_force[h]),
            },
        )

    def _list_starting_actions(self, s, h):
        others = [other for other in HOSTS if other != h]
        yield Action(
            f"host {h} ends",
            s.serving[h],
            {("serving", h): False, ("answer", h): 0},
        )
        for other in others:
            yield self._start_from_platform(s, h, other, others)
        newest = _newest(*(s.known[o] for o in others))
        if self.mutation == "restart serves what one peer knows":
            newest = s.known[others[0]]
        all_serve = And(*(s.serving[o] for o in others))
        yield self._start_with(s, h, "from its peers", all_serve, newest)
        if self.mutation == "restart serves its stale copy":
            yield self._start_with(s, h, "from its copy", True, s.known[h])

    def _start_from_platform(self, s, h, told, others):
        """Let a restarted host serve what is recorded, and tell a host of it."""
        nobody = Not(Or(*(s.serving[o] for o in others)))
        start = self._start_with(
            s,
            h,
            f"from the platform and tells host {told}",
            And(Not(s.away), Or(s.serving[told], nobody)),
            s.recorded,
        )
        if self.mutation != "put in force what nobody else knows":
            heard = If(s.serving[told], s.recorded, s.known[told])
            start.updates["known", told] = heard
        return start

    def _start_with(self, s, h, source, condition, version):
        return Action(
            f"host {h} starts {source}",
            And(Not(s.serving[h]), condition),
            {
                ("serving", h): True,
                ("known", h): version,
                ("in_force", h): version,
                "reached": _newest(s.reached, version),
                "stale_start": Or(s.stale_start, version < s.reached),
            },
        )

    def list_invariants(self, s):
        """Return the promises."""
        return {
            "no change replaces one that its author had not seen": Not(s.overwritten),
            "a host never reverts": Not(s.reverted),
            "a restarted host is not behind its data centre": Not(s.stale_start),
        }

    def list_lemmas(self, s):
        """Return what the promises rest on."""
        missing = _count(Not(serving) for serving in s.serving)
        backed = _count(And(s.serving[h], s.known[h] >= s.reached) for h in HOSTS)
        return {
            "the newest in force is known to one more than may be missing": Or(
                missing >= 2, backed + missing >= 2
            ),
            "only what is recorded is known": And(
                s.reached <= s.recorded,
                *(s.known[h] <= s.recorded for h in HOSTS),
                *(s.answer[h] <= s.recorded for h in HOSTS),
            ),
            "changes rest on what is recorded": And(
                *(s.based[o] <= s.recorded for o in OPERATORS)
            ),
            "hosts know what is in force": And(
                *(Implies(s.serving[h], s.in_force[h] <= s.known[h]) for h in HOSTS),
            ),
            "numbers are in range": And(
                s.recorded >= 1,
                s.recorded <= VERSION_LIMIT,
                s.reached >= 1,
                *(value >= 0 for value in (*s.known, *s.answer, *s.based)),
                *(value >= 0 for value in s.in_force),
            ),
        }

    def goal(self, s):
        """The newest version is in force on every host."""
        return And(*s.serving, *(in_force == s.recorded for in_force in s.in_force))


def _count(conditions):
    one, none = BitVecVal(1, VERSION_BITS), BitVecVal(0, VERSION_BITS)
    return sum((If(condition, one, none) for condition in conditions), none)


def _newest(first, second):
    return If(first > second, first, second)
