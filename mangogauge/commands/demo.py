"""``mangogauge demo``: a small fleet in one process, put through failures."""

import sys

import curio

from ..demo import DemoOptions, run_demo
from ..telemetry import configure_logs
from .exits import ExitCode
from .output import make_progress, print_error, print_json, print_rows
from .ports import AsJSON

__all__ = ["demo"]


def demo(*, items: int = 200, json: AsJSON = False, log_level: str = "CRITICAL"):
    """Run a small fleet in one process, make things fail, and verify it.

    Two data centres with two hosts each, engines and services: online
    streams, a batch job of which 3 items can never succeed, a key withdrawn
    under way, an endpoint killed, a host drained, a client account above its
    rate. Exits with 1 if anything did not hold.

    Parameters
    ----------
    items
        Items of the batch job.
    log_level
        DEBUG, INFO, WARNING, ERROR or CRITICAL, for the hosts' logs.
    """
    configure_logs(log_level)
    with make_progress() as progress:
        bar = progress.add_task("batch items", total=items)

        def show(done, total):
            progress.update(bar, completed=done, total=total)

        report = curio.run(run_demo, DemoOptions(items=items), show)
    if json:
        print_json(report.to_dict())
    else:
        _print_table(report)
    if not report.held:
        print_error("Not everything held.")
        sys.exit(ExitCode.FAILED)


def _print_table(report):
    rows = [
        {
            "what had to hold": check.name,
            "held": check.held,
            "what happened": check.seen,
        }
        for check in report.checks
    ]
    print_rows(rows, False, title=f"The demo took {report.seconds:.1f} s.")
