"""``mangogauge report``: how fast service level budgets burn."""

import sys
import time
from pathlib import Path

import curio
import orjson
from cyclopts import App
from rich.console import Console

from ..clock import SystemClock
from ..http import ClientPool, Headers, HTTPError
from ..report import (
    append_snapshots,
    compute_burns,
    list_missing,
    make_rules,
    parse_metrics,
    read_snapshots,
)
from ..report.render import make_page, make_table, make_value
from ..settings import ConfigurationDocuments, SettingsError, read_fleet
from ..settings.reference import make_reference
from .exits import ExitCode
from .output import print_error, print_json

__all__ = ["app"]

app = App(name="report", help="Report on service levels.")

SCRAPE_SECONDS = 5.0


@app.command
def scrape(
    *operators: str,
    secret_file: Path,
    output: Path,
    every: float = 60.0,
    count: int = 1,
):
    """Append the metrics of hosts to a file.

    Parameters
    ----------
    operators
        Hosts' operator ports, each NAME=host:port.
    secret_file
        File that holds the operators' secret.
    output
        File of JSON lines.
    every
        Seconds between rounds.
    count
        Number of rounds; 0 to go on until ended.
    """
    secret = secret_file.read_text().strip()
    missed = curio.run(_scrape, operators, secret, output, every, count)
    print_json({"missed": missed})
    if missed and count:
        sys.exit(ExitCode.UNAVAILABLE)


@app.command
def burn(
    snapshots: list[Path],
    *,
    base: Path,
    now: float | None = None,
    json: bool = False,
    page: Path | None = None,
):
    """Show burn rates and budgets left; exit with 8 if an alert fires.

    Parameters
    ----------
    snapshots
        Files that `report scrape` wrote.
    base
        Base file with [objective NAME] sections.
    now
        End of the windows in seconds since the Unix epoch; the last
        snapshot's time if not given.
    json
        Print JSON in place of the table.
    page
        HTML file to write.
    """
    objectives = _read_objectives(base)
    read = read_snapshots(snapshots)
    if now is None:
        now = read[-1].at if read else time.time()
    burns = compute_burns(objectives, read, now)
    missing = list_missing(read, now)
    if page is not None:
        text = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(now))
        page.write_text(make_page(burns, missing, text))
    if json:
        print_json(make_value(burns, missing, now))
    else:
        _print_table(burns, missing)
    if any(burn.fires for burn in burns):
        sys.exit(ExitCode.ALERT)


@app.command
def rules(base: Path):
    """Print alerting rules for Prometheus.

    Parameters
    ----------
    base
        Base file with [objective NAME] sections.
    """
    value = make_rules(_read_objectives(base))
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


@app.command
def settings():
    """Print the reference of all settings as Markdown."""
    print(make_reference(), end="")


def _print_table(burns, missing):
    console = Console()
    console.print(make_table(burns))
    for host, age in missing.items():
        console.print(f"{host}: no snapshot for {age:.0f} s")


def _read_objectives(base):
    try:
        documents = ConfigurationDocuments.from_files(base, ())
        return list(read_fleet(documents, "").objectives.values())
    except (SettingsError, OSError) as error:
        print_error(str(error))
        sys.exit(ExitCode.USAGE)


async def _scrape(operators, secret, output, every, count):
    pool = ClientPool()
    clock = SystemClock()
    missed = set()
    done = 0
    while True:
        missed |= await _scrape_once(pool, clock, operators, secret, output)
        done += 1
        if done == count:
            await pool.close()
            return sorted(missed)
        await curio.sleep(every)


async def _scrape_once(pool, clock, operators, secret, output):
    missed = set()
    for operator in operators:
        name, _, address = operator.partition("=")
        headers = Headers([("Authorization", f"Bearer {secret}")])
        try:
            async with curio.timeout_after(SCRAPE_SECONDS):
                response = await pool.request(address, "GET", "/metrics", headers)
                text = (await response.read()).decode()
        except (HTTPError, curio.TaskTimeout) as error:
            print_error(f"{name}: {error}")
            missed.add(name)
            continue
        append_snapshots(output, [parse_metrics(text, clock.read_calendar(), name)])
    return missed
