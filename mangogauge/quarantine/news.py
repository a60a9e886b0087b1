"""What hosts tell each other about crashes, and its encoding."""

import math

import orjson
from attrs import evolve, field, frozen

__all__ = ["NEWS_FORMAT", "AnsweredPart", "CrashNews"]

NEWS_FORMAT = "crashes 1"
# Ages are rounded up to multiples of this: they must not shrink from host to host.
AGE_STEP_SECONDS = 0.1


@frozen
class AnsweredPart:
    """A part of prompts with which a request was answered, and how long ago.

    Parameters
    ----------
    part : str
    age : float
        In seconds.
    """

    part = field()
    age = field()


@frozen
class SightingNews:
    """A `CrashSighting` as it is told: with its age in place of a time."""

    crash = field()
    request = field()
    parts = field(converter=tuple)
    age = field()


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
            [
                SightingNews(str(crash), str(request), map(str, parts), _read_age(age))
                for crash, request, parts, age in sightings
            ],
            [AnsweredPart(str(part), _read_age(age)) for part, age in answered],
        )

    def grow_older(self, seconds):
        """Return the same news as they are after some seconds."""
        return CrashNews(
            [evolve(row, age=row.age + seconds) for row in self.sightings],
            [evolve(row, age=row.age + seconds) for row in self.answered],
        )

    def to_bytes(self):
        """Encode the news as JSON for a datagram."""
        return orjson.dumps(
            [
                NEWS_FORMAT,
                [
                    [s.crash, s.request, s.parts, _write_age(s.age)]
                    for s in self.sightings
                ],
                [[a.part, _write_age(a.age)] for a in self.answered],
            ]
        )


def _write_age(age):
    return math.ceil(age / AGE_STEP_SECONDS)


def _read_age(steps):
    return max(0, int(steps)) * AGE_STEP_SECONDS
