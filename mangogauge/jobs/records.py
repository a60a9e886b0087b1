"""Batch jobs, their items and their results."""

import enum

import orjson
from attrs import asdict, field, frozen

__all__ = [
    "ItemResult",
    "ItemState",
    "JobItem",
    "JobManifest",
    "OpenJob",
    "Submission",
    "SubmittedItem",
]


class ItemState(enum.Enum):
    """How an item ended."""

    DONE = "done"
    GIVEN_UP = "given up"


@frozen
class SubmittedItem:
    """One item as it was handed in.

    Parameters
    ----------
    item_id, path : str
    headers : tuple of (str, str)
        Header fields for the endpoint.
    body : bytes
    tokens : int
        Tokens of the prompt, and the most that may be generated.
    """

    item_id = field()
    path = field()
    headers = field(converter=tuple)
    body = field()
    tokens = field(default=0)


@frozen
class Submission:
    """A job as it was handed in.

    Parameters
    ----------
    job_id, host : str
    items : tuple of SubmittedItem
    """

    job_id = field()
    host = field()
    items = field(converter=tuple)

    @property
    def tokens(self):
        """Tokens of all items."""
        return sum(item.tokens for item in self.items)


@frozen
class JobItem:
    """One item of an accepted job.

    Parameters
    ----------
    item_id, path : str
    headers : tuple of (str, str)
    tokens : int
    part : int
        Part of the input that holds its body.
    start, size : int
        Where in that part, in bytes.
    """

    item_id = field()
    path = field()
    headers = field(converter=lambda pairs: tuple(map(tuple, pairs)))
    tokens = field()
    part = field()
    start = field()
    size = field()


@frozen
class JobManifest:
    """What was accepted; it never changes.

    Parameters
    ----------
    job_id, account, route, host : str
    submitted_at, due_at, abandon_at : float
        Seconds since the Unix epoch: arrival, when results are due, and when
        items may be given up.
    items : tuple of JobItem
    parts : int
        Number of parts of the input.
    """

    job_id = field()
    account = field()
    route = field()
    host = field()
    submitted_at = field()
    due_at = field()
    abandon_at = field()
    items = field(converter=tuple)
    parts = field(default=1)

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        value = orjson.loads(data)
        items = [JobItem(**item) for item in value.pop("items")]
        return cls(items=items, **value)

    def to_bytes(self):
        """Encode for the store."""
        return orjson.dumps(asdict(self))

    @property
    def tokens(self):
        """Tokens of all items."""
        return sum(item.tokens for item in self.items)


@frozen
class OpenJob:
    """What hosts that run items know of an open job before they claim it.

    Parameters
    ----------
    job_id, account : str
    due_at : float
        Seconds since the Unix epoch.
    items : int
    """

    job_id = field()
    account = field()
    due_at = field()
    items = field()

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        return cls(**orjson.loads(data))

    def to_bytes(self):
        """Encode for the store."""
        return orjson.dumps(asdict(self))


@frozen
class ItemResult:
    """The result of one item; it never changes.

    Parameters
    ----------
    item_id : str
    state : ItemState
    text : str
        Data of all events in order, separated by line feeds.
    """

    item_id = field()
    state = field(converter=ItemState)
    text = field(default="")

    @staticmethod
    def decode_group(data):
        """Decode what `encode_group` returned."""
        return [ItemResult(*row) for row in orjson.loads(data)]

    @staticmethod
    def encode_group(results):
        """Encode results that are committed together."""
        return orjson.dumps([[r.item_id, r.state.value, r.text] for r in results])
