"""The configuration in the platform's store, one version after another."""

import uuid

import orjson
import zstandard
from attrs import field, frozen
from returns.result import Failure, Success

from ..distribution.replica import CHANGES_PREFIX
from ..settings import ConfigurationDocuments
from ..store import Conflict, Operation, encode_record

__all__ = ["ConfigurationStore", "VersionedConfiguration"]

CURRENT_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"
CHANGES_KEY = CHANGES_PREFIX + "configuration"
VERSIONS_KEPT = 100


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
    note : str
        What the change is for.
    """

    version = field()
    documents = field()
    author = field(default="")
    applied_at = field(default=0.0)
    note = field(default="")

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        value = orjson.loads(data)
        documents = ConfigurationDocuments(value.pop("base"), value.pop("overlays"))
        return cls(documents=documents, **value)

    def to_bytes(self):
        """Encode for the platform's store and for peers."""
        return orjson.dumps(
            {
                "version": self.version,
                "base": self.documents.base,
                "overlays": self.documents.overlays,
                "author": self.author,
                "applied_at": self.applied_at,
                "note": self.note,
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

    async def read_version(self, version):
        """Return ``Success(VersionedConfiguration or None)`` of an old version."""
        found = await self._records.read(_history_key(version))
        return found.map(_decode)

    async def list_history(self):
        """Return ``Success(list of VersionedConfiguration)``, oldest first."""
        found = await self._records.list_prefix(HISTORY_PREFIX)
        return found.map(lambda rows: [_decode(row) for row in rows])

    async def apply(self, documents, expected_version, author="", note=""):
        """Record the next version.

        Parameters
        ----------
        documents : ConfigurationDocuments
            Must have been checked.
        expected_version : int
            Version that the operator started from; 0 for none.
        author, note : str, optional

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
            expected_version + 1,
            documents,
            author,
            self._clock.read_calendar(),
            note,
        )
        payload = zstandard.compress(fresh.to_bytes())
        written = await self._records.write(
            CURRENT_KEY, payload, previous, extra=_make_extra(fresh.version, payload)
        )
        return written.map(lambda outcome: _judge(outcome, fresh))


def _make_extra(version, payload):
    history = encode_record(payload, uuid.uuid4().hex)
    operations = [
        Operation(CHANGES_KEY, str(version).encode()),
        Operation(_history_key(version), history),
    ]
    if version > VERSIONS_KEPT:
        operations.append(Operation(_history_key(version - VERSIONS_KEPT)))
    return operations


def _history_key(version):
    return f"{HISTORY_PREFIX}{version:010}"


def _decode(record):
    if record is None:
        return None
    return VersionedConfiguration.from_bytes(zstandard.decompress(record.payload))


def _judge(outcome, fresh):
    if isinstance(outcome, Conflict):
        return Conflict(_decode(outcome.current))
    return fresh
