"""Run one host that serves a fleet as a process: its signals, its settings."""

import os

import curio

from ..settings.problems import SettingsError
from ..settings.serving import read_serving
from ..telemetry import get_logger
from .serving import ServingHost
from .signals import EndSignals, ReloadSignal

__all__ = ["run_host"]

log = get_logger("host")


def run_host(path, settings, backends):
    """Run one host until it is told to end.

    Parameters
    ----------
    path : str
        Where the settings were read, and are read again when they change.
    settings : ServingSettings
    backends : ServingBackends
    """
    log.info("starting", extra={"pid": os.getpid()})
    curio.run(_run, path, settings, backends)
    log.info("ended", extra={"pid": os.getpid()})


async def _run(path, settings, backends):
    host = ServingHost(settings, backends)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(host.run)
        await group.spawn(_drain_on_signal, EndSignals(), host)
        await group.spawn(_reload_on_signal, ReloadSignal(path), path, host)
    if group.exception is not None:
        raise group.exception


async def _drain_on_signal(signals, host):
    """Drain at the first signal, return at the second."""
    await signals.wait(1)
    await host.start_drain()
    await signals.wait(2)


async def _reload_on_signal(signals, path, host):
    """Take newer settings; keep those in force if the new ones are wrong."""
    while True:
        await signals.wait()
        try:
            host.take_settings(read_serving(path))
        except SettingsError as error:
            log.error("settings not reloaded", extra={"reason": str(error)})
