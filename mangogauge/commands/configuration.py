"""``mangogauge config``: check, apply, compare and go back."""

import getpass
import sys
from pathlib import Path

from cyclopts import App
from returns.result import Failure

from ..configuration import ConfigurationStore, describe_difference
from ..settings import ConfigurationDocuments, SettingsError, read_fleet
from ..store import Conflict
from .exits import ExitCode
from .options import PlatformOption, SecretFileOption, read_secret
from .output import print_error, print_json
from .platform import run_with_records
from .waiting import wait_for_hosts

__all__ = ["app"]

REPLICA = "configuration"
DEFAULT_WAIT_SECONDS = 30.0

app = App(name="config", help="Check, apply, compare and go back.")


@app.command
def check(base: Path, *overlays: Path):
    """Check the base file and overlays; print every mistake.

    Exits with 0 if there are none, with 3 otherwise.

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
def apply(
    base: Path,
    *overlays: Path,
    platform: PlatformOption,
    expected_version: int = -1,
    note: str = "",
    wait: bool = False,
    seconds: float = DEFAULT_WAIT_SECONDS,
    secret_file: SecretFileOption = None,
):
    """Check the files and record them as the next version.

    Exits with 0 if recorded (and, with --wait, in force everywhere), 3 if the
    files have mistakes, 4 if another change was first, 5 if the platform is
    away, 6 if it is not known whether the change was recorded, 7 if it was
    but some hosts have not confirmed it.

    Parameters
    ----------
    base
        The base file.
    overlays
        One file for each data centre, named after it.
    expected_version
        Version that the change was made from; the current one if not given.
    note
        What the change is for.
    wait
        Wait until every host has it in force.
    seconds
        How long to wait.
    """
    documents = _read_checked(base, overlays)
    outcome = run_with_records(platform, _apply, documents, expected_version, note)
    _finish(outcome, documents, platform, wait, seconds, secret_file)


@app.command
def rollback(
    version: int,
    *,
    platform: PlatformOption,
    wait: bool = False,
    seconds: float = DEFAULT_WAIT_SECONDS,
    secret_file: SecretFileOption = None,
):
    """Record an old version's files again, as a new version.

    Parameters
    ----------
    version
        Version whose files are taken.
    wait
        Wait until every host has it in force.
    seconds
        How long to wait.
    """
    old = _read_version(platform, version)
    outcome = run_with_records(
        platform, _apply, old.documents, -1, f"rollback to {version}"
    )
    _finish(outcome, old.documents, platform, wait, seconds, secret_file)


@app.command
def show(version: int = 0, *, platform: PlatformOption, json: bool = False):
    """Show the current version, or an old one.

    Parameters
    ----------
    version
        Version to show; 0 for the current one.
    json
        Print one line of JSON with all files.
    """
    found = _read_version(platform, version)
    if json:
        overlays = found.documents.overlays
        value = {"base": found.documents.base, "overlays": overlays}
        print_json({"version": found.version, **value})
        return
    print(f"; version {found.version}\n; base.ini\n{found.documents.base}")
    for name, text in sorted(found.documents.overlays.items()):
        print(f"; {name}.ini\n{text}")


@app.command
def diff(base: Path, *overlays: Path, platform: PlatformOption):
    """Show what `apply` would change.

    Parameters
    ----------
    base
        The base file.
    overlays
        One file for each data centre, named after it.
    """
    documents = _read_checked(base, overlays)
    current = run_with_records(platform, _read, 0)
    old = current.documents if current else ConfigurationDocuments("")
    print(describe_difference(old, documents))


@app.command
def history(*, platform: PlatformOption):
    """List the versions that are kept, one line of JSON each."""
    for found in run_with_records(platform, _list_history):
        print_json(
            {
                "version": found.version,
                "author": found.author,
                "applied_at": found.applied_at,
                "note": found.note,
            }
        )


async def _apply(records, clock, documents, expected_version, note):
    store = ConfigurationStore(records, clock)
    if expected_version < 0:
        found = await store.read()
        if isinstance(found, Failure):
            return found
        current = found.unwrap()
        expected_version = current.version if current else 0
    return await store.apply(documents, expected_version, getpass.getuser(), note)


async def _read(records, clock, version):
    store = ConfigurationStore(records, clock)
    return await (store.read_version(version) if version else store.read())


async def _list_history(records, clock):
    return await ConfigurationStore(records, clock).list_history()


def _read_version(platform, version):
    found = run_with_records(platform, _read, version)
    if found is None:
        print_error("There is no such version.")
        sys.exit(ExitCode.REFUSED)
    return found


def _finish(outcome, documents, platform, wait, seconds, secret_file):
    if isinstance(outcome, Conflict):
        _report_conflict(outcome.current, documents)
    answer = {"version": outcome.version}
    if not wait:
        print_json(answer)
        return
    secret = read_secret(secret_file)
    wait_for_hosts(platform, secret, REPLICA, outcome.version, seconds, answer)


def _report_conflict(current, documents):
    version = current.version if current else 0
    author = current.author if current else ""
    print_error(f"Another change was first: version {version} by {author}.")
    if current is not None:
        print_error(describe_difference(current.documents, documents))
    sys.exit(ExitCode.CONFLICT)


def _read_checked(base, overlays):
    try:
        documents = ConfigurationDocuments.from_files(base, overlays)
        read_fleet(documents, "")
    except (SettingsError, OSError) as error:
        print_error(str(error))
        sys.exit(ExitCode.REFUSED)
    return documents
