"""Brings newer versions of the configuration to a host."""

import curio
from returns.result import Failure

from ..daemon.parts import HostPart
from ..settings import SettingsError, read_fleet
from ..telemetry import get_logger

__all__ = ["ConfigurationWatcher"]

REFRESH_SECONDS = 1.0

log = get_logger("configuration")


class ConfigurationWatcher(HostPart):
    """Reads the configuration and puts newer versions in force.

    Parameters
    ----------
    host : Host
    configuration : ConfigurationStore
    """

    def __init__(self, host, configuration):
        self._host = host
        self._configuration = configuration

    async def run(self):
        """Refresh until cancelled."""
        while True:
            found = await self._configuration.read()
            if not isinstance(found, Failure):
                self._take(found.unwrap())
            await curio.sleep(REFRESH_SECONDS)

    def _take(self, current):
        fleet = self._host.fleet
        if current is None or (fleet and current.version <= fleet.version):
            return
        try:
            fleet = read_fleet(
                current.documents, self._host.settings.data_centre, current.version
            )
        except SettingsError as error:
            log.error("configuration refused", extra={"reason": str(error)})
            return
        self._host.take_fleet(fleet)
