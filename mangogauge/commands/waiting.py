"""Wait until all hosts have a change in force, and say what is true."""

import sys

from rich.console import Console
from rich.progress import Progress

from ..distribution import Confirmations, Roster
from .exits import ExitCode
from .output import print_error, print_json
from .platform import run_with_records

__all__ = ["wait_for_hosts"]


def wait_for_hosts(platform, secret, replica_name, position, seconds, answer):
    """Print `answer` with the hosts that have the change, and exit accordingly.

    Parameters
    ----------
    platform, secret : str
    replica_name : str
        ``"configuration"`` or ``"keys"``.
    position : int
        What hosts must have reached.
    seconds : float
        How long to wait.
    answer : dict
        What is printed besides.
    """
    console = Console(stderr=True)
    with Progress(console=console, disable=not console.is_terminal) as progress:
        bar = progress.add_task("hosts", total=None)

        def show(outcome):
            done, missing = len(outcome.confirmed), len(outcome.missing)
            progress.update(bar, completed=done, total=done + missing)

        outcome = run_with_records(
            platform, _wait, secret, replica_name, position, seconds, show
        )
    print_json(
        {
            **answer,
            "in_force_on": list(outcome.confirmed),
            "not_confirmed_by": list(outcome.missing),
            "in_force_everywhere": not outcome.missing,
            "seconds": round(outcome.seconds, 3),
        }
    )
    if outcome.missing:
        names = ", ".join(outcome.missing)
        print_error(f"In force except, perhaps, on: {names}.")
        sys.exit(ExitCode.PARTIAL)


async def _wait(records, clock, secret, replica_name, position, seconds, show):
    confirmations = Confirmations(Roster(records), secret, clock)
    return await confirmations.wait(replica_name, position, seconds, show)
