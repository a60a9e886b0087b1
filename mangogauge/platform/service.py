"""Run one host of the fleet on the platform."""

import os
import sys

from ..daemon.backends import ServingBackends
from ..daemon.running import run_host
from ..settings.problems import SettingsError
from ..settings.serving import read_serving
from ..store import DetourTransport, StoreLimits
from ..telemetry import BoundedStreamHandler, ServingMetrics, configure_logs
from .callers import PlatformCallers
from .endpoints import PlatformEndpoints
from .jobs import PlatformJobs
from .source import PlatformSource
from .store import TRANSACTION_ENTRIES, PlatformStore

__all__ = ["main"]

SETTINGS_VARIABLE = "MANGOGAUGE_SETTINGS"
USAGE_EXIT = 2
# How long the store may take to accept a connection.
CONNECT_SECONDS = 1.0


def main():
    """Read the settings that the platform has written, and serve.

    Returns
    -------
    int
        The process's exit status.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(f"{SETTINGS_VARIABLE} is not set.", file=sys.stderr)
        return USAGE_EXIT
    try:
        settings = read_serving(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return USAGE_EXIT
    metrics = ServingMetrics()
    handler = BoundedStreamHandler(sys.stdout.fileno(), metrics.lines_dropped.inc)
    configure_logs(
        handler=handler, host=settings.name, data_centre=settings.data_centre
    )
    run_host(path, settings, _make_backends(settings, metrics))
    return 0


def _make_backends(settings, metrics):
    transport = DetourTransport(settings.store.address, CONNECT_SECONDS)
    limits = StoreLimits(settings.store.value_bytes, TRANSACTION_ENTRIES)
    store = PlatformStore(transport, on_call=metrics.note_store_call, limits=limits)
    return ServingBackends(
        transport=transport,
        store=store,
        limits=limits,
        feed=store,
        source=PlatformSource(),
        callers=PlatformCallers(),
        endpoints=PlatformEndpoints(),
        jobs=PlatformJobs(),
        metrics=metrics,
    )
