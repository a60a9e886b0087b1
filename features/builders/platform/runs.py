"""What endpoints wrote down of the requests that they ran, and what it shows."""

import itertools
from pathlib import Path

import orjson
from attrs import define, field

# A request that went on elsewhere may be worked on so long at the endpoint before.
OVERLAP_SECONDS = 0.4
# Statuses that promise that a request has not run and won't.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})


@define(eq=False)
class Run:
    """One run of a request at one endpoint; times in seconds of the machine's clock.

    Attributes
    ----------
    patience : float
        Seconds left to the caller, as the request said when it was sent.
    ended_at : float
        Infinity while it goes on.
    """

    request_id = field()
    path = field()
    endpoint = field()
    patience = field()
    begun_at = field()
    ended_at = field(default=float("inf"))
    events = field(factory=list)


class RunRecord:
    """The runs of all endpoints of a deployment.

    Parameters
    ----------
    journals : iterable of path
    """

    def __init__(self, journals):
        self.runs = []
        for journal in journals:
            self._read(Path(journal))

    def _read(self, journal):
        patience, open_runs = {}, {}
        for line in journal.read_bytes().splitlines():
            row = orjson.loads(line)
            key, at = row["run"], row["at"]
            if row["what"] == "read":
                patience[key] = row["patience"]
            elif row["what"] == "begun":
                run = Run(
                    row["request_id"], row["path"], row["endpoint"], patience[key], at
                )
                open_runs[key] = run
                self.runs.append(run)
            elif row["what"] == "event":
                open_runs[key].events.append((row["number"], at))
            elif row["what"] == "ended" and key in open_runs:
                open_runs.pop(key).ended_at = at

    @property
    def are_ended(self):
        return all(run.ended_at < float("inf") for run in self.runs)

    def list_runs(self, request_id):
        """Return the runs of a request in the order in which it was sent."""
        runs = [run for run in self.runs if run.request_id == request_id]
        return sorted(runs, key=lambda run: run.patience, reverse=True)

    def list_repeated(self, prefix):
        """Return the ids of requests below a path that ran more than once."""
        ids = sorted(run.request_id for run in self.runs if run.path.startswith(prefix))
        return [key for key, group in itertools.groupby(ids) if len(list(group)) > 1]

    def list_broken_promises(self, answers, prefix):
        """Return the ids of requests that ran though their answers say they won't.

        Parameters
        ----------
        answers : dict
            `PlatformAnswer` by request id.
        prefix : str
            Path below which a request must not run again.
        """
        ran = {run.request_id for run in self.runs if run.path.startswith(prefix)}
        return sorted(
            key
            for key, answer in answers.items()
            if answer.status in PROMISING_STATUSES and key in ran
        )

    def list_overlaps(self):
        """Return pairs of runs: one went on, the one before was still worked on."""
        overlaps = []
        for key in sorted({run.request_id for run in self.runs}):
            for before, after in itertools.pairwise(self.list_runs(key)):
                if before.ended_at > after.begun_at + OVERLAP_SECONDS:
                    overlaps.append((before, after))
        return overlaps
