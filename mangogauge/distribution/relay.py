"""Which host of a data centre reads the platform for all its hosts.

The hosts are ranked by a hash. The first is the relay. Each host that reads the
platform publishes a counter of its successful reads; when no counter in the
data centre advances for a while, the next in rank steps in, and so on, without
any agreement: two relays at once cost a few calls and do no harm.
"""

import xxhash

__all__ = ["RelayDuty", "rank_relays"]

RELAY_READ_SECONDS = 0.5
SILENCE_SECONDS = 2.0
SILENCE_PER_RANK = 0.5
SILENCE_LIMIT = 4.0
STAND_IN_READ_SECONDS = 1.0


def rank_relays(names, purpose):
    """Return `names` in order of rank (rendezvous hashing).

    Parameters
    ----------
    names : iterable of str
        Names of live hosts.
    purpose : str
        Different purposes get different orders.

    Examples
    --------
    >>> sorted(rank_relays(["a1", "a2"], "a")) == ["a1", "a2"]
    True
    """
    return sorted(names, key=lambda name: _weigh(name, purpose))


class RelayDuty:
    """Decide when this host reads the platform.

    Parameters
    ----------
    own : str
        Name of this host.
    clock : Clock
    random : random.Random
        Spreads the reads of hosts that step in at the same time.
    """

    def __init__(self, own, clock, random):
        self._own = own
        self._clock = clock
        self._random = random
        self._counters = {}
        self._advanced_at = clock.read_elapsed()
        self._next_read = clock.read_elapsed()

    def note_counters(self, counters):
        """Take the counters of successful reads that peers publish.

        Parameters
        ----------
        counters : dict of str to int
            By name, of live hosts of this data centre.
        """
        for name, counter in counters.items():
            if counter > self._counters.get(name, 0) and name != self._own:
                self._advanced_at = self._clock.read_elapsed()
        self._counters = dict(counters)

    def should_read(self, ranked):
        """Return whether to read now.

        Parameters
        ----------
        ranked : list of str
            Live hosts of this data centre, as `rank_relays` returns them.
        """
        now = self._clock.read_elapsed()
        if now < self._next_read:
            return False
        rank = ranked.index(self._own) if self._own in ranked else len(ranked)
        if rank == 0:
            self._next_read = now + RELAY_READ_SECONDS
            return True
        patience = min(SILENCE_LIMIT, SILENCE_SECONDS + rank * SILENCE_PER_RANK)
        if now - self._advanced_at < patience:
            return False
        spread = 0.5 + self._random.random()
        self._next_read = now + STAND_IN_READ_SECONDS * spread
        return True


def _weigh(name, purpose):
    return xxhash.xxh3_64_intdigest(f"{purpose}\0{name}".encode())
