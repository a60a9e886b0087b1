"""A host's copy of the configuration: only newer versions, whole or not at all."""

import curio
import zstandard
from returns.result import Failure, Success

from ..distribution.replica import Replica
from ..protocol import Method
from ..protocol.distribution_pb2 import ConfigurationReply, FetchRequest
from ..settings import SettingsError, read_fleet
from ..telemetry import get_logger
from .store import VersionedConfiguration

__all__ = ["ConfigurationReplica"]

FETCH_METHOD = "/mangogauge.Distribution/FetchConfiguration"
FETCH_TIMEOUT = 3.0

log = get_logger("configuration")


class ConfigurationReplica(Replica):
    """The configuration in force on a host.

    Parameters
    ----------
    configuration : ConfigurationStore
    data_centre : str
        Whose overlay applies.
    take_fleet : callable
        Called with the `FleetSettings` of each newer version.
    """

    name = "configuration"

    def __init__(self, configuration, data_centre, take_fleet):
        self._configuration = configuration
        self._data_centre = data_centre
        self._take_fleet = take_fleet
        self._version = 0
        self._packed = b""

    @property
    def position(self):
        """Version in force."""
        return self._version

    @property
    def loaded(self):
        """Whether any version is in force."""
        return self._version > 0

    async def read_platform(self, changed_at):
        """Read the recorded version."""
        if not changed_at:
            return Success(None)
        found = await self._configuration.read()
        if isinstance(found, Failure) or found.unwrap() is None:
            return found
        await self._take(found.unwrap().to_bytes())
        return Success(None)

    async def fetch(self, channel):
        """Read a peer's version."""
        request = FetchRequest(after=self._version)
        reply = await channel.call(
            FETCH_METHOD, request, ConfigurationReply, FETCH_TIMEOUT
        )
        if reply.version > self._version:
            await self._take(zstandard.decompress(reply.configuration))

    def protocol_methods(self):
        """Return the method by which peers fetch."""
        return [Method(FETCH_METHOD, FetchRequest, self._serve_fetch)]

    async def _serve_fetch(self, request, context):
        reply = ConfigurationReply(version=self._version)
        if request.after < self._version:
            reply.configuration = self._packed
        await context.send(reply)

    async def _take(self, data):
        current = VersionedConfiguration.from_bytes(data)
        if current.version <= self._version:
            return
        try:
            # In a thread: a large configuration takes long enough to read
            # that streams on this host would stutter meanwhile.
            fleet = await curio.run_in_thread(
                read_fleet, current.documents, self._data_centre, current.version
            )
        except SettingsError as error:
            log.error("configuration refused", extra={"reason": str(error)})
            return
        # Another task may have put a later version in force while this one
        # was being read.
        if current.version <= self._version:
            return
        self._version = current.version
        self._packed = zstandard.compress(data)
        self._take_fleet(fleet)
