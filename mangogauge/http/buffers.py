"""Bytes that unfinished messages of many senders may hold together.

Each message has a bound of its own, but a host with many connections would keep as
many times that. A small message is always kept, so that those who send much at once
don't cost the others theirs.
"""

from .errors import HTTPLimitError

__all__ = ["Buffer", "BufferBudget"]

# Size up to which a message isn't counted.
FREE_BYTES = 16_384


class BufferBudget:
    """Bytes that messages may hold together.

    Parameters
    ----------
    limit_bytes : int

    Examples
    --------
    >>> budget = BufferBudget(100_000)
    >>> buffer = budget.open()
    >>> buffer.resize(60_000)
    >>> budget.used_bytes
    43616
    >>> budget.open().resize(90_000)
    Traceback (most recent call last):
    mangogauge.http.errors.HTTPLimitError: receive: More than buffered_bytes 100000.
    >>> buffer.close()
    >>> budget.used_bytes
    0
    """

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def open(self):
        """Return a `Buffer` of one message, which is empty."""
        return Buffer(self)


class Buffer:
    """What one message holds of a `BufferBudget`."""

    def __init__(self, budget):
        self._budget = budget
        self._counted = 0

    def resize(self, size):
        """Note how many bytes are held now.

        Raises
        ------
        HTTPLimitError
            If all messages would hold more than the budget.
        """
        budget = self._budget
        counted = max(0, size - FREE_BYTES)
        used_bytes = budget.used_bytes + counted - self._counted
        if counted > self._counted and used_bytes > budget.limit_bytes:
            raise HTTPLimitError("buffered_bytes", budget.limit_bytes)
        budget.used_bytes = used_bytes
        self._counted = counted

    def close(self):
        """Hold nothing any more."""
        self.resize(0)
