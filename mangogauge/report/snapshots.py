"""Hosts' metrics as they were scraped, kept as lines of JSON."""

import orjson
from attrs import field, frozen
from prometheus_client.parser import text_string_to_metric_families

__all__ = ["Snapshot", "append_snapshots", "parse_metrics", "read_snapshots"]

PREFIX = "mangogauge_"


@frozen
class Snapshot:
    """What one host said at one time.

    Parameters
    ----------
    at : float
        Seconds since the Unix epoch.
    host : str
    samples : dict
        Value by ``(metric, ((label, value), ...))``, labels sorted.
    """

    at = field()
    host = field()
    samples = field()


def parse_metrics(text, at, host):
    """Return a `Snapshot` of the text that a host's ``/metrics`` gave."""
    samples = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name.startswith(PREFIX):
                labels = tuple(sorted(sample.labels.items()))
                samples[sample.name, labels] = sample.value
    return Snapshot(at, host, samples)


def append_snapshots(path, snapshots):
    """Append one line for each snapshot."""
    with open(path, "ab") as file:
        for snapshot in snapshots:
            samples = [
                [name, dict(labels), value]
                for (name, labels), value in snapshot.samples.items()
            ]
            line = {"at": snapshot.at, "host": snapshot.host, "samples": samples}
            file.write(orjson.dumps(line) + b"\n")


def read_snapshots(paths):
    """Return all snapshots of the files, in order of time.

    Notes
    -----
    A line that is not whole, as the last one of a scraper that was killed, is
    left out.
    """
    snapshots = []
    for path in paths:
        with open(path, "rb") as file:
            for line in file:
                snapshot = _decode(line)
                if snapshot is not None:
                    snapshots.append(snapshot)
    return sorted(snapshots, key=lambda snapshot: snapshot.at)


def _decode(line):
    try:
        value = orjson.loads(line)
    except orjson.JSONDecodeError:
        return None
    samples = {
        (name, tuple(sorted(labels.items()))): number
        for name, labels, number in value["samples"]
    }
    return Snapshot(value["at"], value["host"], samples)
