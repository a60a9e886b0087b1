"""How much of jobs' results and progress is written to the store at once."""

from ..store import StoreRefusedError
from ..telemetry import get_logger

__all__ = ["WriteSizes"]

# Below this, the size of a refused value isn't the reason for the refusal.
MIN_GROUP_BYTES = 65_536

log = get_logger("jobs")


class WriteSizes:
    """Sizes of the values that this host writes.

    They follow from the store's limits, and are halved when the store refuses a value
    all the same, for example since it counts the value's encoding.

    Parameters
    ----------
    limits : StoreLimits

    Attributes
    ----------
    group_bytes : int
        Size up to which several records are written as one value.
    value_bytes : int
        Size up to which a single record is.

    Examples
    --------
    >>> from ..store import StoreLimits
    >>> sizes = WriteSizes(StoreLimits(1_000_000))
    >>> sizes.group_bytes, sizes.value_bytes
    (700000, 1000000)
    >>> sizes.note_failure(StoreRefusedError("too large", step="transact"))
    >>> sizes.group_bytes, sizes.value_bytes
    (350000, 500000)
    """

    def __init__(self, limits):
        self.group_bytes = limits.group_bytes
        self.value_bytes = limits.value_bytes

    def note_failure(self, error):
        """Write less at once from now on if the store refused a write.

        Parameters
        ----------
        error : StoreError
        """
        if not isinstance(error, StoreRefusedError):
            return
        if self.group_bytes // 2 < MIN_GROUP_BYTES:
            return
        self.group_bytes //= 2
        self.value_bytes //= 2
        log.error(
            "the store refused a value: smaller ones from now on",
            extra={"group_bytes": self.group_bytes, "reason": str(error)},
        )
