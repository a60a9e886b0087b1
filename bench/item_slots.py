"""Where the slot time of batch items went, from the logs of a day.

Usage: ``python -m bench.item_slots LOG --due SECONDS``. LOG holds the hosts' log lines
as the users' bench prints them: the simulated time, the host's name and the line's
JSON. Items are grouped by how they ended. Time counts as lost if a later run of the
item began from its first event, since the events of the runs before were lost with
their host. A run that its host's end cut off counts until the host starts again.
"""

import argparse
from collections import defaultdict

import orjson
from attrs import define, field

__all__ = ["ItemHistory", "read_histories", "sum_up"]

STARTED = "item started"
ENDS = frozenset({"item gives way", "item broke off", "item ended"})
# Lines after which no item runs at their host, or none of their job.
INTERRUPTIONS = frozenset({"starting", "job closed"})
FATES = ("in time", "late", "never ended", "ended by its caller")


@define
class ItemHistory:
    """One item's runs.

    Attributes
    ----------
    job : str
    runs : list of (float, float, bool)
        Start and end in seconds, and whether the run began from the first event.
    ended_at : float or None
    """

    job = field()
    runs = field(factory=list)
    ended_at = field(default=None)
    _started = field(default=None)

    def add(self, at, host, line):
        """Add a host's log line at a time in seconds."""
        if line["message"] == STARTED:
            self._started = (at, host, line["last_event"] is None)
            return
        self.cut(at, host)
        if line["message"] == "item ended" and line["state"] == "done":
            self.ended_at = at

    def cut(self, at, host):
        """End the run under way at a host, if there is one."""
        if self._started is not None and self._started[1] == host:
            began_at, _, from_start = self._started
            self.runs.append((began_at, at, from_start))
            self._started = None

    def measure(self):
        """Return the seconds in slots, and how many of them were lost."""
        seconds = [end - begin for begin, end, _ in self.runs]
        starts = [n for n, (_, _, from_start) in enumerate(self.runs) if from_start]
        lost = sum(seconds[: starts[-1]]) if starts else 0.0
        return sum(seconds), lost


def read_histories(lines):
    """Return ``{item: ItemHistory}``, ``{job: acceptance}`` and the ended jobs.

    Parameters
    ----------
    lines : iterable of str
        Lines that are no log lines are skipped.
    """
    items, accepted, ended = {}, {}, set()
    for text in lines:
        at, host, line = _parse(text)
        message = line.get("message")
        if message == "job accepted":
            accepted.setdefault(line["job"], at)
        elif message == "job ended by its caller":
            ended.add(line["job"])
        elif message in INTERRUPTIONS:
            for history in items.values():
                if line.get("job") in (None, history.job):
                    history.cut(at, host)
        elif message == STARTED:
            history = items.setdefault(line["request_id"], ItemHistory(line["job"]))
            history.add(at, host, line)
        elif message in ENDS and line["request_id"] in items:
            items[line["request_id"]].add(at, host, line)
    return items, accepted, ended


def sum_up(items, accepted, ended, due_seconds):
    """Return ``{fate: (items, slot seconds, seconds lost with a host)}``.

    Parameters
    ----------
    items, accepted, ended
        As returned by `read_histories`.
    due_seconds : float
        Seconds from a job's acceptance until its items are due.
    """
    table = defaultdict(lambda: [0, 0.0, 0.0])
    for history in items.values():
        due_at = accepted.get(history.job, 0.0) + due_seconds
        row = table[_find_fate(history, ended, due_at)]
        seconds, lost = history.measure()
        row[0] += 1
        row[1] += seconds
        row[2] += lost
    return {fate: tuple(table[fate]) for fate in FATES if fate in table}


def _parse(text):
    """Return the time, host and fields of a log line; no fields if it isn't one.

    The last line of a host that is killed may be cut.
    """
    parts = text.split(None, 2)
    try:
        return float(parts[0]), parts[1], orjson.loads(parts[2])
    except (IndexError, ValueError):
        return 0.0, "", {}


def _find_fate(history, ended, due_at):
    if history.job in ended:
        return "ended by its caller"
    if history.ended_at is None:
        return "never ended"
    return "in time" if history.ended_at <= due_at else "late"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log")
    parser.add_argument("--due", type=float, required=True)
    arguments = parser.parse_args()
    with open(arguments.log, encoding="utf-8", errors="replace") as file:
        histories = read_histories(file)
    print("| Items | Number | Slot seconds | of these lost with a host |")
    print("|---|---|---|---|")
    for fate, (count, seconds, lost) in sum_up(*histories, arguments.due).items():
        print(f"| {fate} | {count} | {seconds:.0f} | {lost:.0f} |")


if __name__ == "__main__":
    main()
