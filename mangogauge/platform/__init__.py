"""What the platform gives: a key-value store and a lagging list of hosts."""

from .gateway import GatewayStore
from .hostlist import FileHostList, HostList, HostListing, ListedState
from .memory import MemoryStore
from .records import Commit, Conflict, RecordStore, StoredRecord, encode_record
from .store import (
    Condition,
    KeyValue,
    Lease,
    Operation,
    Store,
    StoreError,
    StoreLostAnswerError,
    StoreRefusedError,
    StoreUnavailableError,
    Transaction,
    TransactionResult,
    WatchEvent,
)

__all__ = [
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
    "Store",
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
