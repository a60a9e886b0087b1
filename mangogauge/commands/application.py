"""The application and its groups of commands."""

from cyclopts import App

from . import configuration, keys, load, report, serve, standin

__all__ = ["app", "main"]

app = App(
    name="mangogauge",
    help="Serve online requests and batch jobs on one inference fleet.",
)
app.command(serve.serve)
app.command(configuration.app)
app.command(keys.app)
app.command(standin.app)
app.command(load.load)
app.command(report.app)


def main():
    """Run the command line."""
    app()
