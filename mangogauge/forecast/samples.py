"""Evenly spaced samples of the last seconds."""

import math
from collections import deque

__all__ = ["SampleSeries"]

# Longest gap between two samples that is filled with the earlier one.
MAX_FILLED_CELLS = 5
# Values above this are not counts of requests.
MAX_VALUE = 1e9


class SampleSeries:
    """Samples of the last seconds in cells of equal length.

    Parameters
    ----------
    cell_seconds : float
    cells : int
        Number of cells that are kept.

    Attributes
    ----------
    newest : int or None
        Number of the newest cell.
    ignored : int
        Samples that were not used, since they were invalid or out of order.
    """

    def __init__(self, cell_seconds, cells):
        self._cell_seconds = cell_seconds
        self._cells = cells
        self._values = deque(maxlen=cells)
        self.newest = None
        self.ignored = 0

    def add(self, now, value):
        """Add a sample; return how many cells have been completed by it.

        Parameters
        ----------
        now : float
            Time in seconds.
        value : float
        """
        if not _is_valid(now, value) or self._is_before_newest(now):
            self.ignored += 1
            return 0
        cell = self.locate(now)
        if self.newest is None:
            self._values.append(float(value))
            self.newest = cell
            return 0
        passed = cell - self.newest
        if passed:
            self._skip(passed - 1)
            self._values.append(float(value))
            self.newest = cell
        else:
            self._values[-1] = float(value)
        return passed

    def locate(self, now):
        """Return the number of the cell that contains a time."""
        return math.floor(now / self._cell_seconds)

    def get(self, cell):
        """Return the value of a cell, or None if it is missing."""
        if self.newest is None:
            return None
        index = cell - self.newest + len(self._values) - 1
        return self._values[index] if 0 <= index < len(self._values) else None

    def list_values(self):
        """Return the values of all cells, oldest first; None where one is missing."""
        return list(self._values)

    def list_present(self):
        """Return the values that are not missing."""
        return [value for value in self._values if value is not None]

    def _is_before_newest(self, now):
        return self.newest is not None and self.locate(now) < self.newest

    def _skip(self, cells):
        filler = self._values[-1] if cells <= MAX_FILLED_CELLS else None
        self._values.extend([filler] * min(cells, self._cells))


def _is_valid(now, value):
    try:
        return math.isfinite(now) and 0 <= value <= MAX_VALUE
    except TypeError:
        return False
