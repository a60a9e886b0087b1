"""The configuration in the platform's store, one version after another."""

import orjson
from attrs import field, frozen
from returns.result import Failure, Success

from ..platform import Conflict
from ..settings import ConfigurationDocuments

__all__ = ["CURRENT_KEY", "ConfigurationStore", "VersionedConfiguration"]

CURRENT_KEY = "configuration/current"


@frozen
class VersionedConfiguration:
    """Documents with their version.

    Parameters
    ----------
    version : int
        Grows by one with each accepted change.
    documents : ConfigurationDocuments
    author : str
        Who applied it.
    applied_at : float
        Seconds since the Unix epoch.
    """

    version = field()
    documents = field()
    author = field(default="")
    applied_at = field(default=0.0)

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        value = orjson.loads(data)
        documents = ConfigurationDocuments(value["base"], value["overlays"])
        return cls(value["version"], documents, value["author"], value["applied_at"])

    def to_bytes(self):
        """Encode for the platform's store and for peers."""
        return orjson.dumps(
            {
                "version": self.version,
                "base": self.documents.base,
                "overlays": self.documents.overlays,
                "author": self.author,
                "applied_at": self.applied_at,
            }
        )


class ConfigurationStore:
    """Read and write the configuration.

    Parameters
    ----------
    records : RecordStore
    clock : Clock
    """

    def __init__(self, records, clock):
        self._records = records
        self._clock = clock

    async def read(self):
        """Return ``Success(VersionedConfiguration or None)``."""
        found = await self._records.read(CURRENT_KEY)
        return found.map(_decode)

    async def apply(self, documents, expected_version, author=""):
        """Record the next version.

        Parameters
        ----------
        documents : ConfigurationDocuments
            Must have been checked.
        expected_version : int
            Version that the operator started from; 0 for none.
        author : str, optional

        Returns
        -------
        returns.result.Result
            ``Success(VersionedConfiguration)`` if recorded, ``Success(Conflict)``
            with the configuration that another operator recorded first, or
            ``Failure(StoreError)``.
        """
        found = await self._records.read(CURRENT_KEY)
        if isinstance(found, Failure):
            return found
        previous = found.unwrap()
        current = _decode(previous)
        if (current.version if current else 0) != expected_version:
            return Success(Conflict(current))
        fresh = VersionedConfiguration(
            expected_version + 1, documents, author, self._clock.read_calendar()
        )
        written = await self._records.write(CURRENT_KEY, fresh.to_bytes(), previous)
        return written.map(lambda outcome: _judge(outcome, fresh))


def _decode(record):
    return VersionedConfiguration.from_bytes(record.payload) if record else None


def _judge(outcome, fresh):
    if isinstance(outcome, Conflict):
        return Conflict(_decode(outcome.current))
    return fresh
