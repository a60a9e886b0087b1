"""Measured times of answers, and the bounds on attempts that follow from them.

A hung endpoint must not use up the whole deadline of a call that could run
elsewhere, so an attempt waits for some multiple of what is usual.
"""

from collections import OrderedDict, deque

__all__ = ["AnswerTimes"]

MAX_SAMPLES = 128
MIN_SAMPLES = 8
TYPICAL_SHARE = 0.95
BOUND_FACTOR = 4.0
SHORTEST_BOUND_SECONDS = 1.0
DEADLINE_SHARE_WITHOUT_SAMPLES = 0.4
MAX_CLASSES = 4096


class AnswerTimes:
    """Recent times by class of call.

    Parameters
    ----------
    shortest : float, optional
        Seconds below which no bound goes.
    """

    def __init__(self, shortest=SHORTEST_BOUND_SECONDS):
        self._shortest = shortest
        self._samples = OrderedDict()

    def note(self, name, seconds):
        """Note that an answer of the class `name` took `seconds`."""
        samples = self._samples.get(name)
        if samples is None:
            samples = self._samples[name] = deque(maxlen=MAX_SAMPLES)
        samples.append(seconds)
        self._samples.move_to_end(name)
        if len(self._samples) > MAX_CLASSES:
            self._samples.popitem(last=False)

    def estimate(self, name, share=TYPICAL_SHARE):
        """Return the time that `share` of recent answers kept, or None."""
        samples = self._samples.get(name, ())
        if len(samples) < MIN_SAMPLES:
            return None
        return sorted(samples)[int(share * (len(samples) - 1))]

    def compute_bound(self, name, time_left, attempts=0):
        """Return seconds to wait for one attempt.

        Parameters
        ----------
        name : hashable
        time_left : float
            Seconds until the caller's deadline.
        attempts : int, optional
            Attempts made before; each doubles the bound, since a wait that
            was cut short may have been the work's own length.
        """
        typical = self.estimate(name)
        if typical is None:
            bound = time_left * DEADLINE_SHARE_WITHOUT_SAMPLES
        else:
            bound = max(self._shortest, typical * BOUND_FACTOR) * 2**attempts
        return min(time_left, max(bound, self._shortest))
