"""Take a file out of a multipart body as it arrives."""

from python_multipart.multipart import MultipartParser, parse_options_header

from ..refusals import Refusal, RefusalCode

__all__ = ["MultipartUpload"]

NAME_LIMIT = 255
DEFAULT_NAME = "input.jsonl"
FIELD_LIMIT_BYTES = 4096


class MultipartUpload:
    """The parts of an upload: a file, its name, and its purpose.

    Parameters
    ----------
    content_type : str

    Attributes
    ----------
    name, purpose : str
        Known once the body has been read.
    whole : bool
        Whether the body ended as it should.
    """

    def __init__(self, content_type):
        kind, options = parse_options_header(content_type)
        boundary = options.get(b"boundary")
        if kind != b"multipart/form-data" or not boundary:
            raise Refusal(
                RefusalCode.MALFORMED, "The body must be multipart/form-data."
            )
        self.name = DEFAULT_NAME
        self.whole = False
        self._has_file = False
        self._pieces = []
        self._header = bytearray()
        self._header_name = bytearray()
        self._part = ""
        self._fields = {}
        callbacks = {
            "on_part_begin": self._begin_part,
            "on_header_field": self._take_header_name,
            "on_header_value": self._take_header_value,
            "on_header_end": self._end_header,
            "on_part_data": self._take_data,
            "on_end": self._end,
        }
        self._parser = MultipartParser(boundary, callbacks)

    @property
    def purpose(self):
        """What the file is for."""
        return bytes(self._fields.get("purpose", b"batch")).decode("utf-8", "replace")

    async def iterate(self, exchange):
        """Yield the file's bytes."""
        async for piece in exchange.iterate_body():
            self._parser.write(piece)
            pieces, self._pieces = self._pieces, []
            for data in pieces:
                yield data
        if not self.whole or not self._has_file:
            raise Refusal(RefusalCode.MALFORMED, "The body must have a whole file.")

    def _begin_part(self):
        self._part = ""

    def _take_header_name(self, data, start, end):
        self._header_name += data[start:end]

    def _take_header_value(self, data, start, end):
        self._header += data[start:end]

    def _end_header(self):
        name, value = bytes(self._header_name).lower(), bytes(self._header)
        self._header_name, self._header = bytearray(), bytearray()
        if name != b"content-disposition":
            return
        _, options = parse_options_header(value)
        self._part = options.get(b"name", b"").decode("utf-8", "replace")
        if self._part == "file":
            self._has_file = True
            given = options.get(b"filename", b"").decode("utf-8", "replace")
            self.name = given[:NAME_LIMIT] or DEFAULT_NAME

    def _take_data(self, data, start, end):
        if self._part == "file":
            self._pieces.append(data[start:end])
            return
        kept = self._fields.setdefault(self._part, bytearray())
        kept += data[start:end]
        if len(kept) > FIELD_LIMIT_BYTES:
            raise Refusal(RefusalCode.TOO_LARGE, "A field of the form is too large.")

    def _end(self):
        self.whole = True
