"""What hosts need of the platform: a key-value store and a lagging list of hosts."""

from ..lazy import attach_lazily
from .base import (
    ChangeFeed,
    Changes,
    Condition,
    KeyValue,
    Lease,
    Operation,
    Snapshot,
    Store,
    StoreCompactedError,
    StoreError,
    StoreLostAnswerError,
    StoreRefusedError,
    StoreUnavailableError,
    Transaction,
    TransactionResult,
    WatchEvent,
)

__all__ = [
    "ChangeFeed",
    "Changes",
    "Commit",
    "Condition",
    "Conflict",
    "FileHostList",
    "GatewayStore",
    "HostList",
    "HostListing",
    "KeyValue",
    "Lease",
    "ListedState",
    "MemoryStore",
    "Operation",
    "RecordStore",
    "Snapshot",
    "Store",
    "StoreCompactedError",
    "StoreError",
    "StoreLostAnswerError",
    "StoreRefusedError",
    "StoreUnavailableError",
    "StoredRecord",
    "Transaction",
    "TransactionResult",
    "WatchEvent",
    "encode_record",
]

__getattr__ = attach_lazily(
    __name__,
    {
        "gateway": ("GatewayStore",),
        "hostlist": ("FileHostList", "HostList", "HostListing", "ListedState"),
        "memory": ("MemoryStore",),
        "records": (
            "Commit",
            "Conflict",
            "RecordStore",
            "StoredRecord",
            "encode_record",
        ),
    },
)
