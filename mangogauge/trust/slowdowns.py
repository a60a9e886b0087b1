"""Slowdown of endpoints relative to the others of their service.

References
----------
.. [1] Twitter, "Finagle", peak EWMA load balancing: the cost of an endpoint is an
   average that rises at once and falls slowly, times the number of open requests.
"""

import math
import statistics

__all__ = ["PeakEwma", "compute_slowdowns"]

DECAY_SECONDS = 5.0
# Minimum weight of a slower answer in the average. It is below 1, since a single slow
# answer is weak evidence.
RISE_WEIGHT = 0.5
# Largest ratio to the median that isn't counted as a slowdown.
MAX_TYPICAL_RATIO = 1.6
MAX_RATIO = 16.0
MIN_PEERS = 3


class PeakEwma:
    """Moving average of times that rises quickly and falls slowly.

    Examples
    --------
    >>> average = PeakEwma(1.0, 0.0)
    >>> average.note(3.0, 0.1)
    >>> average.value
    2.0
    """

    def __init__(self, seconds, now):
        self.value = seconds
        self.noted_at = now

    def note(self, seconds, now):
        """Add a time in seconds, measured at the elapsed time `now`."""
        weight = 1 - math.exp((self.noted_at - now) / DECAY_SECONDS)
        if seconds > self.value:
            weight = max(weight, RISE_WEIGHT)
        self.value += weight * (seconds - self.value)
        self.noted_at = now


def compute_slowdowns(averages, now):
    """Return the factor by which each slow endpoint is slower than typical.

    Parameters
    ----------
    averages : dict of str to PeakEwma
        Average times of the endpoints of one service, by name.
    now : float
        Elapsed time in seconds.

    Returns
    -------
    dict of str to float
        Factors above 1 of the slow endpoints only. They decay towards 1 as the
        measurements age.
    """
    if len(averages) < MIN_PEERS:
        return {}
    typical = statistics.median(average.value for average in averages.values())
    if typical <= 0:
        return {}
    slowdowns = {}
    for name, average in averages.items():
        ratio = average.value / typical
        if ratio > MAX_TYPICAL_RATIO:
            retained = math.exp((average.noted_at - now) / DECAY_SECONDS)
            slowdowns[name] = 1 + (min(ratio, MAX_RATIO) - 1) * retained
    return slowdowns
