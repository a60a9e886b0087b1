"""Estimate the times of reads of the store from other hosts' reports.

The same read is reported many times, by the reader and by every host whose copy it
confirmed. Each report gives the age of the read without the report's own transit time.
If each host estimated the time anew from every report and reported the result, the
read would never age. So only the earliest estimate counts.
"""

from collections import OrderedDict

from attrs import define, field

__all__ = ["ReadTimes"]

# Reads to remember, the last of each process and topic; the oldest are evicted first.
MAX_READS = 4096


@define
class _Read:
    """The last read of one process, and the elapsed time at which it was made."""

    number = field()
    made_at = field()


class ReadTimes:
    """Estimated times of the last read of each process and topic.

    Examples
    --------
    >>> read_times = ReadTimes()
    >>> read_times.record("routes", "p", 1, 10.0)
    10.0
    >>> read_times.record("routes", "p", 1, 10.3)
    10.0
    >>> read_times.record("routes", "p", 2, 10.7)
    10.7
    >>> read_times.record("routes", "p", 1, 10.8) is None
    True
    """

    def __init__(self):
        self._reads = OrderedDict()

    def record(self, topic, reader, number, estimate):
        """Record an estimate of a read's time; return the earliest one.

        Parameters
        ----------
        topic, reader : str
        number : int
            Number of the read; increases with each read of a process.
        estimate : float
            Elapsed time of the read by the latest report.

        Returns
        -------
        float or None
            None if the process has read again since.
        """
        read = self._reads.get((topic, reader))
        if read is None or number > read.number:
            self._store((topic, reader), _Read(number, estimate))
            return estimate
        if number < read.number:
            return None
        read.made_at = min(read.made_at, estimate)
        return read.made_at

    def _store(self, key, read):
        self._reads[key] = read
        self._reads.move_to_end(key)
        while len(self._reads) > MAX_READS:
            self._reads.popitem(last=False)
