"""Counts of what this host sends to limited endpoints, and the messages with them."""

from collections import Counter

from .news import LimitNews, LimitRow, make_count_row

__all__ = ["SentCounts"]

# How long after a request its count is repeated, in case messages were lost.
REPEAT_SECONDS = 2.5


class SentCounts:
    """Counts of this host's requests, and the news that contain them.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : str
        Identifies this process.
    limits : AnnouncedLimits
    clock : Clock
    """

    def __init__(self, host, incarnation, limits, clock):
        self._host = host
        self._incarnation = incarnation
        self._limits = limits
        self._clock = clock
        self._taken = Counter()
        # Elapsed time at which this host last sent something to an endpoint, and the
        # start of its process.
        self._taken_at = {}
        self._start_times = {}
        # Names of the endpoints whose counts or limits have to be sent soon.
        self._changed = set()
        self._number = 0

    @property
    def has_changes(self):
        """Whether something has to be sent to other hosts soon."""
        return bool(self._changed)

    def note_change(self, name):
        """Note that an endpoint's limit is new and has to be sent."""
        self._changed.add(name)

    def note_taken(self, name, start_time_ms):
        """Count a request that is sent to an endpoint."""
        self._taken[name] += 1
        self._taken_at[name] = self._clock.read_elapsed()
        self._start_times[name] = start_time_ms
        self._changed.add(name)

    def take_changed(self):
        """Return the names of the endpoints that have changed since the last call."""
        names, self._changed = self._changed, set()
        return names

    def list_recent(self):
        """Return the names of the endpoints whose counts are repeated."""
        oldest = self._clock.read_elapsed() - REPEAT_SECONDS
        return [name for name, at in self._taken_at.items() if at >= oldest]

    def keep_only(self, known):
        """Forget the endpoints that are not among a set of names."""
        self._changed &= known
        self._taken = Counter({n: x for n, x in self._taken.items() if n in known})
        self._taken_at = {n: x for n, x in self._taken_at.items() if n in known}
        self._start_times = {n: x for n, x in self._start_times.items() if n in known}

    def make_gossip(self, names):
        """Return the `LimitNews` on the announced limits of some endpoints."""
        return self._make_news([self._make_limit_row(name, None) for name in names])

    def make_messages(self, names, groups):
        """Return pairs of a `LimitNews` and the names of the hosts that it is for.

        Parameters
        ----------
        names : collection of str
            Endpoints.
        groups : dict of str to collection of str
            Hosts that may send to each.
        """
        names_by_host = {}
        for name in sorted(names):
            group = groups.get(name, ())
            if self._host not in group or not self._has_row(name):
                continue
            for host in sorted(group - {self._host}):
                names_by_host.setdefault(host, []).append(name)
        hosts_by_names = {}
        for host, some in names_by_host.items():
            hosts_by_names.setdefault(tuple(some), []).append(host)
        self._number += 1
        return [
            (self._make_news(map(self._make_row, some)), hosts)
            for some, hosts in hosts_by_names.items()
        ]

    def _has_row(self, name):
        return name in self._start_times or self._limits.find(name) is not None

    def _make_news(self, rows):
        return LimitNews(self._host, self._incarnation, self._number, rows)

    def _make_row(self, name):
        taken = self._taken[name]
        if self._limits.find(name) is None:
            return make_count_row(name, self._start_times[name], taken)
        return self._make_limit_row(name, taken)

    def _make_limit_row(self, name, taken):
        start_time_ms, statement = self._limits.find(name)
        now = self._clock.read_elapsed()
        return LimitRow(
            name,
            start_time_ms,
            statement.rate,
            now - statement.asked_at,
            now - statement.answered_at,
            taken,
        )
