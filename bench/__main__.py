"""``python -m bench SCENARIO``: run one experiment and write its record."""

from pathlib import Path

from cyclopts import App

from .records import collect_rows, write_record
from .scenarios import SCENARIOS

OUTPUT = Path("output/bench")

app = App(name="bench", help="Run an experiment.")


@app.default
def run(
    scenario: str,
    *,
    seed: int = 1,
    seconds: float = 8.0,
    rounds: int = 2,
    output: Path = OUTPUT,
    only: str = "",
):
    """Run one experiment on each deployment it is for.

    Parameters
    ----------
    scenario
        Name of the experiment.
    seed
        Seed of arrivals and faults.
    seconds
        Length of each load.
    rounds
        How many times each variant runs, interleaved with the others.
    output
        Folder of the JSON record, the table and the plot.
    only
        For `control`: leave out points whose name does not begin so.
    """
    if scenario not in SCENARIOS:
        raise SystemExit(f"no such scenario; one of: {', '.join(SCENARIOS)}")
    experiment = SCENARIOS[scenario]()
    experiment.only = only
    rows = collect_rows(output / scenario, experiment.run(seed, seconds, rounds))
    write_record(output / scenario, experiment, rows, seed, seconds, rounds)


if __name__ == "__main__":
    app()
