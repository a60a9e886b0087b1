"""Period of a series of samples by its autocorrelation."""

import math
from itertools import accumulate
from operator import mul

__all__ = ["find_period"]

# Correlation from which a series counts as periodic.
MIN_CORRELATION = 0.5
# A multiple of the period correlates as well as the period itself, within noise.
SIMILAR_SHARE = 0.85
# Share of the series that a lag may span: fewer pairs say little.
MAX_LAG_SHARE = 0.5
MAX_REFINED_SHARE = 0.75


def find_period(values, min_lag):
    """Return the period of a series in samples, or None if it has no clear one.

    Parameters
    ----------
    values : list of float or None
        Evenly spaced samples, oldest first; None where one is missing.
    min_lag : int
        Shortest period in samples.

    Returns
    -------
    float or None

    Notes
    -----
    The period is that of the first maximum of the autocorrelation after its first
    negative value, which a trend or a step doesn't have. Its multiples are then used to
    measure it to a fraction of a sample. Missing samples count as the mean, which
    lowers the correlation.

    Examples
    --------
    >>> wave = [10.0 * (number % 12 < 5) for number in range(100)]
    >>> find_period(wave, min_lag=4)
    12.0
    >>> find_period([float(number) for number in range(100)], min_lag=4)
    """
    present = [value for value in values if value is not None]
    if len(present) < 2 * min_lag:
        return None
    mean = math.fsum(present) / len(present)
    series = _Series([0.0 if value is None else value - mean for value in values])
    lag = _find_first_maximum(series, min_lag)
    return None if lag is None else _refine(series, lag)


class _Series:
    """A series with mean 0, and its autocorrelation."""

    def __init__(self, values):
        self._values = values
        self._energy = [0.0, *accumulate(value * value for value in values)]
        self._correlations = {}

    def __len__(self):
        return len(self._values)

    def correlate(self, lag):
        """Return the correlation of the series with itself `lag` samples later."""
        if lag not in self._correlations:
            self._correlations[lag] = self._compute(lag)
        return self._correlations[lag]

    def _compute(self, lag):
        count = len(self._values) - lag
        earlier = self._energy[count]
        later = self._energy[-1] - self._energy[lag]
        if earlier <= 0.0 or later <= 0.0:
            return 0.0
        product = sum(map(mul, self._values, self._values[lag:]))
        return product / math.sqrt(earlier * later)


def _find_first_maximum(series, min_lag):
    lags = range(min_lag, int(len(series) * MAX_LAG_SHARE) + 1)
    first = next((lag for lag in lags if series.correlate(lag) < 0.0), None)
    if first is None:
        return None
    later = range(first, lags.stop)
    best = max(series.correlate(lag) for lag in later)
    if best < MIN_CORRELATION:
        return None
    start = next(n for n in later if series.correlate(n) >= best * SIMILAR_SHARE)
    lag = start
    # Noise makes the slope uneven: a maximum is higher than all within a quarter.
    for candidate in range(start, min(lags.stop, start + start // 4 + 1)):
        if series.correlate(candidate) > series.correlate(lag):
            lag = candidate
    return lag


def _refine(series, lag):
    """Return the period as a part of its longest multiple within the series."""
    period = float(lag)
    limit = len(series) * MAX_REFINED_SHARE
    multiple = 2
    while multiple * period <= limit:
        middle = round(multiple * period)
        reach = max(1, round(period / 8))
        near = range(middle - reach, min(middle + reach + 1, len(series)))
        best = max(near, key=series.correlate)
        if series.correlate(best) < MIN_CORRELATION:
            break
        period = best / multiple
        multiple += 1
    return period
