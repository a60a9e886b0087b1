"""Pack many lines into one compressed, checksummed value and back."""

import zstandard
from attrs import field, frozen

__all__ = ["LinePacker", "LineTooLongError", "PackedLines", "pack", "unpack"]

PACKED_LIMIT_BYTES = 900_000
RAW_LIMIT_BYTES = 2_000_000
NEWLINE = b"\n"


class LineTooLongError(Exception):
    """One line alone is larger than a value may be."""


@frozen
class PackedLines:
    """A value that holds whole lines.

    Parameters
    ----------
    count : int
    data : bytes
    """

    count = field()
    data = field()


class LinePacker:
    """Cut a stream of bytes at line ends and pack it.

    Parameters
    ----------
    count_limit : int
        Largest number of lines in one value.

    Notes
    -----
    It keeps one value's lines and the unfinished last line, whatever the
    length of the stream.
    """

    def __init__(self, count_limit):
        self._count_limit = count_limit
        self._tail = b""
        self._lines = []
        self._bytes = 0

    def feed(self, data):
        """Take bytes in; yield a `PackedLines` each time one is full."""
        *lines, self._tail = (self._tail + data).split(NEWLINE)
        if len(self._tail) > 2 * RAW_LIMIT_BYTES:
            raise LineTooLongError
        for line in lines:
            yield from self._take_line(line)

    def finish(self):
        """Yield what is left."""
        yield from self._take_line(self._tail)
        yield from self._flush()

    def _take_line(self, line):
        if not line.strip():
            return
        self._lines.append(line)
        self._bytes += len(line)
        if len(self._lines) >= self._count_limit or self._bytes >= RAW_LIMIT_BYTES:
            yield from self._flush()

    def _flush(self):
        lines, self._lines, self._bytes = self._lines, [], 0
        if lines:
            yield from _pack_within_limit(lines)


def pack(lines):
    """Return lines as one compressed value with a checksum."""
    compressor = zstandard.ZstdCompressor(level=3, write_checksum=True)
    return compressor.compress(NEWLINE.join(lines))


def unpack(data):
    """Return the lines that `pack` was given.

    Raises
    ------
    zstandard.ZstdError
        If the checksum does not match.
    """
    return zstandard.ZstdDecompressor().decompress(data).split(NEWLINE)


def _pack_within_limit(lines):
    data = pack(lines)
    if len(data) <= PACKED_LIMIT_BYTES:
        yield PackedLines(len(lines), data)
        return
    if len(lines) == 1:
        raise LineTooLongError
    middle = len(lines) // 2
    yield from _pack_within_limit(lines[:middle])
    yield from _pack_within_limit(lines[middle:])
