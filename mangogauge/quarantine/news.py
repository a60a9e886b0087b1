"""What hosts tell each other about crashes, and its encoding."""

import math

import orjson
from attrs import evolve, field, frozen

from .answers import WHOLE

__all__ = ["NEWS_FORMAT", "AnsweredPart", "CrashNews"]

NEWS_FORMAT = "crashes 1"
# Ages are rounded up to multiples of this: they must not shrink from host to host.
AGE_STEP_SECONDS = 0.1
# Between the name of a request or part and the length of an answer.
LENGTH_MARK = "~"
# Behind the name of a request whose crash was one of a few beside sound work.
CONTRAST_MARK = "^"


@frozen
class AnsweredPart:
    """A part of prompts with which a request was answered, and how long ago.

    Parameters
    ----------
    part : str
    age : float
        In seconds.
    seconds : float, optional
        How long the answer went on; by default it is whole.
    """

    part = field()
    age = field()
    seconds = field(default=WHOLE)


@frozen
class SightingNews:
    """A `CrashSighting` as it is told: with its age in place of a time."""

    crash = field()
    request = field()
    parts = field(converter=tuple)
    age = field()
    answer_seconds = field(default=0.0)
    is_contrasted = field(default=False)


@frozen
class CrashNews:
    """Sightings of crashes, and accused parts that proved to be sound.

    Parameters
    ----------
    sightings : tuple of SightingNews
    answered : tuple of AnsweredPart
    """

    sightings = field(default=(), converter=tuple)
    answered = field(default=(), converter=tuple)

    def __bool__(self):
        return bool(self.sightings or self.answered)

    @classmethod
    def from_value(cls, value):
        """Decode news from their parsed JSON.

        Raises
        ------
        ValueError, TypeError
            If the value is no news of this format.
        """
        version, sightings, answered = value
        if version != NEWS_FORMAT:
            raise ValueError(f"news format {version!r} is not supported")
        return cls(
            [_read_sighting(*row) for row in sightings],
            [_read_answered(*row) for row in answered],
        )

    def grow_older(self, seconds):
        """Return the same news as they are after some seconds."""
        return CrashNews(
            [evolve(row, age=row.age + seconds) for row in self.sightings],
            [evolve(row, age=row.age + seconds) for row in self.answered],
        )

    def to_bytes(self):
        """Encode the news as JSON for a datagram.

        Notes
        -----
        How long an answer went on is told behind the name of its request or part, as
        in ``NAME~12`` for 1.2 s. To hosts of older builds, which know no such lengths,
        this is another name; a part of that name is in no prompt. The mark of sound
        work beside a crash stands before the length.
        """
        return orjson.dumps(
            [
                NEWS_FORMAT,
                [
                    [
                        s.crash,
                        _add_length(_mark_request(s), s.answer_seconds, 0.0),
                        s.parts,
                        _write_age(s.age),
                    ]
                    for s in self.sightings
                ],
                [
                    [_add_length(a.part, a.seconds, WHOLE), _write_age(a.age)]
                    for a in self.answered
                ],
            ]
        )


def _read_sighting(crash, request, parts, age):
    name, seconds = _split_length(str(request), 0.0)
    return SightingNews(
        str(crash),
        name.removesuffix(CONTRAST_MARK),
        map(str, parts),
        _read_age(age),
        seconds,
        name.endswith(CONTRAST_MARK),
    )


def _mark_request(sighting):
    return sighting.request + CONTRAST_MARK * sighting.is_contrasted


def _read_answered(part, age):
    name, seconds = _split_length(str(part), WHOLE)
    return AnsweredPart(name, _read_age(age), seconds)


def _add_length(name, seconds, default):
    """Return a name followed by the length of an answer, unless it is the default."""
    if seconds == default:
        return name
    return f"{name}{LENGTH_MARK}{round(seconds / AGE_STEP_SECONDS)}"


def _split_length(text, default):
    """Return what `_add_length` was given."""
    name, mark, steps = text.rpartition(LENGTH_MARK)
    if not mark or not (steps.isascii() and steps.isdecimal()):
        return text, default
    return name, int(steps) * AGE_STEP_SECONDS


def _write_age(age):
    return math.ceil(age / AGE_STEP_SECONDS)


def _read_age(steps):
    return max(0, int(steps)) * AGE_STEP_SECONDS
