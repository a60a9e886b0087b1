"""Claimed chunks while their items run, and which of them had better be given back."""

from collections import Counter

from attrs import define, field

from .items import list_needs

__all__ = ["ChunkRun", "ReleaseRule", "StartedItem"]

STALL_SECONDS = 10.0
# Longer than an endpoint that others reach is lost in passing.
FRUITLESS_SECONDS = 3.0


@define(eq=False)
class ChunkRun:
    """A claimed chunk with its items.

    Parameters
    ----------
    chunk : OwnedChunk
    lines : list of bytes
    started_at, worked_at : float
        Elapsed time at which an item was started, and had an answer, last; that of
        the claim before.
    tasks : dict of int to StartedItem
    failures, delays : Counter
        By item.
    delayed : list of (float, int)
        Heap of the times until which items wait.
    intending : list of int
        Items whose intent isn't committed yet.
    """

    chunk = field()
    lines = field()
    started_at = field(default=0.0)
    worked_at = field(default=0.0)
    tasks = field(factory=dict)
    failures = field(factory=Counter)
    delays = field(factory=Counter)
    delayed = field(factory=list)
    intending = field(factory=list)

    def list_unsettled_lines(self):
        """Return the lines of items that have no result."""
        ledger = self.chunk.ledger
        return [line for i, line in enumerate(self.lines) if not ledger.has_result(i)]


@define(eq=False)
class StartedItem:
    """An item that runs."""

    task = field()
    repeatable = field()
    endpoint = field()
    number = field()


class ReleaseRule:
    """Decides which chunks a host gives back before they are finished.

    Parameters
    ----------
    room : Room
    reader : ItemReader
    now : float
        Elapsed time in seconds.
    data_centre : str
        That of this host; it reaches no endpoints elsewhere.
    """

    def __init__(self, room, reader, now, data_centre):
        self._room = room
        self._reader = reader
        self._now = now
        self._data_centre = data_centre

    def choose(self, runs, is_crowded):
        """Return the chunks to give back.

        Parameters
        ----------
        runs : iterable of ChunkRun
        is_crowded : bool
            Whether this host can't claim another chunk.

        Notes
        -----
        What no other host could run either is kept: it would only go round. One of
        these is given back if its place is needed here.
        """
        runs = list(runs)
        chosen = [run for run in runs if self._has_better_host(run)]
        if is_crowded and not chosen:
            stalled = sorted(filter(self._is_stalled, runs), key=lambda r: r.started_at)
            chosen = stalled[:1]
        return [run.chunk for run in chosen]

    def _has_better_host(self, run):
        if self._is_stalled(run) and self._has_foreign_items(run):
            return True
        is_fruitless = self._now - run.worked_at > FRUITLESS_SECONDS
        return is_fruitless and self._is_handed_over(run)

    def _is_stalled(self, run):
        return not run.tasks and self._now - run.started_at > STALL_SECONDS

    def _has_foreign_items(self, run):
        """Return whether this host can't fill the endpoints of some items."""
        assigned = self._room.list_assigned()
        near = [e for e in assigned if e.data_centre == self._data_centre]
        probes = self._make_probes(run)
        return any(not any(map(probe.suits, near)) for probe in probes)

    def _is_handed_over(self, run):
        """Return whether nothing can come of a chunk here, and can elsewhere."""
        handed_over = self._room.list_handed_over()
        if not handed_over or any(
            s.endpoint not in handed_over for s in run.tasks.values()
        ):
            return False
        probes = self._make_probes(run)
        return any(self._room.is_handed_over(probe) for probe in probes)

    def _make_probes(self, run):
        needs = list_needs(run.list_unsettled_lines())
        probes = [self._reader.make_probe(need) for need in needs]
        return [probe for probe in probes if probe is not None]
