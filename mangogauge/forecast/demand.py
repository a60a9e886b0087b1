"""Forecast of the peak of demand over an interval that begins now.

Handles a load that alternates between two levels every few seconds, such as online
requests of callers that act in step. Demand without a period is described by its level
and a high quantile.
"""

import math

from .period import find_period
from .samples import SampleSeries

__all__ = ["DemandForecast"]

CELL_SECONDS = 0.1
# Several periods of a demand that alternates every few seconds, and short enough to
# forget a former level.
WINDOW_SECONDS = 30.0
MIN_PERIOD_SECONDS = 1.0
REFIT_SECONDS = 2.0
# Past periods that are averaged: more would blur the edges of a period that drifts.
AVERAGED_PERIODS = 3
# Uncertainty of the time of a rise.
EDGE_CELLS = 1
# Time in which a fall must exceed what is noise.
FALL_CELLS = 3
HIGH_QUANTILE, LOW_QUANTILE = 0.95, 0.05
# Difference to the forecast that is noise, in mean errors.
EXPLAINED_ERRORS = 2.5
# Time over which the errors of the forecasts are averaged.
ERROR_SECONDS = 5.0
# Part of the error of the level up to which the period is used.
MAX_ERROR_SHARE = 0.6


class DemandForecast:
    """Learns the demand for one service, and predicts its peak.

    Attributes
    ----------
    period_seconds : float or None
        Period of the demand, if it has a clear one.
    level : float
        Mean demand of the last half minute.

    Examples
    --------
    >>> forecast = DemandForecast()
    >>> for step in range(300):
    ...     forecast.note(now=step / 10, demand=40 if step % 50 < 20 else 10)
    >>> forecast.period_seconds
    5.0
    >>> forecast.predict_peak(now=32.5, seconds=2.0)
    10.0
    >>> forecast.predict_peak(now=32.5, seconds=3.0)
    40.0
    """

    def __init__(self):
        cells = round(WINDOW_SECONDS / CELL_SECONDS)
        self._samples = SampleSeries(CELL_SECONDS, cells)
        self._predicted = {}
        self._cells_to_refit = 0
        self._period_cells = None
        self._period_error = math.inf
        self._level_error = 0.0
        self.level = 0.0
        self._high = self._low = 0.0

    @property
    def period_seconds(self):
        """Period of the demand in seconds, or None if it isn't forecast by one."""
        return self._period_cells * CELL_SECONDS if self.is_periodic else None

    @property
    def is_periodic(self):
        """Whether the period predicted the last seconds better than the level did."""
        if self._period_cells is None:
            return False
        return self._period_error <= self._level_error * MAX_ERROR_SHARE

    @property
    def error(self):
        """Mean absolute error of the forecasts of the last seconds, in requests."""
        return self._period_error if self.is_periodic else self._level_error

    @property
    def swing(self):
        """Difference between a high and a low quantile of the last half minute."""
        return self._high - self._low

    @property
    def ignored(self):
        """Number of samples that were invalid or out of order."""
        return self._samples.ignored

    def note(self, now, demand):
        """Record the demand at a time.

        Parameters
        ----------
        now : float
            Time in seconds; never decreases.
        demand : float
            Requests that run or wait; invalid values are ignored.
        """
        passed = self._samples.add(now, demand)
        self._predicted.clear()
        self._note_errors(demand, passed)
        if passed or not self.level:
            self._measure_level()
        self._cells_to_refit -= passed
        if self._cells_to_refit <= 0:
            self._cells_to_refit = round(REFIT_SECONDS / CELL_SECONDS)
            self._refit()
            self._predicted.clear()

    def is_falling(self, now):
        """Return whether demand is expected to be falling already."""
        if not self.is_periodic:
            return False
        cell = self._samples.locate(now)
        earlier, present = self._predict(cell - FALL_CELLS), self._predict(cell)
        if earlier is None or present is None:
            return False
        return earlier - present > EXPLAINED_ERRORS * self._period_error

    def predict_peak(self, now, seconds, after=0.0):
        """Return the highest demand expected within some seconds.

        Parameters
        ----------
        now, seconds : float
        after : float, optional
            Seconds from now that are left out at the beginning.

        Returns
        -------
        float
            Without a clear period a high quantile of the last half minute, but at
            least the newest sample. What the newest sample is above its forecast, by
            more than the forecasts' error, is expected to remain.
        """
        newest = self._samples.get(self._samples.newest) or 0.0
        if not self.is_periodic:
            return max(newest, self._high)
        first = self._samples.locate(now + after)
        last = min(
            self._samples.locate(now + seconds) + EDGE_CELLS,
            first + math.ceil(self._period_cells),
        )
        expected = [self._predict(cell) for cell in range(first, last + 1)]
        peak = max(self._high if e is None else e for e in expected)
        return peak + self._measure_excess(newest)

    def _measure_excess(self, newest):
        """Return by how much demand is above what is explained by the forecast."""
        expected = self._predict(self._samples.newest)
        if expected is None:
            return 0.0
        return max(0.0, newest - expected - EXPLAINED_ERRORS * self._period_error)

    def predict_seconds_within(self, now, demand, seconds):
        """Return for how long the demand is expected not to exceed a value.

        Parameters
        ----------
        now : float
        demand : float
        seconds : float
            Limit of the result.
        """
        if not self.is_periodic:
            return seconds if self._high <= demand else 0.0
        first = self._samples.locate(now)
        for step in range(math.ceil(seconds / CELL_SECONDS)):
            expected = self._predict(first + step + EDGE_CELLS)
            if expected is None or expected > demand:
                return step * CELL_SECONDS
        return seconds

    def _predict(self, cell):
        """Return the mean of the same point in the last periods, or None."""
        if cell not in self._predicted:
            self._predicted[cell] = self._compute_mean(cell)
        return self._predicted[cell]

    def _compute_mean(self, cell):
        newest = self._samples.newest
        ago = math.ceil(max(1.0, (cell - newest) / self._period_cells))
        values = []
        for number in range(ago, ago + AVERAGED_PERIODS):
            value = self._samples.get(round(cell - number * self._period_cells))
            if value is not None:
                values.append(value)
        return sum(values) / len(values) if values else None

    def _note_errors(self, demand, passed):
        """Compare a new sample with what was expected of it."""
        if not passed or not self.level:
            return
        weight = 1.0 - math.exp(-passed * CELL_SECONDS / ERROR_SECONDS)
        self._level_error += weight * (abs(demand - self.level) - self._level_error)
        if self._period_cells is None:
            return
        expected = self._predict(self._samples.newest)
        if expected is None:
            return
        error = abs(demand - expected)
        if math.isinf(self._period_error):
            self._period_error = error
        else:
            self._period_error += weight * (error - self._period_error)

    def _measure_level(self):
        present = sorted(self._samples.list_present())
        if not present:
            return
        self.level = math.fsum(present) / len(present)
        self._high = present[int((len(present) - 1) * HIGH_QUANTILE)]
        self._low = present[int((len(present) - 1) * LOW_QUANTILE)]

    def _refit(self):
        min_lag = round(MIN_PERIOD_SECONDS / CELL_SECONDS)
        self._period_cells = find_period(self._samples.list_values(), min_lag)
        if self._period_cells is None:
            self._period_error = math.inf
