"""Keep a host's long tasks running through errors that nobody foresaw."""

import curio

from .telemetry import get_logger

__all__ = ["keep_running"]

# Pause before a task that failed begins again.
PAUSE_SECONDS = 0.2

log = get_logger("supervision")


async def keep_running(name, run):
    """Run a task; begin it again after an unexpected error.

    One malformed message or one mistake must not end a process, and with it all
    that the process is doing for others.

    Parameters
    ----------
    name : str
        Of the task, for the log.
    run : async callable
        Its return ends the task.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            log.exception("task failed, begins again", extra={"task": name})
            await curio.sleep(PAUSE_SECONDS)
