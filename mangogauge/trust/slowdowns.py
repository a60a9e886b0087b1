"""How fast endpoints answer, compared with each other.

References
----------
.. [1] Twitter, "Finagle", peak EWMA load balancing: an average that follows a rise at
   once and a fall slowly, times what is under way, is the cost of an endpoint.
"""

import math
import statistics

__all__ = ["PeakEwma", "compute_slowdowns"]

DECAY_SECONDS = 5.0
# A single slow answer among many says little: a rise counts by this part at once.
RISE_WEIGHT = 0.5
# Ratios to the median that are nothing out of the ordinary.
MAX_TYPICAL_RATIO = 1.6
MAX_RATIO = 16.0
MIN_PEERS = 3


class PeakEwma:
    """An average of times, quick to rise and slow to fall.

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
        """Take a time in seconds, at an elapsed time."""
        weight = 1 - math.exp((self.noted_at - now) / DECAY_SECONDS)
        if seconds > self.value:
            weight = max(weight, RISE_WEIGHT)
        self.value += weight * (seconds - self.value)
        self.noted_at = now


def compute_slowdowns(averages, now):
    """Return by how much each endpoint is slower than usual: 1 if it isn't.

    Parameters
    ----------
    averages : dict of str to PeakEwma
        Of the endpoints of one service, by name.
    now : float
        Elapsed time in seconds.

    Returns
    -------
    dict of str to float
        Of those that are slower. What was measured long ago counts for less.
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
