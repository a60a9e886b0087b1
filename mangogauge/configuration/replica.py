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
    staging : Staging
    """

    name = "configuration"

    def __init__(self, configuration, data_centre, take_fleet, staging):
        self._configuration = configuration
        self._data_centre = data_centre
        self._take_fleet = take_fleet
        self._staging = staging
        self._staged = None
        self._in_force = 0
        self._version = 0
        self._packed = b""

    @property
    def position(self):
        """Newest version that this host has, in force or staged."""
        return self._version

    @property
    def in_force(self):
        """Version in force."""
        return self._in_force

    @property
    def loaded(self):
        """Whether any version is in force."""
        return self._in_force > 0

    def settle(self, peer_positions):
        """Put the staged version in force once a peer has it too."""
        staged = self._staged
        if staged is None:
            return False
        starting = not self._in_force
        if not self._staging.may_enter(staged, peer_positions, starting):
            return False
        self._staged = None
        self._in_force = staged.version
        self._take_fleet(staged.fleet)
        return True

    async def read_platform(self, changed_at):
        """Read the recorded version."""
        if not changed_at:
            return Success(None)
        found = await self._configuration.read()
        if isinstance(found, Failure) or found.unwrap() is None:
            return found
        await self._take(found.unwrap().to_bytes(), from_platform=True)
        return Success(None)

    async def fetch(self, channel):
        """Read a peer's version."""
        request = FetchRequest(after=self._version)
        reply = await channel.call(
            FETCH_METHOD, request, ConfigurationReply, FETCH_TIMEOUT
        )
        if reply.version > self._version:
            data = zstandard.decompress(reply.configuration)
            await self._take(data, from_platform=False)

    def protocol_methods(self):
        """Return the method by which peers fetch."""
        return [Method(FETCH_METHOD, FetchRequest, self._serve_fetch)]

    async def _serve_fetch(self, request, context):
        reply = ConfigurationReply(version=self._version)
        if request.after < self._version:
            reply.configuration = self._packed
        await context.send(reply)

    async def _take(self, data, from_platform):
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
        # Another task may have taken a later version while this was read.
        if current.version <= self._version:
            return
        self._version = current.version
        self._packed = zstandard.compress(data)
        self._staged = self._staging.stage(current.version, fleet, from_platform)
