"""How long a silence is out of the ordinary.

References
----------
.. [1] N. Hayashibara et al., "The φ accrual failure detector", SRDS 2004. Here the
   times are those until an answer begins, which spread over powers of ten, so their
   logarithms are taken as normally distributed.
"""

import math

__all__ = ["SilenceDetector"]

SAMPLE_WEIGHT = 0.03
MIN_SAMPLES = 20
MIN_DEVIATION = 0.5
MIN_TIME_SECONDS = 1e-3


class SilenceDetector:
    """Times until answers begin, of all endpoints of a service.

    Examples
    --------
    >>> judge = SilenceDetector()
    >>> for _ in range(20):
    ...     judge.note(0.1)
    >>> judge.measure_suspicion(0.15) < 1 < 3 < judge.measure_suspicion(0.6)
    True
    """

    def __init__(self):
        self._samples = 0
        self._mean = 0.0
        self._variance = 0.0

    def note(self, seconds):
        """Take the time that an answer took to begin."""
        value = math.log(max(seconds, MIN_TIME_SECONDS))
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._samples)
        difference = value - self._mean
        self._mean += weight * difference
        self._variance = (1 - weight) * (
            self._variance + weight * difference * difference
        )

    def measure_suspicion(self, seconds):
        """Return φ of a silence: the negative decimal logarithm of its chance.

        Parameters
        ----------
        seconds : float

        Returns
        -------
        float
            0 as long as too little is known.
        """
        if self._samples < MIN_SAMPLES:
            return 0.0
        deviation = max(MIN_DEVIATION, math.sqrt(self._variance))
        value = math.log(max(seconds, MIN_TIME_SECONDS))
        distance = (value - self._mean) / deviation
        return -math.log10(max(math.erfc(distance / math.sqrt(2)) / 2, 1e-30))
