"""Quarantine of requests that crash the endpoints that run them.

A request that ran at an endpoint when it crashed becomes a suspect. Suspects
run again in trials, one at a time per endpoint. A request is condemned if it ran
at two crashes and no other suspect ran at the same two, or if its endpoint crashed
during its trial. A crash that was known before the trial began doesn't count
against it, since the hosts' reports of one crash arrive one after the other. The
crashes of a condemned request count as explained: the other requests that ran at
them are no longer suspects.
"""

import enum
from collections import OrderedDict

from attrs import define, field, frozen

from ..protocol.quarantine_pb2 import Condemned, QuarantineState, Suspect

__all__ = ["Quarantine", "QuarantineStatus"]

SUSPECT_SECONDS = 120.0
CONDEMNED_SECONDS = 600.0
CLEARED_SECONDS = 30.0
TRIAL_SECONDS = 120.0
MERGE_SECONDS = 3.0
# Longer than any host keeps reporting a crash.
FIRST_SEEN_SECONDS = 2 * CONDEMNED_SECONDS
MAX_ENTRIES = 1000
CRASHES_TO_CONDEMN = 2


class QuarantineStatus(enum.Enum):
    """Status of a request in the quarantine."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONDEMNED = "condemned"


@define
class _CrashRecord:
    """Crashes at which one fingerprint ran, and when the record expires."""

    crashes = field(factory=set)
    until = field(default=0.0)


@frozen
class _Trial:
    """A suspect that is the only one running at an endpoint.

    Parameters
    ----------
    fingerprint : str
    known_crash : str
        The endpoint's latest crash when the trial began; further reports of it
        may still arrive and don't count against the trial.
    until : float
        Elapsed time in seconds at which the trial times out.
    """

    fingerprint = field()
    known_crash = field()
    until = field()


@frozen
class _RecentCrash:
    """The crash to which an endpoint's reports are assigned until `until`."""

    crash = field()
    until = field()


class Quarantine:
    """Suspects, trials and condemned requests that one host has recorded.

    Parameters
    ----------
    owner : str
        Name of this host, which makes its crash ids unique.
    clock : Clock
    """

    def __init__(self, owner, clock):
        self._owner = owner
        self._clock = clock
        self._suspects = OrderedDict()
        self._condemned = OrderedDict()
        self._cleared = OrderedDict()
        self._trials = {}
        self._recent = {}
        self._aliases = OrderedDict()
        self._explained = OrderedDict()
        # Elapsed time at which this host first learned of each crash; repeated
        # reports don't extend it.
        self._first_seen = OrderedDict()
        self._count = 0

    def get_status(self, fingerprint):
        """Return the `QuarantineStatus` of a request's fingerprint."""
        self._expire()
        if fingerprint in self._condemned:
            return QuarantineStatus.CONDEMNED
        if fingerprint in self._suspects:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def note_crash(self, endpoint, fingerprints):
        """Record that `fingerprints` ran at `endpoint` when it crashed.

        Reports by several hosts within `MERGE_SECONDS` count as one crash.
        """
        self._expire()
        crash = self._get_current_crash(endpoint)
        if crash in self._explained:
            return
        for fingerprint in fingerprints:
            self._cleared.pop(fingerprint, None)
            record = self._suspects.setdefault(fingerprint, _CrashRecord())
            record.crashes.add(crash)
            self._record_first_seen([crash])
            record.until = self._now + SUSPECT_SECONDS
        _trim(self._suspects)

    def condemn_suspects(self, endpoint):
        """Condemn requests by the crashes reported so far, and by a trial's crash."""
        trial = self._trials.get(endpoint)
        crash = self._get_current_crash(endpoint)
        if trial is not None and trial.known_crash != crash:
            del self._trials[endpoint]
            self._condemn_if_present(trial.fingerprint, crash)
        self._condemn_repeated()

    def begin_trial(self, fingerprint, endpoint):
        """Begin a trial; return False if another suspect's trial runs there."""
        self._expire()
        running = self._trials.get(endpoint)
        if running is not None and running.fingerprint != fingerprint:
            return False
        recent = self._recent.get(endpoint)
        self._trials[endpoint] = _Trial(
            fingerprint,
            known_crash=recent.crash if recent else "",
            until=self._now + TRIAL_SECONDS,
        )
        return True

    def end_trial(self, fingerprint, endpoint, answered):
        """End a trial; if it was answered, the suspect is cleared."""
        running = self._trials.get(endpoint)
        if running is not None and running.fingerprint == fingerprint:
            del self._trials[endpoint]
        if answered and self._suspects.pop(fingerprint, None) is not None:
            self._cleared[fingerprint] = self._now + CLEARED_SECONDS
            _trim(self._cleared)

    def export(self):
        """Return a `QuarantineState` message for other hosts."""
        self._expire()
        return QuarantineState(
            suspects=[
                Suspect(fingerprint=name, crashes=sorted(record.crashes))
                for name, record in self._suspects.items()
            ],
            condemned=[
                Condemned(
                    fingerprint=name,
                    # Rounded up to minutes, so that the message changes seldom.
                    seconds_left=int(record.until - self._now) // 60 * 60 + 60,
                    crashes=sorted(record.crashes),
                )
                for name, record in self._condemned.items()
            ],
            cleared=list(self._cleared),
        )

    def merge(self, state):
        """Merge a `QuarantineState` that another host exported."""
        self._expire()
        for row in state.condemned:
            self._merge_condemned(row)
        cleared = set(state.cleared)
        for name in cleared & self._suspects.keys():
            del self._suspects[name]
            self._cleared[name] = self._now + CLEARED_SECONDS
        for row in state.suspects:
            self._merge_suspect(row)
        self._condemn_repeated()

    @property
    def _now(self):
        return self._clock.read_elapsed()

    def _merge_condemned(self, row):
        if row.fingerprint in self._condemned:
            return
        crashes = self._resolve_aliases(row.crashes)
        until = self._record_first_seen(crashes) + CONDEMNED_SECONDS
        until = min(until, self._now + row.seconds_left)
        if until > self._now:
            self._condemn(row.fingerprint, crashes, until)

    def _merge_suspect(self, row):
        name = row.fingerprint
        new = {
            crash
            for crash in self._resolve_aliases(row.crashes) - self._explained.keys()
            if self._record_first_seen([crash]) + SUSPECT_SECONDS > self._now
        }
        if not new or name in self._cleared or name in self._condemned:
            return
        record = self._suspects.setdefault(name, _CrashRecord())
        if not new <= record.crashes:
            record.crashes |= new
            record.until = max(
                record.until, self._record_first_seen(new) + SUSPECT_SECONDS
            )
        _trim(self._suspects)

    def _resolve_aliases(self, crashes):
        """Return the ids under which this host counts the crashes.

        Hosts that couldn't reach each other give one crash of an endpoint an id
        each. Ids of different hosts that arrive within `MERGE_SECONDS` are treated
        as aliases of one crash.
        """
        return {self._resolve_alias(crash) for crash in crashes}

    def _resolve_alias(self, crash):
        if crash in self._first_seen:
            return crash
        if crash not in self._aliases:
            endpoint, owner, _ = crash.rsplit("/", 2)
            recent = self._recent.get(endpoint)
            is_separate = recent is None or recent.crash.rsplit("/", 2)[1] == owner
            if is_separate:
                recent = _RecentCrash(crash, self._now + MERGE_SECONDS)
                self._recent[endpoint] = recent
            self._aliases[crash] = recent.crash
            _trim(self._aliases)
        return self._aliases[crash]

    def _record_first_seen(self, crashes):
        """Record crashes that are new; return when the latest was first seen."""
        for crash in crashes:
            self._first_seen.setdefault(crash, self._now)
        times_seen = [self._first_seen[crash] for crash in crashes]
        _trim(self._first_seen)
        return max(times_seen, default=self._now)

    def _condemn_if_present(self, fingerprint, crash):
        """Condemn a request on trial if it ran at the crash."""
        record = self._suspects.get(fingerprint)
        if record is not None and crash in record.crashes:
            self._condemn(fingerprint, record.crashes)

    def _condemn_repeated(self):
        for name, record in list(self._suspects.items()):
            if name not in self._suspects or len(record.crashes) < CRASHES_TO_CONDEMN:
                continue
            others = [c for n, c in self._suspects.items() if n != name]
            shared = (len(record.crashes & other.crashes) for other in others)
            if max(shared, default=0) < CRASHES_TO_CONDEMN:
                self._condemn(name, record.crashes)

    def _condemn(self, fingerprint, crashes, until=None):
        self._suspects.pop(fingerprint, None)
        if until is None:
            until = self._record_first_seen(crashes) + CONDEMNED_SECONDS
        self._condemned[fingerprint] = _CrashRecord(set(crashes), until)
        _trim(self._condemned)
        for crash in crashes:
            self._explained[crash] = self._now + CONDEMNED_SECONDS
        _trim(self._explained)
        for name, record in list(self._suspects.items()):
            record.crashes -= crashes
            if not record.crashes:
                del self._suspects[name]

    def _get_current_crash(self, endpoint):
        recent = self._recent.get(endpoint)
        if recent is None or self._now > recent.until:
            self._count += 1
            crash = f"{endpoint}/{self._owner}/{self._count}"
            recent = _RecentCrash(crash, self._now + MERGE_SECONDS)
            self._recent[endpoint] = recent
        return recent.crash

    def _expire(self):
        now = self._now
        for records in (self._suspects, self._condemned):
            for name in [n for n, record in records.items() if record.until < now]:
                del records[name]
        for times in (self._cleared, self._explained):
            for name in [n for n, until in times.items() if until < now]:
                del times[name]
        while (
            self._first_seen
            and next(iter(self._first_seen.values())) < now - FIRST_SEEN_SECONDS
        ):
            self._first_seen.popitem(last=False)
        for entries in (self._trials, self._recent):
            for name in [n for n, row in entries.items() if row.until < now]:
                del entries[name]


def _trim(entries):
    while len(entries) > MAX_ENTRIES:
        entries.popitem(last=False)
