"""Date reads of the store by what other hosts tell of them.

A host hears of the same read again and again, from the reader and from everybody who
has heard of it. Each of them gives its age, without the time that the word was on its
way. Dating the read anew each time, and passing that on, would keep it young for ever;
so it is dated once, by the word that makes it oldest.
"""

from collections import OrderedDict

from attrs import define, field

__all__ = ["ReadTimes"]

# Reads that are remembered, the last of each process and topic; the oldest are
# forgotten first.
KEPT_READS = 4096


@define
class _Read:
    """The last read of one process, and when it was made."""

    number = field()
    made_at = field()


class ReadTimes:
    """When the last reads of other processes were made.

    Examples
    --------
    >>> dates = ReadTimes()
    >>> dates.date("routes", "p", 1, 10.0)
    10.0
    >>> dates.date("routes", "p", 1, 10.3)
    10.0
    >>> dates.date("routes", "p", 2, 10.7)
    10.7
    >>> dates.date("routes", "p", 1, 10.8) is None
    True
    """

    def __init__(self):
        self._reads = OrderedDict()

    def date(self, topic, reader, number, estimate):
        """Return when a read was made; None if the process has read again since.

        Parameters
        ----------
        topic, reader : str
        number : int
            Grows with each read of one process.
        estimate : float
            Elapsed time at which it was made, by what was just heard of it.
        """
        read = self._reads.get((topic, reader))
        if read is None or number > read.number:
            self._keep((topic, reader), _Read(number, estimate))
            return estimate
        if number < read.number:
            return None
        read.made_at = min(read.made_at, estimate)
        return read.made_at

    def _keep(self, key, read):
        self._reads[key] = read
        self._reads.move_to_end(key)
        while len(self._reads) > KEPT_READS:
            self._reads.popitem(last=False)
