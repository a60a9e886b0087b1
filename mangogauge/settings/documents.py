"""The configuration as it is recorded: base text and overlay texts."""

from pathlib import Path

import orjson
from attrs import field, frozen

__all__ = ["ConfigurationDocuments"]


@frozen
class ConfigurationDocuments:
    """Texts of the base file and of each data centre's overlay.

    Parameters
    ----------
    base : str
    overlays : dict of str to str
        Overlay text by data centre.
    """

    base = field()
    overlays = field(factory=dict)

    @classmethod
    def from_files(cls, base, overlays):
        """Read the files; an overlay's file is named after its data centre."""
        texts = {Path(path).stem: Path(path).read_text() for path in overlays}
        return cls(Path(base).read_text(), texts)

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        value = orjson.loads(data)
        return cls(value["base"], value["overlays"])

    def to_bytes(self):
        """Encode for the platform's store."""
        value = {"base": self.base, "overlays": self.overlays}
        return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
