"""Pack the bodies of a job's items into values that fit into the store."""

from attrs import field, frozen

from .records import JobItem

__all__ = ["PackedInput", "pack_input", "unpack_body"]


@frozen
class PackedInput:
    """Items of a job, and the parts that hold their bodies.

    Parameters
    ----------
    items : tuple of JobItem
        Each with the location of its body in the parts.
    parts : tuple of bytes
    """

    items = field(converter=tuple)
    parts = field(converter=tuple)


def pack_input(submission, part_bytes):
    """Return the `PackedInput` of a `Submission`.

    Parameters
    ----------
    submission : Submission
    part_bytes : int
        Largest size of a part in bytes, unless a single body is larger.
    """
    parts = [bytearray()]
    items = []
    for item in submission.items:
        if parts[-1] and len(parts[-1]) + len(item.body) > part_bytes:
            parts.append(bytearray())
        location = (len(parts) - 1, len(parts[-1]), len(item.body))
        parts[-1] += item.body
        items.append(
            JobItem(item.item_id, item.path, item.headers, item.tokens, *location)
        )
    return PackedInput(items, map(bytes, parts))


def unpack_body(item, parts):
    """Return the body of a `JobItem`.

    Parameters
    ----------
    item : JobItem
    parts : sequence of bytes
    """
    return parts[item.part][item.start : item.start + item.size]
