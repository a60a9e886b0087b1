"""The identity of a host."""

import time

from attrs import field, frozen

__all__ = ["Member", "make_incarnation"]


def make_incarnation():
    """Return an incarnation number that increases with each start of a host.

    Notes
    -----
    Microseconds since the Unix epoch: a host that replaces another at the same address
    starts later, so it gets a higher number without any storage.
    """
    return time.time_ns() // 1000


@frozen
class Member:
    """One process of one host.

    Parameters
    ----------
    name, data_centre : str
    address : str
        ``host:port`` of its peer port.
    incarnation : int
        Distinguishes this process from earlier and later ones at the same address.
    """

    name = field()
    data_centre = field()
    address = field()
    incarnation = field()
