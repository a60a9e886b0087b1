"""Reports of a host's copies of topics of the platform's store."""

from attrs import field, frozen

__all__ = ["CopyReport", "read_copies", "write_copies"]

MILLISECONDS = 1000


@frozen
class CopyReport:
    """A host's copy of a topic, and the read that last confirmed it.

    Parameters
    ----------
    digest : str
        Equal for copies with the same content.
    revision : int
        Revision of the store up to which the copy is complete.
    reader : str
        Process that made the read.
    number : int
        Number of the read; increases with each read of a process.
    age : float
        Seconds since that read, as estimated by the reporting host.
    """

    digest = field()
    revision = field()
    reader = field()
    number = field()
    age = field()


def read_copies(rows):
    """Decode the rows of `write_copies` to ``{topic: CopyReport}``."""
    return {
        str(topic): CopyReport(
            str(digest),
            int(revision),
            str(reader),
            int(number),
            _read_age(age),
        )
        for topic, digest, revision, reader, number, age in rows
    }


def _read_age(value):
    """Decode an age; a negative one would keep a copy fresh that isn't."""
    age = int(value)
    if age < 0:
        raise ValueError(f"{age} is not the age of a read")
    return age / MILLISECONDS


def write_copies(copies):
    """Encode ``{topic: CopyReport}`` as rows for JSON, ages in milliseconds."""
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
