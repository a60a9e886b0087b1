"""Count endpoint crashes by online request, over all hosts.

This guards against a request that crashes every endpoint that runs it, and that its
caller retries at any host. Requests that run at the same endpoint fail with it, so a
single crash proves nothing, and an answer clears the count. Batch items are not
counted: they wait and are retried.

A crash is forgotten after a minute, unless the request is refused by then: the hosts
that counted its crashes tell of them for ten minutes, so that all others, and those
that start or were cut off meanwhile, refuse it too.
"""

from attrs import define, field

__all__ = ["CrashLedger"]

# Crashes without an answer in between after which a request is refused.
QUARANTINE_CRASHES = 3
# How long a crash counts against a request, and one that other hosts have told of
# after they fell silent.
CRASH_LIFETIME_SECONDS = 60.0
# How long the crashes of a request that is refused count.
QUARANTINE_SECONDS = 600.0
# Requests to keep counts of; the oldest are evicted first.
MAX_REQUESTS = 64


@define
class _CrashRecord:
    """Crashes of one request, as counted by one host.

    Parameters
    ----------
    count : int
    expires_at : float
        Elapsed time at which they stop counting.
    cleared : int
        How many of them an answer at this host has cleared. The host that counted
        them still reports them.
    is_kept : bool
        Whether they count for longer, since the request is refused.
    """

    count = field(default=0)
    expires_at = field(default=0.0)
    cleared = field(default=0)
    is_kept = field(default=False)

    @property
    def uncleared(self):
        """Number of crashes that still count against the request."""
        return self.count - self.cleared


class CrashLedger:
    """Counts of endpoint crashes by fingerprint of the request.

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
        """Whether no crashes are recorded for any request."""
        return not self._own and not self._others

    def note_crash(self, fingerprint):
        """Note that an endpoint crashed while it ran a request of this host."""
        record = self._own.pop(fingerprint, None) or _CrashRecord()
        record.count += 1
        record.expires_at = self._clock.read_elapsed() + CRASH_LIFETIME_SECONDS
        record.is_kept = False
        self._own[fingerprint] = record
        while len(self._own) > MAX_REQUESTS:
            del self._own[next(iter(self._own))]
        self._keep_if_quarantined(fingerprint)

    def note_answer(self, fingerprint):
        """Note that an endpoint answered a request and did not crash."""
        self._own.pop(fingerprint, None)
        for records in self._others.values():
            record = records.get(fingerprint)
            if record is not None:
                record.cleared = record.count

    def count_own(self):
        """Return ``{fingerprint: int}`` of the crashes that this host counted."""
        self._expire(self._own)
        return {name: record.count for name, record in self._own.items()}

    def merge_counts(self, host, counts):
        """Replace the counts of another host by ``{fingerprint: int}``."""
        now = self._clock.read_elapsed()
        previous = self._others.pop(host, {})
        # A missing count may return, since sums leave out hosts that did not report;
        # crashes that were cleared must stay cleared then.
        records = {
            name: _CrashRecord(record.cleared, record.expires_at, record.cleared)
            for name, record in previous.items()
            if name not in counts and record.cleared and record.expires_at > now
        }
        for name, count in counts.items():
            record = previous.get(name)
            if record is None or record.count != count:
                cleared = min(record.cleared, count) if record else 0
                record = _CrashRecord(count, cleared=cleared)
            record.expires_at = now + CRASH_LIFETIME_SECONDS
            records[name] = record
        if records:
            self._others[host] = records
        for name in counts.keys() & self._own.keys():
            self._keep_if_quarantined(name)

    def is_quarantined(self, fingerprint):
        """Return whether a request must not be run for now."""
        return self.count_uncleared(fingerprint) >= QUARANTINE_CRASHES

    def count_uncleared(self, fingerprint):
        """Return how many crashes count against a request, over all hosts."""
        total = 0
        for records in [self._own, *self._others.values()]:
            self._expire(records)
            record = records.get(fingerprint)
            total += record.uncleared if record else 0
        return total

    def _keep_if_quarantined(self, name):
        """Let this host's crashes of a request count for longer if it is refused."""
        record = self._own.get(name)
        if record is None or record.is_kept or not self.is_quarantined(name):
            return
        record.is_kept = True
        record.expires_at = self._clock.read_elapsed() + QUARANTINE_SECONDS

    def _expire(self, records):
        now = self._clock.read_elapsed()
        for name in [n for n, record in records.items() if record.expires_at <= now]:
            del records[name]
