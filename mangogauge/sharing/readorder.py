"""The order in which hosts read a topic of the platform's store again.

If all hosts read a copy again at the same age, each of them reads before the report of
the first read arrives. So the hosts are ranked for each read, by a hash of the topic,
the last read and the host's name: the first reads as soon as the copy is due, the next
few only if no report of that read has arrived in time, and all others after these. The
order changes with each read, so that a host that is frozen, slow or refused by the
store delays few of them, and no host sends the news of all reads.
"""

import xxhash

__all__ = ["READERS", "ReadOrder"]

# Hosts that read in turn before all others do.
READERS = 4
# Time for the news of a read to reach the next reader: the read itself, and up to
# 0.04 s in a socket before a datagram is read.
STEP_SECONDS = 0.12
# All others follow one after the other, within a time that grows with their number up
# to a maximum, beyond which a copy would be too old where no reader is heard.
SECONDS_PER_HOST = 0.012
MIN_SPREAD_SECONDS = 0.18
MAX_SPREAD_SECONDS = 1.0


class ReadOrder:
    """Ranks this host among the hosts that it hears.

    Parameters
    ----------
    host : str
        Name of this host.
    list_others : callable
        Returns the names of the other hosts that are reporting.

    Examples
    --------
    >>> names = [f"h{number}" for number in range(12)]
    >>> orders = [ReadOrder(n, lambda n=n: [m for m in names if m != n]) for n in names]
    >>> sorted(order.find_rank("op/", "process", 7) for order in orders)
    [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]
    >>> delays = sorted(order.measure_delay("op/", "process", 7) for order in orders)
    >>> delays[0], round(delays[1], 2), round(delays[11], 2)
    (0.0, 0.12, 0.66)
    """

    def __init__(self, host="", list_others=tuple):
        self._host = host
        self._list_others = list_others

    def count_hosts(self):
        """Return how many hosts are ranked, this one included."""
        return len(self._list_others()) + 1

    def find_rank(self, topic, reader, number):
        """Return this host's rank after a read: 0 for the host that reads next.

        Parameters
        ----------
        topic : str
        reader : str
            Process that made the last read.
        number : int
            Number of that read.
        """
        return self._rank(topic, reader, number, self._list_others())

    def measure_delay(self, topic, reader, number):
        """Return the seconds by which this host reads later than the first one."""
        others = self._list_others()
        rank = self._rank(topic, reader, number, others)
        if rank < READERS:
            return rank * STEP_SECONDS
        count = len(others) + 1
        spread = max(MIN_SPREAD_SECONDS, count * SECONDS_PER_HOST)
        spread = min(MAX_SPREAD_SECONDS, spread)
        position = (rank - READERS + 1) / (count - READERS)
        return READERS * STEP_SECONDS + spread * position

    def _rank(self, topic, reader, number, others):
        seed = xxhash.xxh3_64_intdigest(f"{topic}/{reader}/{number}".encode())
        own = _weigh(self._host, seed)
        return sum(_weigh(name, seed) < own for name in others)


def _weigh(name, seed):
    return xxhash.xxh3_64_intdigest(name.encode(), seed)
