"""The platform's key-value store as an abstract base class.

Every method returns a `returns` result: ``Success`` with a value, or
``Failure`` with a `StoreError` that says whether a write may have taken effect.
"""

from abc import ABC, abstractmethod

from attrs import field, frozen

from ..errors import PeerError

__all__ = [
    "ChangeFeed",
    "Changes",
    "Condition",
    "KeyValue",
    "Lease",
    "Operation",
    "Snapshot",
    "Store",
    "StoreCompactedError",
    "StoreError",
    "StoreLimitError",
    "StoreLostAnswerError",
    "StoreRefusedError",
    "StoreUnavailableError",
    "Transaction",
    "TransactionResult",
    "WatchEvent",
]


class StoreError(PeerError):
    """A call to the store failed."""


class StoreUnavailableError(StoreError):
    """The store was not reached; nothing took effect."""


class StoreLostAnswerError(StoreError):
    """The call was sent and no answer came; a write may have taken effect."""


class StoreRefusedError(StoreError):
    """The store refused the call; nothing took effect."""


class StoreLimitError(StoreRefusedError):
    """The call exceeds a limit of the store: repeating it can't succeed."""


class StoreCompactedError(StoreError):
    """The store has dropped the history that was asked for."""


@frozen
class KeyValue:
    """A key with its value and the store's revisions of it.

    Parameters
    ----------
    key : str
    value : bytes
    create_revision, mod_revision : int
        Revision of the store at which the key was made, and last changed.
    lease : int
        Lease that the key hangs on; 0 for none.
    """

    key = field()
    value = field()
    create_revision = field(default=0)
    mod_revision = field(default=0)
    lease = field(default=0)


@frozen
class Condition:
    """A key's revision of last change must be `mod_revision`; 0 means absent."""

    key = field()
    mod_revision = field()


@frozen
class Operation:
    """Put `value` at `key`, or delete the key if `value` is None."""

    key = field()
    value = field(default=None)
    lease = field(default=0)


@frozen
class Transaction:
    """Operations that take effect together if all conditions hold.

    Parameters
    ----------
    conditions : tuple of Condition
    operations : tuple of Operation
    """

    conditions = field(converter=tuple)
    operations = field(converter=tuple)


@frozen
class TransactionResult:
    """Whether the conditions held, and the store's revision afterwards.

    Parameters
    ----------
    succeeded : bool
    revision : int
    current : tuple of KeyValue, optional
        Where a condition failed, the conditions' keys as they are; a store
        that doesn't tell leaves it empty.
    """

    succeeded = field()
    revision = field()
    current = field(default=(), converter=tuple)


@frozen
class Lease:
    """A granted lease.

    Parameters
    ----------
    lease_id : int
    seconds : float
        How long it lives after each renewal.
    valid_until : float
        Elapsed time, by this process's clock, up to which it certainly lives;
        counted from before the request for it was sent.
    """

    lease_id = field()
    seconds = field()
    valid_until = field()


@frozen
class WatchEvent:
    """A change under a watched prefix.

    Parameters
    ----------
    key : str
    value : bytes or None
        None if the key was deleted.
    mod_revision : int
    """

    key = field()
    value = field()
    mod_revision = field()


@frozen
class Snapshot:
    """The items under a prefix.

    Parameters
    ----------
    items : tuple of KeyValue
    revision : int
        Every change after this revision of the store has to be read from the
        history; some of them may be in `items` already.
    pages : int
        Number of calls that it was read with, each of which the store may have
        answered from another copy.
    """

    items = field(converter=tuple)
    revision = field()
    pages = field(default=1)


@frozen
class Changes:
    """What changed under a prefix, in order, up to `revision`."""

    events = field(converter=tuple)
    revision = field()


class ChangeFeed(ABC):
    """Reading a prefix whole, and what changes there afterwards."""

    @abstractmethod
    async def read_snapshot(self, prefix, start_after=""):
        """Return ``Success(Snapshot)``, read from the store's newest state.

        Parameters
        ----------
        prefix : str
        start_after : str, optional
            Key, with its prefix, after which the snapshot starts.
        """

    async def read_copy(self, prefix, start_after=""):
        """Return ``Success(Snapshot)``, read from a copy that may be seconds old.

        It costs the store less than a snapshot; whoever needs more than what it
        shows goes on with the changes that followed. The default reads the newest
        state.
        """
        return await self.read_snapshot(prefix, start_after)

    @abstractmethod
    async def read_changes(self, prefix, revision, wait_seconds):
        """Return ``Success(Changes)`` that followed `revision`.

        Returns as soon as there is a change, or without any after
        `wait_seconds`. A `StoreCompactedError` tells that the history is gone
        and a new snapshot is needed.
        """


class Store(ABC):
    """Get, transactions, leases and watches."""

    @abstractmethod
    async def get(self, key):
        """Return ``Success(KeyValue or None)``."""

    async def get_constant(self, key):
        """Return ``Success(KeyValue or None)`` of a key that is written only once.

        A copy that may be seconds old is asked first, which costs the store less;
        only what is missing there is looked for in the newest state. The default
        asks that at once.
        """
        return await self.get(key)

    @abstractmethod
    async def list_prefix(
        self, prefix, limit=0, start_after="", keys_only=False, min_mod_revision=0
    ):
        """Return ``Success(list of KeyValue)`` in order of keys.

        Parameters
        ----------
        prefix : str
        limit : int, optional
            Largest number returned; 0 for all.
        start_after : str, optional
            Key, with its prefix, after which the list starts.
        keys_only : bool, optional
            Leave the values empty.
        min_mod_revision : int, optional
            Only keys that changed at this revision of the store or later.
        """

    @abstractmethod
    async def transact(self, transaction):
        """Return ``Success(TransactionResult)``."""

    @abstractmethod
    async def grant_lease(self, seconds):
        """Return ``Success(Lease)``."""

    @abstractmethod
    async def renew_lease(self, lease):
        """Return ``Success(Lease)``, or a refusal if it has lapsed."""

    @abstractmethod
    async def revoke_lease(self, lease):
        """Return ``Success(None)``; keys that hang on the lease are deleted."""

    @abstractmethod
    def watch(self, prefix, start_revision=0):
        """Return an asynchronous iterator of `WatchEvent`.

        It raises `StoreError` when the watch breaks; the caller reads the
        prefix again and watches from the revision after that.
        """

    async def put(self, key, value, lease=0):
        """Put one key without conditions."""
        operation = Operation(key, value, lease)
        return await self.transact(Transaction((), (operation,)))

    async def delete(self, key):
        """Delete one key without conditions."""
        return await self.transact(Transaction((), (Operation(key),)))
