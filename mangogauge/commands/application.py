"""The application and its groups of commands."""

from cyclopts import App

from . import configuration, jobs, keys, load, report, roster, serve, standin, state
from .demo import demo
from .exits import EXIT_HELP
from .explain import explain

__all__ = ["app", "main"]

app = App(
    name="mangogauge",
    help="Serve online requests and batch jobs on one inference fleet.",
    help_epilogue=EXIT_HELP,
)
app.command(serve.serve)
app.command(configuration.app)
app.command(keys.app)
app.command(jobs.app)
app.command(state.hosts)
app.command(state.endpoints)
app.command(roster.app)
app.command(demo)
app.command(explain)
app.command(standin.app)
app.command(load.load)
app.command(report.app)


def main():
    """Run the command line."""
    app()
