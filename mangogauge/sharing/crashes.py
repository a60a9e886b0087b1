"""Which online requests have crashed the endpoints that ran them, at all hosts.

The load this answers: a request that crashes each endpoint that begins to run
it, and that its caller sends again and again, at any host. Requests that only
ran beside it break off, too, so one crash proves nothing; an answer clears. Batch
items are not counted: they wait and are run again.
"""

from attrs import define, field

__all__ = ["CrashLedger"]

# Crashes without an answer in between after which a request is refused.
CRASHES = 3
# How long a crash is held against a request.
HELD_SECONDS = 60.0
# Requests that are kept count of; the oldest are forgotten first.
KEPT = 64


@define
class _Case:
    """Crashes of one request, as one host has seen them.

    Parameters
    ----------
    count : int
    until : float
        Elapsed time at which they are forgotten.
    answered : int
        How many of them an answer has cleared; their host goes on telling of them.
    """

    count = field(default=0)
    until = field(default=0.0)
    answered = field(default=0)

    @property
    def held(self):
        """How many are still held against the request."""
        return self.count - self.answered


class CrashLedger:
    """Counts crashes by fingerprint of request.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> ledger = CrashLedger(ManualClock())
    >>> ledger.note_crash("f")
    >>> ledger.merge_counts("other host", {"f": 2})
    >>> ledger.is_quarantined("f")
    True
    >>> ledger.note_answer("f")
    >>> ledger.is_quarantined("f")
    False
    """

    def __init__(self, clock):
        self._clock = clock
        self._own = {}
        self._others = {}

    @property
    def is_empty(self):
        """Whether nothing is held against any request."""
        return not self._own and not self._others

    def note_crash(self, fingerprint):
        """Note that an endpoint crashed while it ran a request of this host."""
        case = self._own.pop(fingerprint, None) or _Case()
        case.count += 1
        case.until = self._clock.read_elapsed() + HELD_SECONDS
        self._own[fingerprint] = case
        while len(self._own) > KEPT:
            del self._own[next(iter(self._own))]

    def note_answer(self, fingerprint):
        """Note that an endpoint ran a request and lives."""
        self._own.pop(fingerprint, None)
        for cases in self._others.values():
            case = cases.get(fingerprint)
            if case is not None:
                case.answered = case.count

    def count_own(self):
        """Return ``{fingerprint: int}`` of this host."""
        self._expire(self._own)
        return {name: case.count for name, case in self._own.items()}

    def merge_counts(self, host, counts):
        """Take what another host has counted: ``{fingerprint: int}``."""
        now = self._clock.read_elapsed()
        before = self._others.pop(host, {})
        # What is missing may be told again: sums lack hosts that were silent.
        cases = {
            name: _Case(case.answered, case.until, case.answered)
            for name, case in before.items()
            if name not in counts and case.answered and case.until > now
        }
        for name, count in counts.items():
            case = before.get(name)
            if case is None or case.count != count:
                answered = min(case.answered, count) if case else 0
                case = _Case(count, now + HELD_SECONDS, answered)
            cases[name] = case
        if cases:
            self._others[host] = cases

    def is_quarantined(self, fingerprint):
        """Return whether a request is not to be run for now."""
        return self.count_uncleared(fingerprint) >= CRASHES

    def count_uncleared(self, fingerprint):
        """Return how many crashes are held against a request."""
        total = 0
        for cases in [self._own, *self._others.values()]:
            self._expire(cases)
            case = cases.get(fingerprint)
            total += case.held if case else 0
        return total

    def _expire(self, cases):
        now = self._clock.read_elapsed()
        for name in [n for n, case in cases.items() if case.until <= now]:
            del cases[name]
