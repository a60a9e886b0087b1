"""``mangogauge serve``: run one host."""

import sys
from pathlib import Path

import curio

from ..daemon.host import Host
from ..daemon.signals import EndSignals
from ..settings import SettingsError, read_host
from ..telemetry import configure_logs
from .exits import ExitCode
from .output import print_error, print_json

__all__ = ["serve"]


def serve(host: Path, *, log_level: str = "INFO"):
    """Run one host until it is told to end.

    Parameters
    ----------
    host
        The host's INI file.
    log_level
        DEBUG, INFO, WARNING or ERROR.
    """
    try:
        settings = read_host(host)
        secret = Path(settings.peers.secret_file).read_text().strip()
    except (SettingsError, OSError) as error:
        print_error(str(error))
        sys.exit(ExitCode.USAGE)
    configure_logs(log_level, host=settings.name, data_centre=settings.data_centre)
    curio.run(_run, settings, secret)


async def _run(settings, secret):
    host = Host(settings, secret)
    host.bind()
    print_json(
        {
            "callers_port": host.callers.port,
            "peer_port": host.protocol.port,
            "operator_port": host.operators.server.port,
        }
    )
    signals = EndSignals()
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(host.run)
        await group.spawn(_drain_on_signal, signals, host)
    if group.exception is not None:
        raise group.exception


async def _drain_on_signal(signals, host):
    """Drain at the first signal, return at the second."""
    await signals.wait(1)
    await host.start_drain()
    await signals.wait(2)
