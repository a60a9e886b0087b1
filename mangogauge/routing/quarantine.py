"""Requests that crash the endpoints that run them, told from innocent ones.

A request that ran at an endpoint when it crashed is a suspect. Suspects run
again one at a time at an endpoint. One that was present at two crashes, with
no other suspect present at the same two, is condemned, and so is one that was
on trial when its endpoint crashed. Whoever is condemned explains its crashes:
others that were present are suspects no more.
"""

import enum
from collections import OrderedDict

from attrs import define, field

from ..protocol.quarantine_pb2 import Condemned, QuarantineState, Suspect

__all__ = ["Quarantine", "Standing"]

SUSPECT_SECONDS = 120.0
CONDEMNED_SECONDS = 600.0
CLEARED_SECONDS = 30.0
TRIAL_SECONDS = 120.0
MERGE_SECONDS = 3.0
KEPT = 1000
CRASHES_TO_CONDEMN = 2


class Standing(enum.Enum):
    """What is held against a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONDEMNED = "condemned"


@define
class _Case:
    """Crashes held against one fingerprint, until when."""

    crashes = field(factory=set)
    until = field(default=0.0)


class Quarantine:
    """Suspects, trials and condemned requests.

    Parameters
    ----------
    owner : str
        Name that makes ids of crashes unique.
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
        self._explained = OrderedDict()
        self._count = 0

    def judge(self, fingerprint):
        """Return the `Standing` of a fingerprint."""
        self._expire()
        if fingerprint in self._condemned:
            return Standing.CONDEMNED
        if fingerprint in self._suspects:
            return Standing.SUSPECT
        return Standing.CLEAR

    def note_crash(self, endpoint, fingerprints):
        """Note that `fingerprints` ran at `endpoint` when it crashed.

        Reports of several hosts within a few seconds are one crash.
        """
        self._expire()
        crash = self._find_crash(endpoint)
        if crash in self._explained:
            return
        for fingerprint in fingerprints:
            self._cleared.pop(fingerprint, None)
            case = self._suspects.setdefault(fingerprint, _Case())
            case.crashes.add(crash)
            case.until = self._now + SUSPECT_SECONDS
        _trim(self._suspects)

    def settle(self, endpoint):
        """Condemn whom the crashes reported so far convict."""
        trial = self._trials.pop(endpoint, None)
        crash = self._find_crash(endpoint)
        if trial is not None:
            case = self._suspects.get(trial[0])
            if case is not None and crash in case.crashes:
                self._condemn(trial[0], case.crashes)
        self._condemn_repeated()

    def begin_trial(self, fingerprint, endpoint):
        """Return whether the suspect may run at `endpoint` now."""
        self._expire()
        running = self._trials.get(endpoint)
        if running is not None and running[0] != fingerprint:
            return False
        self._trials[endpoint] = (fingerprint, self._now + TRIAL_SECONDS)
        return True

    def end_trial(self, fingerprint, endpoint, answered):
        """Note that a trial has ended; an answer clears the suspect."""
        running = self._trials.get(endpoint)
        if running is not None and running[0] == fingerprint:
            del self._trials[endpoint]
        if answered and self._suspects.pop(fingerprint, None) is not None:
            self._cleared[fingerprint] = self._now + CLEARED_SECONDS
            _trim(self._cleared)

    def export(self):
        """Return what others should know as a `QuarantineState`."""
        self._expire()
        return QuarantineState(
            suspects=[
                Suspect(fingerprint=name, crashes=sorted(case.crashes))
                for name, case in self._suspects.items()
            ],
            condemned=[
                Condemned(
                    fingerprint=name,
                    # In steps, so that the message changes seldom.
                    seconds_left=int(case.until - self._now) // 60 * 60 + 60,
                    crashes=sorted(case.crashes),
                )
                for name, case in self._condemned.items()
            ],
            cleared=list(self._cleared),
        )

    def merge(self, state):
        """Take in what another host exported."""
        self._expire()
        for row in state.condemned:
            self._take_condemned(row)
        cleared = set(state.cleared)
        for name in cleared & self._suspects.keys():
            del self._suspects[name]
            self._cleared[name] = self._now + CLEARED_SECONDS
        for row in state.suspects:
            self._take_suspect(row)
        self._condemn_repeated()

    @property
    def _now(self):
        return self._clock.read_elapsed()

    def _take_condemned(self, row):
        if row.fingerprint in self._condemned:
            return
        self._condemn(row.fingerprint, set(row.crashes))
        left = min(CONDEMNED_SECONDS, row.seconds_left)
        self._condemned[row.fingerprint].until = self._now + left

    def _take_suspect(self, row):
        name = row.fingerprint
        new = set(row.crashes) - self._explained.keys()
        if not new or name in self._cleared or name in self._condemned:
            return
        case = self._suspects.setdefault(name, _Case())
        if not new <= case.crashes:
            case.crashes |= new
            case.until = self._now + SUSPECT_SECONDS
        _trim(self._suspects)

    def _condemn_repeated(self):
        for name, case in list(self._suspects.items()):
            if name not in self._suspects or len(case.crashes) < CRASHES_TO_CONDEMN:
                continue
            others = [c for n, c in self._suspects.items() if n != name]
            shared = (len(case.crashes & other.crashes) for other in others)
            if max(shared, default=0) < CRASHES_TO_CONDEMN:
                self._condemn(name, case.crashes)

    def _condemn(self, fingerprint, crashes):
        self._suspects.pop(fingerprint, None)
        until = self._now + CONDEMNED_SECONDS
        self._condemned[fingerprint] = _Case(set(crashes), until)
        _trim(self._condemned)
        for crash in crashes:
            self._explained[crash] = self._now + CONDEMNED_SECONDS
        _trim(self._explained)
        for name, case in list(self._suspects.items()):
            case.crashes -= crashes
            if not case.crashes:
                del self._suspects[name]

    def _find_crash(self, endpoint):
        crash, until = self._recent.get(endpoint, ("", float("-inf")))
        if self._now > until:
            self._count += 1
            crash = f"{endpoint}/{self._owner}/{self._count}"
            self._recent[endpoint] = (crash, self._now + MERGE_SECONDS)
        return crash

    def _expire(self):
        now = self._now
        for cases in (self._suspects, self._condemned):
            for name in [n for n, case in cases.items() if case.until < now]:
                del cases[name]
        for times in (self._cleared, self._explained):
            for name in [n for n, until in times.items() if until < now]:
                del times[name]
        for kept in (self._trials, self._recent):
            for name in [n for n, (_, until) in kept.items() if until < now]:
                del kept[name]


def _trim(kept):
    while len(kept) > KEPT:
        kept.popitem(last=False)
