"""The identity of a host."""

import time

from attrs import field, frozen

__all__ = ["Member", "make_incarnation"]


def make_incarnation():
    """Return a number that grows with each start of a host.

    Notes
    -----
    Microseconds since the Unix epoch: a host that replaces another on the
    same address starts later, so it is told apart without any storage.
    """
    return time.time_ns() // 1000


@frozen
class Member:
    """One run of one host.

    Parameters
    ----------
    name, data_centre : str
    address : str
        ``host:port`` of its peer port.
    incarnation : int
        Tells this run from earlier and later ones on the same address.
    """

    name = field()
    data_centre = field()
    address = field()
    incarnation = field()
