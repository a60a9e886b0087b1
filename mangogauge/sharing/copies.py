"""What hosts tell each other of their copies of the platform's store."""

from attrs import field, frozen

__all__ = ["CopyReport", "read_copies", "write_copies"]

MILLISECONDS = 1000


@frozen
class CopyReport:
    """A host's copy of a topic, and the read that last showed it to be whole.

    Parameters
    ----------
    digest : str
        Same for copies that mean the same.
    revision : int
        Of the store, up to which the copy is whole.
    reader : str
        Process that made the read.
    number : int
        Grows with each read of one process.
    age : float
        Seconds since that read, as far as the host that tells of it knows.
    """

    digest = field()
    revision = field()
    reader = field()
    number = field()
    age = field()


def read_copies(rows):
    """Return ``{topic: CopyReport}`` of what `write_copies` returned."""
    return {
        str(topic): CopyReport(
            str(digest),
            int(revision),
            str(reader),
            int(number),
            int(age) / MILLISECONDS,
        )
        for topic, digest, revision, reader, number, age in rows
    }


def write_copies(copies):
    """Return ``{topic: CopyReport}`` as rows that JSON can hold."""
    return [
        [
            topic,
            copy.digest,
            copy.revision,
            copy.reader,
            copy.number,
            round(copy.age * MILLISECONDS),
        ]
        for topic, copy in copies.items()
    ]
