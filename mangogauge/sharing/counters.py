"""Merge counts of the same events by several reporters with different starts."""

from collections import OrderedDict

__all__ = ["MergedCounts"]

# Reporters to remember; the one that was added first is evicted first.
MAX_REPORTERS = 16


class MergedCounts:
    """Increasing counts by name, each the highest that any reporter has shown.

    All reporters count the same events, each since its own start, and each may miss
    some. An increase that another reporter has already shown is not counted again.

    Examples
    --------
    >>> counts = MergedCounts()
    >>> counts.merge("first", {"a": 10})
    {}
    >>> counts.merge("second", {"a": 3})
    {}
    >>> counts.merge("first", {"a": 12, "b": 1})
    {'a': 2, 'b': 1}
    >>> counts.merge("second", {"a": 6, "b": 1})
    {'a': 1}
    """

    def __init__(self):
        self._merged = {}
        # By reporter and name: the merged count minus the reporter's own count at
        # its first report.
        self._offsets = OrderedDict()

    def merge(self, reporter, counts):
        """Merge a reporter's counts; return ``{name: int}`` of the increases.

        Parameters
        ----------
        reporter : str
            Identifies one process of a reporter: counts begin again at its restart.
        counts : dict of str to int
            Totals since that process started.
        """
        if reporter not in self._offsets:
            self._align(reporter, counts)
        offsets = self._offsets[reporter]
        increases = {}
        for name, count in counts.items():
            merged = self._merged.get(name, 0)
            increase = count + offsets.get(name, 0) - merged
            if increase > 0:
                self._merged[name] = merged + increase
                increases[name] = increase
        return increases

    def _align(self, reporter, counts):
        """Align a new reporter: what it counted before is not an increase."""
        names = self._merged.keys() | counts.keys()
        self._offsets[reporter] = {
            name: self._merged.get(name, 0) - counts.get(name, 0) for name in names
        }
        while len(self._offsets) > MAX_REPORTERS:
            self._offsets.popitem(last=False)
