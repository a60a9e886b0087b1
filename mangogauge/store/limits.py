"""Limits of the store on what one transaction may hold."""

from attrs import field, frozen

from .base import StoreLimitError

__all__ = ["StoreLimits", "VALUE_LIMIT_BYTES"]

VALUE_LIMIT_BYTES = 1_000_000
# Share of the largest value that records written together fill: a page of values
# that the store returns has about this limit too, and encodes each value.
GROUP_SHARE = 0.7


@frozen
class StoreLimits:
    """What the store accepts.

    Parameters
    ----------
    value_bytes : int, optional
        Largest value.
    entries : int, optional
        Most conditions and operations of a transaction, together; 0 for no limit.

    Examples
    --------
    >>> from .base import Operation, Transaction
    >>> limits = StoreLimits(value_bytes=1000)
    >>> limits.find_excess(Transaction((), [Operation("a", b"x" * 1000)])) is None
    True
    >>> limits.find_excess(Transaction((), [Operation("a", b"x" * 1001)]))
    StoreLimitError('The value of a has 1001 bytes, of at most 1000.')
    """

    value_bytes = field(default=VALUE_LIMIT_BYTES)
    entries = field(default=0)

    @property
    def group_bytes(self):
        """Size in bytes up to which several records are written as one value."""
        return int(self.value_bytes * GROUP_SHARE)

    def find_excess(self, transaction):
        """Return a `StoreLimitError` if the store can't accept a `Transaction`.

        Returns
        -------
        StoreLimitError or None
        """
        for operation in transaction.operations:
            size = len(operation.value or b"")
            if size > self.value_bytes:
                return StoreLimitError(
                    f"The value of {operation.key} has {size} bytes, of at most "
                    f"{self.value_bytes}.",
                    step="transact",
                )
        entries = len(transaction.conditions) + len(transaction.operations)
        if self.entries and entries > self.entries:
            return StoreLimitError(
                f"The transaction has {entries} entries, of at most {self.entries}.",
                step="transact",
            )
        return None
