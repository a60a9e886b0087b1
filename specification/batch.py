"""Batch: acceptance, claims with epochs, commits by compare-and-swap, cancel.

One job of one chunk with two items, two hosts. A paused host simply does not
act; its lease may end meanwhile, and it wakes with what it held. A commit is a
transaction under way: it may take effect late, be sent again after a lost
answer, or vanish. Results are counted, so that a second one would be seen.
"""

from z3 import And, BoolVal, If, Implies, Not, Or, is_bool

from .model import Action, Specification, Variable

__all__ = ["BatchSpecification"]

HOSTS = range(2)
ITEMS = range(2)
NUMBER_BITS = 5
EPOCH_LIMIT = 6
REVISION_LIMIT = 12


class BatchSpecification(Specification):
    """The batch protocol.

    Notes
    -----
    Platform: `chunk` and `manifest` are recorded, `epoch` and `revision` of
    the chunk, `lease` whether its owner's lease lives, `results` by item,
    `cancelled`. Host: `held` epoch (0 for none), `seen` revision, `ran` items
    not yet committed. Transaction under way: `sent`, with `sent_epoch`,
    `sent_revision` and `sent_items`. Caller: `acknowledged`, and
    `cancel_acknowledged`; `started_late` notes a claim after that.
    """

    mutations = (
        "acknowledge before the manifest",
        "commit without epoch",
        "commit again on a fresh revision",
        "claim forgets results",
        "claim a cancelled job",
        "resend makes a second job",
        "commit ends a cancel",
    )
    depth = 12
    variables = {
        "chunk": Variable(),
        "manifest": Variable(),
        "created": Variable(3),
        "acknowledged": Variable(),
        "cancelled": Variable(),
        "cancel_acknowledged": Variable(),
        "started_late": Variable(),
        "epoch": Variable(NUMBER_BITS),
        "revision": Variable(NUMBER_BITS),
        "lease": Variable(),
        "results": Variable(3, len(ITEMS)),
        "lost": Variable(),
        "held": Variable(NUMBER_BITS, len(HOSTS)),
        "seen": Variable(NUMBER_BITS, len(HOSTS)),
        "ran": Variable(0, len(HOSTS) * len(ITEMS)),
        "sent": Variable(0, len(HOSTS)),
        "sent_epoch": Variable(NUMBER_BITS, len(HOSTS)),
        "sent_revision": Variable(NUMBER_BITS, len(HOSTS)),
        "sent_items": Variable(0, len(HOSTS) * len(ITEMS)),
    }
    fair_schedule = (
        *(f"transaction of host {h} is dropped" for h in HOSTS),
        "lease ends",
        "host 0 claims",
        *(f"host 0 runs item {i}" for i in ITEMS),
        "host 0 commits",
        "transaction of host 0 arrives",
    )

    def start(self, s):
        """Nothing is recorded."""
        return And(*(value == _zero(value) for _, value in s.iterate()))

    def list_actions(self, s):
        """Return every action."""
        actions = [
            Action("chunk is written", Not(s.chunk), {"chunk": True}),
            Action(
                "manifest is written",
                And(s.chunk, self.unless("resend makes a second job", Not(s.manifest))),
                {"manifest": True, "created": _count(s.created)},
            ),
            Action(
                "submission is acknowledged",
                self.unless("acknowledge before the manifest", s.manifest),
                {"acknowledged": True},
            ),
            Action("job is cancelled", s.manifest, {"cancelled": True}),
            Action(
                "cancel is acknowledged",
                s.cancelled,
                {"cancel_acknowledged": True},
            ),
            Action("lease ends", s.lease, {"lease": False}),
        ]
        for host in HOSTS:
            actions += self._list_host_actions(s, host)
        return actions

    def _list_host_actions(self, s, h):
        items = [(i, h * len(ITEMS) + i) for i in ITEMS]
        yield self._claim(s, h, items)
        for i, k in items:
            # An owner knows what is done, since nobody else commits; one that
            # was fenced off may run anything again.
            yield Action(
                f"host {h} runs item {i}",
                And(s.held[h] > 0, Or(s.held[h] != s.epoch, s.results[i] == 0)),
                {("ran", k): True},
            )
        yield Action(
            f"host {h} commits",
            And(s.held[h] > 0, Not(s.sent[h]), Or(*(s.ran[k] for _, k in items))),
            {
                ("sent", h): True,
                ("sent_epoch", h): s.held[h],
                ("sent_revision", h): s.seen[h],
                **{("sent_items", k): s.ran[k] for _, k in items},
            },
        )
        yield self._arrive(s, h, items)
        yield Action(
            f"transaction of host {h} is dropped", s.sent[h], {("sent", h): False}
        )
        yield Action(
            f"host {h} learns the outcome",
            And(s.sent[h], s.held[h] == s.epoch, s.sent_revision[h] != s.revision),
            {
                ("sent", h): False,
                ("seen", h): s.revision,
                **{("ran", k): And(s.ran[k], s.results[i] == 0) for i, k in items},
            },
        )
        if self.mutation == "commit again on a fresh revision":
            # After a lost answer the host reads the revision and sends again,
            # without asking whether the first transaction took effect.
            yield Action(
                f"host {h} sends again",
                And(s.sent[h], s.held[h] == s.epoch),
                {("sent_revision", h): s.revision},
            )
        yield Action(f"host {h} dies", s.held[h] > 0, self._forget(h, items))

    def _claim(self, s, h, items):
        allowed = self.unless("claim a cancelled job", Not(s.cancelled))
        updates = {
            "epoch": s.epoch + 1,
            "revision": s.revision + 1,
            "lease": True,
            "started_late": Or(s.started_late, s.cancel_acknowledged),
            **self._forget(h, items),
            ("held", h): s.epoch + 1,
            ("seen", h): s.revision + 1,
        }
        if self.mutation == "claim forgets results":
            updates["lost"] = Or(s.lost, *(s.results[i] > 0 for i in ITEMS))
            updates.update({("results", i): 0 for i in ITEMS})
        return Action(
            f"host {h} claims",
            And(
                s.manifest,
                Not(s.lease),
                allowed,
                s.epoch < EPOCH_LIMIT,
                s.revision < REVISION_LIMIT,
            ),
            updates,
        )

    def _arrive(self, s, h, items):
        """Let a transaction take effect; it stays under way, to come twice."""
        matches = And(
            self.unless("commit without epoch", s.sent_epoch[h] == s.epoch),
            self.unless("commit without epoch", s.sent_revision[h] == s.revision),
        )
        updates = {
            ("results", i): If(s.sent_items[k], _count(s.results[i]), s.results[i])
            for i, k in items
        }
        updates["revision"] = s.revision + 1
        if self.mutation == "commit ends a cancel":
            updates["cancelled"] = False
        return Action(
            f"transaction of host {h} arrives",
            And(s.sent[h], matches, s.revision < REVISION_LIMIT),
            updates,
        )

    def _forget(self, h, items):
        return {("held", h): 0, **{("ran", k): False for _, k in items}}

    def list_invariants(self, s):
        """Return the promises."""
        return {
            "an acknowledged job is recorded": Implies(
                s.acknowledged, And(s.manifest, s.chunk)
            ),
            "a resent job is the same job": s.created <= 1,
            "no item completes twice": And(*(r <= 1 for r in s.results)),
            "no result is lost": Not(s.lost),
            "a cancelled job stays so": Implies(s.cancel_acknowledged, s.cancelled),
            "a cancelled job is not claimed": Not(s.started_late),
        }

    def list_lemmas(self, s):
        """Return what the promises rest on."""
        lemmas = {
            "the manifest comes after the chunk": Implies(s.manifest, s.chunk),
            "the manifest is made once": s.manifest == (s.created > 0),
            "epochs come after the manifest": Implies(s.epoch > 0, s.manifest),
            "a lease belongs to an epoch": Implies(s.lease, s.epoch > 0),
            "numbers are in range": And(
                s.created >= 0,
                s.epoch >= 0,
                s.epoch <= EPOCH_LIMIT,
                s.revision >= 0,
                s.revision <= REVISION_LIMIT + 1,
                *(r >= 0 for r in s.results),
            ),
        }
        for h in HOSTS:
            lemmas.update(self._list_host_lemmas(s, h))
        return lemmas

    def _list_host_lemmas(self, s, h):
        items = [(i, h * len(ITEMS) + i) for i in ITEMS]
        current = And(
            s.sent[h], s.sent_epoch[h] == s.epoch, s.sent_revision[h] == s.revision
        )
        fresh = And(s.held[h] == s.epoch, s.seen[h] == s.revision, s.held[h] > 0)
        yield (
            f"host {h} holds no later epoch",
            And(s.held[h] >= 0, s.held[h] <= s.epoch, s.seen[h] <= s.revision),
        )
        yield (
            f"host {h} sent no later revision",
            Implies(
                s.sent[h],
                And(s.sent_epoch[h] <= s.epoch, s.sent_revision[h] <= s.revision),
            ),
        )
        for i, k in items:
            yield (
                f"host {h} commits item {i} once",
                Implies(And(current, s.sent_items[k]), s.results[i] == 0),
            )
            yield (
                f"host {h} knows of item {i}",
                Implies(And(fresh, s.ran[k]), s.results[i] == 0),
            )

    def goal(self, s):
        """Every accepted item is done, unless cancelled or out of numbers."""
        return Or(
            Not(s.manifest),
            s.cancelled,
            s.epoch >= EPOCH_LIMIT,
            s.revision >= REVISION_LIMIT - 1,
            And(*(r == 1 for r in s.results)),
        )


def _zero(value):
    return BoolVal(False) if is_bool(value) else 0


def _count(results):
    return If(results < 2, results + 1, results)
