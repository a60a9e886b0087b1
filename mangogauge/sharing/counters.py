"""Follow a count that several reporters keep, each from its own start on."""

from collections import OrderedDict

__all__ = ["MergedCounts"]

# Reporters that are remembered; the one heard first is forgotten first.
MAX_REPORTERS = 16


class MergedCounts:
    """Growing counts by name, each the highest that any reporter shows.

    All reporters count the same events, each since its own start and each with its
    own gaps. What one adds that another has shown already isn't counted again.

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
        # By reporter and name, the merged count less the reporter's own at the time
        # at which it was first heard.
        self._offsets = OrderedDict()

    def merge(self, reporter, counts):
        """Take a reporter's counts; return ``{name: int}``, what they add.

        Parameters
        ----------
        reporter : str
            One start of one reporter.
        counts : dict of str to int
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
        """Line a reporter up: what it counted before it was heard is not news."""
        names = self._merged.keys() | counts.keys()
        self._offsets[reporter] = {
            name: self._merged.get(name, 0) - counts.get(name, 0) for name in names
        }
        while len(self._offsets) > MAX_REPORTERS:
            self._offsets.popitem(last=False)
