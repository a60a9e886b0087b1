"""What hosts tell each other about hosts that are not registered, and its encoding."""

import math

import orjson
from attrs import field, frozen

__all__ = ["MemberNews", "SilentHost"]

NEWS_FORMAT = "hosts 1"


@frozen
class SilentHost:
    """A process of a host whose entry lapsed, and how many seconds ago."""

    name = field()
    incarnation = field()
    age = field()


@frozen
class MemberNews:
    """Processes of hosts that have fallen silent, and those that have left.

    Parameters
    ----------
    silent : tuple of SilentHost
    left : tuple of (str, str)
        Their names and incarnations.

    Examples
    --------
    >>> news = MemberNews([SilentHost("a", "1", 2.5)], [("b", "7")])
    >>> MemberNews.from_value(orjson.loads(news.to_bytes())).left
    (('b', '7'),)
    """

    silent = field(default=(), converter=tuple)
    left = field(default=(), converter=tuple)

    def __bool__(self):
        return bool(self.silent or self.left)

    @classmethod
    def from_value(cls, value):
        """Decode news from their parsed JSON.

        Raises
        ------
        ValueError, TypeError
            If the value is no news of this format.
        """
        version, silent, left = value
        if version != NEWS_FORMAT:
            raise ValueError(f"news format {version!r} is not supported")
        return cls(
            [_read_silent(*row) for row in silent],
            [(str(name), str(incarnation)) for name, incarnation in left],
        )

    def to_bytes(self):
        """Encode the news as JSON for a datagram; ages are rounded up."""
        silent = [[s.name, s.incarnation, math.ceil(s.age)] for s in self.silent]
        return orjson.dumps([NEWS_FORMAT, silent, self.left])


def _read_silent(name, incarnation, age):
    return SilentHost(str(name), str(incarnation), max(0, int(age)))
