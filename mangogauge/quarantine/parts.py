"""Quarantine parts of prompts that crash endpoints, with what all hosts have seen.

Such a part may come in requests of which no two are alike, at any host, and sound
requests share their client account and their other parts. So each crash accuses the
parts of the requests that the endpoint had not answered whole, and an answer that is
whole, or went on for much longer, clears its parts. Hosts tell each other both. What
they tell can be merged in any order and any number of times; a host that was cut off
or has just started learns all of it from any other.
"""

import xxhash
from attrs import evolve

from ..telemetry import get_logger
from .answers import WHOLE, PartAnswer, PartAnswers, outlasts
from .culprits import find_culprits
from .news import AnsweredPart, CrashNews, SightingNews
from .sightings import CrashSighting
from .soundwork import SoundWork

__all__ = ["PartQuarantine"]

# How long a crash accuses parts.
SIGHTING_LIFETIME_SECONDS = 600.0
# How long after a crash it counts: within this time other hosts tell of answers that
# clear the parts.
SETTLE_SECONDS = 0.75
# How long work is remembered that may have gone on beside a crash.
WORK_SECONDS = 3.0
# How long the other hosts are told that an accused part was answered.
DISPUTE_SECONDS = 10.0
MAX_SIGHTINGS = 512
# Sightings that are told at once, so that news fits into a few packets.
MAX_TOLD_SIGHTINGS = 24
MAX_TOLD_ANSWERED = 24
# Longer names are replaced by their hash.
MAX_NAME_LENGTH = 32

log = get_logger("crashes")


class PartQuarantine:
    """Parts of prompts that must not be run, as far as this host knows.

    A part is suspected while its last crashes haven't settled, and quarantined then.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> quarantine = PartQuarantine(clock)
    >>> for number in range(3):
    ...     _ = quarantine.note_crash(f"e{number}", f"r{number}", ("a", "b"))
    >>> _ = quarantine.note_answer(("a", "c"))
    >>> clock.advance(SETTLE_SECONDS)
    >>> quarantine.is_quarantined(("a", "b")), quarantine.is_quarantined(("a", "c"))
    (True, False)
    """

    def __init__(self, clock):
        self._clock = clock
        self._sightings = {}
        self._answers = PartAnswers(clock)
        self._work = SoundWork(WORK_SECONDS)
        # Until when the other hosts are told of an accused part's answer.
        self._disputed = {}
        self._culprits = frozenset()
        self._suspects = frozenset()
        self._evaluate_at = float("inf")

    def is_quarantined(self, parts):
        """Return whether a request whose prompt has these parts must not be run."""
        self._update()
        return _has_any(parts, self._culprits)

    def is_suspected(self, parts):
        """Return whether one of these parts is about to be quarantined or cleared."""
        self._update()
        return _has_any(parts, self._suspects)

    def is_accused(self, parts):
        """Return whether one of these parts was at a crash that it may have caused."""
        names = set(map(_shorten, parts))
        return any(not names.isdisjoint(s.parts) for s in self._sightings.values())

    @property
    def is_accusing(self):
        """Whether any part was at a crash that it may have caused."""
        return bool(self._sightings)

    def note_work(self, parts, service):
        """Note that an answer of a service, with these shared parts, went on."""
        if self._sightings:
            now = self._clock.read_elapsed()
            self._work.note(map(_shorten, parts), service, now)

    def is_ambiguous(self, name):
        """Return whether nothing but its crashes tells against a part.

        Notes
        -----
        Then all that ran may have crashed for another reason, and the part be one
        that all of it shared.
        """
        self._update()
        return not any(
            name in s.parts and s.is_contrasted for s in self._sightings.values()
        )

    def has_followed(self, name):
        """Return whether a part was at a second crash with the same request."""
        requests = [s.request for s in self._sightings.values() if name in s.parts]
        return len(requests) > len(set(requests))

    def note_crash(self, crash, request, parts, answer_seconds=0.0, service=""):
        """Note a request whose answer an endpoint had not finished when it crashed.

        Parameters
        ----------
        crash, request : str
            As `CrashSighting`.
        parts : tuple of str
            The shared parts of its prompt.
        answer_seconds : float, optional
            How long the answer had gone on; 0 if it had not begun.
        service : str, optional
            The endpoint's.

        Returns
        -------
        bool
            Whether the other hosts have to be told.
        """
        now = self._clock.read_elapsed()
        parts = [
            part
            for part in map(_shorten, parts)
            if not self._answers.clears(part, answer_seconds)
        ]
        return self._add(
            CrashSighting(crash, request, parts, now, answer_seconds, service)
        )

    def note_answer(self, parts, seconds=WHOLE):
        """Note that a request with these shared parts was answered.

        Parameters
        ----------
        parts : tuple of str
        seconds : float, optional
            How long the answer has gone on; by default it is whole.

        Returns
        -------
        bool
            Whether the other hosts have to be told.
        """
        if not outlasts(seconds, 0.0):
            return False
        answer = PartAnswer(seconds, self._clock.read_elapsed())
        cleared = [self._note_answered(_shorten(part), answer) for part in parts]
        return any(cleared)

    def merge(self, news):
        """Merge `CrashNews` of another host.

        Returns
        -------
        bool
            Whether this host learned something that it has to pass on.
        """
        now = self._clock.read_elapsed()
        learned = [
            self._note_answered(row.part, PartAnswer(row.seconds, now - row.age))
            for row in news.answered
        ]
        learned += [self._merge_sighting(row, now) for row in news.sightings]
        return any(learned)

    def make_news(self):
        """Return the `CrashNews` for other hosts; false if there are none."""
        self._update()
        now = self._clock.read_elapsed()
        self._disputed = {p: end for p, end in self._disputed.items() if end > now}
        return CrashNews(
            [_tell(s, now) for s in self._list_relevant(now)[:MAX_TOLD_SIGHTINGS]],
            self._list_disputed(now)[-MAX_TOLD_ANSWERED:],
        )

    def _list_disputed(self, now):
        answers = {part: self._answers.get(part) for part in self._disputed}
        return [
            AnsweredPart(part, now - answer.at, answer.seconds)
            for part, answer in answers.items()
            if answer is not None
        ]

    def make_quarantine_news(self):
        """Return the `CrashNews` of the crashes that quarantined parts explain."""
        self._update()
        now = self._clock.read_elapsed()
        return CrashNews(
            [
                _tell(sighting, now)
                for sighting in self._list_relevant(now)[:MAX_TOLD_SIGHTINGS]
                if not self._culprits.isdisjoint(sighting.parts)
            ]
        )

    def list_culprits(self, parts):
        """Return the names of those of some parts that are in quarantine, in order."""
        self._update()
        return [name for name in map(_shorten, parts) if name in self._culprits]

    def list_crash_times(self, name):
        """Return when a part may have crashed endpoints, by its name, in order."""
        times = {}
        for sighting in self._sightings.values():
            if name in sighting.parts:
                seen_at = times.get(sighting.crash, sighting.seen_at)
                times[sighting.crash] = min(seen_at, sighting.seen_at)
        return sorted(times.values())

    def list_quarantined(self):
        """Return the names of the parts in quarantine."""
        self._update()
        return sorted(self._culprits)

    def _list_relevant(self, now):
        """Return the sightings: first those of culprits, then the newest."""
        self._expire(now)
        return sorted(
            self._sightings.values(),
            key=lambda s: (self._culprits.isdisjoint(s.parts), -s.seen_at),
        )

    def _merge_sighting(self, row, now):
        if row.age >= SIGHTING_LIFETIME_SECONDS:
            return False
        answered = [
            part for part in row.parts if self._answers.clears(part, row.answer_seconds)
        ]
        for part in answered:
            # Also of a known sighting: its sender may not have heard of the answer.
            self._disputed[part] = now + DISPUTE_SECONDS
        parts = [part for part in row.parts if part not in answered]
        sighting = CrashSighting(
            row.crash,
            row.request,
            parts,
            now - row.age,
            row.answer_seconds,
            is_contrasted=row.is_contrasted,
        )
        added = self._add(sighting) or self._contrast(sighting)
        return added or bool(answered)

    def _contrast(self, sighting):
        """Take over that work went on beside a crash; return whether it is news."""
        known = self._sightings.get(sighting.key)
        if known is None or known.is_contrasted or not sighting.is_contrasted:
            return False
        self._sightings[known.key] = evolve(known, is_contrasted=True)
        return True

    def _add(self, sighting):
        if not sighting.parts or sighting.key in self._sightings:
            return False
        if len(self._sightings) >= MAX_SIGHTINGS:
            last = self._list_relevant(self._clock.read_elapsed())[-1]
            del self._sightings[last.key]
        self._sightings[sighting.key] = sighting
        self._plan_evaluation(self._clock.read_elapsed())
        return True

    def _note_answered(self, part, answer):
        """Note a `PartAnswer`; return whether it clears a part that was accused."""
        if not self._answers.note(part, answer) or not self._sightings:
            return False
        return self._clear(part, answer.seconds)

    def _clear(self, part, seconds):
        """Clear a part of the crashes that an answer so long shows not to be its."""
        accusing = [
            sighting
            for sighting in self._sightings.values()
            if part in sighting.parts and outlasts(seconds, sighting.answer_seconds)
        ]
        for sighting in accusing:
            parts = [other for other in sighting.parts if other != part]
            if parts:
                self._sightings[sighting.key] = evolve(sighting, parts=parts)
            else:
                del self._sightings[sighting.key]
        if accusing:
            now = self._clock.read_elapsed()
            self._disputed[part] = now + DISPUTE_SECONDS
            self._plan_evaluation(now)
        return bool(accusing)

    def _plan_evaluation(self, moment):
        self._evaluate_at = min(self._evaluate_at, moment)

    def _update(self):
        now = self._clock.read_elapsed()
        if now >= self._evaluate_at:
            self._evaluate(now)

    def _evaluate(self, now):
        self._expire(now)
        settled, fresh = [], []
        for sighting in self._sightings.values():
            is_settled = sighting.seen_at + SETTLE_SECONDS <= now
            (settled if is_settled else fresh).append(sighting)
        self._evaluate_at = min(
            [s.seen_at + SETTLE_SECONDS for s in fresh]
            + [s.seen_at + SIGHTING_LIFETIME_SECONDS for s in settled],
            default=float("inf"),
        )
        self._replace_culprits(find_culprits(settled))
        for part in self._culprits:
            self._note_contrast(part)
        self._suspects = find_culprits(settled + fresh) - self._culprits

    def _note_contrast(self, part):
        """Note whether work without a part went on right after its last crash."""
        crashes = [s for s in self._sightings.values() if part in s.parts]
        own = [s for s in crashes if s.service is not None]
        if not own or any(s.is_contrasted for s in crashes):
            return
        last = max(s.seen_at for s in crashes)
        until = last + SETTLE_SECONDS
        if self._work.is_beside(part, own[0].service, last, until):
            for sighting in own:
                self._sightings[sighting.key] = evolve(sighting, is_contrasted=True)

    def _replace_culprits(self, culprits):
        if culprits == self._culprits:
            return
        log.warning(
            "quarantine of prompt parts changed",
            extra={
                "added": sorted(culprits - self._culprits),
                "removed": sorted(self._culprits - culprits),
                "sightings": len(self._sightings),
            },
        )
        self._culprits = culprits

    def _expire(self, now):
        oldest = now - SIGHTING_LIFETIME_SECONDS
        for key in [k for k, s in self._sightings.items() if s.seen_at <= oldest]:
            del self._sightings[key]


def _tell(sighting, now):
    age = now - sighting.seen_at
    return SightingNews(
        sighting.crash,
        sighting.request,
        sighting.parts,
        age,
        sighting.answer_seconds,
        sighting.is_contrasted,
    )


def _has_any(parts, names):
    return bool(names) and any(_shorten(part) in names for part in parts)


def _shorten(name):
    """Return a name that identifies a part and isn't too long to be told."""
    if len(name) <= MAX_NAME_LENGTH:
        return name
    return xxhash.xxh3_64_hexdigest(name.encode())
