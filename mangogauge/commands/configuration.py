"""``mangogauge config``: check and apply the configuration."""

import getpass
import sys
from pathlib import Path

from cyclopts import App

from ..configuration import ConfigurationStore
from ..platform import Conflict
from ..settings import ConfigurationDocuments, SettingsError, read_fleet
from .exits import ExitCode
from .output import print_error, print_json
from .platform import run_with_records

__all__ = ["app"]

app = App(name="config", help="Check, apply and show the configuration.")


@app.command
def check(base: Path, *overlays: Path):
    """Check the base file and overlays; print every mistake.

    Parameters
    ----------
    base
        The base file.
    overlays
        One file for each data centre, named after it.
    """
    _read_checked(base, overlays)
    print_json({"checked": True})


@app.command
def apply(base: Path, *overlays: Path, platform: str, expected_version: int = -1):
    """Check the files and record them as the next version.

    Parameters
    ----------
    base
        The base file.
    overlays
        One file for each data centre, named after it.
    platform
        Address of the platform's store.
    expected_version
        Version that the change was made from; the current one if not given.
    """
    documents = _read_checked(base, overlays)
    outcome = run_with_records(platform, _apply, documents, expected_version)
    if isinstance(outcome, Conflict):
        current = outcome.current.version if outcome.current else 0
        print_error(f"Another change was first: version {current} is current.")
        sys.exit(ExitCode.CONFLICT)
    print_json({"version": outcome.version})


async def _apply(records, clock, documents, expected_version):
    store = ConfigurationStore(records, clock)
    if expected_version < 0:
        current = (await store.read()).value_or(None)
        expected_version = current.version if current else 0
    return await store.apply(documents, expected_version, getpass.getuser())


def _read_checked(base, overlays):
    try:
        documents = ConfigurationDocuments.from_files(base, overlays)
        read_fleet(documents, "")
    except (SettingsError, OSError) as error:
        print_error(str(error))
        sys.exit(ExitCode.REFUSED)
    return documents
