"""What one answer says of its endpoint's limit, and which of two answers holds."""

from math import inf

from attrs import field, frozen

__all__ = ["NO_LIMIT", "LimitStatement"]

# The rate of an endpoint that names no limit.
NO_LIMIT = inf


@frozen
class LimitStatement:
    """The limit that an endpoint named, or didn't name, in one answer.

    Parameters
    ----------
    rate : float
        Requests a second from all hosts; `NO_LIMIT` if the answer names none.
    asked_at, answered_at : float
        Elapsed times between which the endpoint wrote it: when the request was sent,
        and when the head of the answer arrived.

    Examples
    --------
    >>> first = LimitStatement(3.0, 0.0, 1.0)
    >>> LimitStatement(NO_LIMIT, 0.5, 1.5).supersedes(first)
    False
    >>> LimitStatement(NO_LIMIT, 1.1, 1.5).supersedes(first)
    True
    """

    rate = field()
    asked_at = field()
    answered_at = field()

    @property
    def is_limit(self):
        """Whether the endpoint named a limit."""
        return self.rate < NO_LIMIT

    def supersedes(self, other):
        """Return whether this statement holds in place of another one.

        Notes
        -----
        Answers arrive out of order. Of two that may have been written in either order
        the lower limit holds.
        """
        if self.asked_at >= other.answered_at:
            return True
        if self.answered_at <= other.asked_at:
            return False
        return (self.rate, -self.answered_at) < (other.rate, -other.answered_at)
