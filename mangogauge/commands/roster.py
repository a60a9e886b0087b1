"""``mangogauge roster``: all hosts that may be serving."""

import sys

from cyclopts import App

from ..distribution import Roster
from .exits import ExitCode
from .options import PlatformOption
from .output import print_error, print_json
from .platform import run_with_records

__all__ = ["app"]

app = App(name="roster", help="List and forget hosts that may be serving.")


@app.command(name="list")
def list_hosts(*, platform: PlatformOption):
    """List the hosts that have entered and not left, one line of JSON each."""
    for entry in run_with_records(platform, _list):
        print_json(
            {
                "host": entry.name,
                "data_centre": entry.data_centre,
                "operator_address": entry.operator_address,
                "seen_at": entry.seen_at,
            }
        )


@app.command
def forget(host: str, *, platform: PlatformOption):
    """Drop a host of which you know that its process has ended.

    Parameters
    ----------
    host
        Name of the host.
    """
    known = run_with_records(platform, _list)
    entries = [entry for entry in known if entry.name == host]
    if not entries:
        print_error(f"There is no host {host!r} in the roster.")
        sys.exit(ExitCode.REFUSED)
    for entry in entries:
        run_with_records(platform, _leave, entry)
    print_json({"forgotten": host})


async def _list(records, clock):
    return await Roster(records).list_all()


async def _leave(records, clock, entry):
    return await Roster(records).leave(entry)
