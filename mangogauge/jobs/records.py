"""Records of batch jobs, their items and their results, as stored."""

import enum

import orjson
from attrs import asdict, field, frozen
from attrs.validators import instance_of

from ..streams import StreamOrigin

__all__ = [
    "ItemProgress",
    "ItemResult",
    "ItemState",
    "JobItem",
    "JobManifest",
    "OpenJob",
    "ResultPieces",
    "Submission",
    "SubmittedItem",
]

# In place of an item's id in a group of progress, before the origins of all items.
ORIGINS_ROW_ID = ""


class ItemState(enum.Enum):
    """How an item ended."""

    DONE = "done"
    GIVEN_UP = "given up"


@frozen
class SubmittedItem:
    """One item as it was submitted.

    Parameters
    ----------
    item_id, path : str
    headers : tuple of (str, str)
        Header fields for the endpoint.
    body : bytes
    tokens : int
        Tokens of the prompt plus the maximum that may be generated.
    """

    item_id = field()
    path = field()
    headers = field(converter=tuple)
    body = field()
    tokens = field(default=0)


@frozen
class Submission:
    """A job as it was submitted.

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
        Number of the input's part that holds the body.
    start, size : int
        Offset and length of the body in that part, in bytes.
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
    """An accepted job; immutable once written.

    Parameters
    ----------
    job_id, account, route, host : str
    submitted_at, due_at, abandon_at : float
        Seconds since the Unix epoch: when the job arrived, when its results are
        due, and from when on its items may be given up.
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
    """Summary of an open job, which hosts read before they claim it.

    Parameters
    ----------
    job_id, account : str
    due_at : float
        Seconds since the Unix epoch.
    items : int
        Number of items.
    """

    job_id = field(validator=instance_of(str))
    account = field(validator=instance_of(str))
    due_at = field(validator=instance_of((int, float)))
    items = field(validator=instance_of(int))

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned.

        Raises
        ------
        ValueError
            If it is anything else.
        """
        try:
            return cls(**orjson.loads(data))
        except TypeError as error:
            # Not a map, other fields, or a field of another type.
            raise ValueError(str(error)) from error

    def to_bytes(self):
        """Encode for the store."""
        return orjson.dumps(asdict(self))


@frozen
class ResultPieces:
    """Where the pieces are of a result that is larger than a value of the store.

    Parameters
    ----------
    name : str
    count : int
    """

    name = field(validator=instance_of(str))
    count = field(validator=instance_of(int))


@frozen
class ItemResult:
    """The result of one item; immutable once written.

    Parameters
    ----------
    item_id : str
    state : ItemState
    text : str, optional
        Data of all events in order, separated by line feeds.
    pieces : ResultPieces, optional
        Where the text is if it isn't here: the pieces together are the group of this
        one result.
    """

    item_id = field()
    state = field(converter=ItemState)
    text = field(default="")
    pieces = field(default=None)

    @classmethod
    def decode_group(cls, data):
        """Decode what `encode_group` returned."""
        return [cls.from_row(*row) for row in orjson.loads(data)]

    @classmethod
    def from_row(cls, item_id, state, text, pieces=None):
        """Decode one row of a group."""
        return cls(item_id, state, text, pieces and ResultPieces(*pieces))

    @staticmethod
    def encode_group(results):
        """Encode results that are committed together."""
        return ItemResult.join_group([result.encode() for result in results])

    @staticmethod
    def join_group(rows):
        """Return the encoded group of results that are encoded one by one."""
        return b"[" + b",".join(rows) + b"]"

    def encode(self):
        """Encode the result as one row of a group.

        Notes
        -----
        Hosts of builds that know no pieces fail to read the row that names some,
        rather than take its text for empty.
        """
        row = [self.item_id, self.state.value, self.text]
        if self.pieces is not None:
            row.append([self.pieces.name, self.pieces.count])
        return orjson.dumps(row)


@frozen
class ItemProgress:
    """Events that an unfinished item has received.

    Parameters
    ----------
    item_id : str
    last_event : int
        Number of the last of these events.
    event_texts : tuple of str
        Data of the events, in order.
    origin : StreamOrigin or None
        What the endpoints have in common that may resume the item; None if unknown.
    """

    item_id = field()
    last_event = field()
    event_texts = field(converter=tuple)
    origin = field(default=None)

    @property
    def count(self):
        """Number of events."""
        return len(self.event_texts)

    def encode(self):
        """Encode the progress as one row of a group."""
        return orjson.dumps([self.item_id, self.last_event, self.event_texts])

    @staticmethod
    def decode_group(data):
        """Decode what `encode_group` returned."""
        rows = orjson.loads(data)
        origins = {}
        if rows and rows[-1][0] == ORIGINS_ROW_ID:
            origins = dict(rows.pop()[2])
        return [
            ItemProgress(*row, origin=_decode_origin(origins.get(row[0])))
            for row in rows
        ]

    @staticmethod
    def encode_group(progress):
        """Encode the progress of a job's items.

        Notes
        -----
        Origins are in a last row that looks like an item's, since older hosts read
        rows of three values and pass over items that they don't know.
        """
        rows = [[p.item_id, p.last_event, p.event_texts] for p in progress]
        origins = [
            [p.item_id, [p.origin.service, p.origin.software]]
            for p in progress
            if p.origin is not None
        ]
        return orjson.dumps([*rows, [ORIGINS_ROW_ID, 0, origins]])


def _decode_origin(pair):
    return None if pair is None else StreamOrigin(*pair)
