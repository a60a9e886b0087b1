"""How many requests other hosts have sent to limited endpoints."""

from attrs import define, field

__all__ = ["TakenCounts"]


@define
class _HostCounts:
    """Counts of one process of another host, and the number of its last message."""

    incarnation = field()
    number = field(default=0)
    counts = field(factory=dict)


class TakenCounts:
    """Turns the totals that hosts report into increases.

    Examples
    --------
    >>> from mangogauge.backpressure import LimitNews, LimitRow
    >>> counts = TakenCounts()
    >>> counts.merge(LimitNews("h", "1", 1, [LimitRow("e", 0, 2.0, 0, 0, taken=3)]))
    {'e': 3}
    >>> counts.merge(LimitNews("h", "1", 2, [LimitRow("e", 0, 2.0, 0, 0, taken=5)]))
    {'e': 2}
    """

    def __init__(self):
        self._hosts = {}

    def merge(self, news):
        """Return ``{endpoint: int}``: requests since the host's last message.

        Notes
        -----
        A message that has been overtaken by a later one tells nothing new.
        """
        known = self._hosts.get(news.host)
        if known is None or known.incarnation != news.incarnation:
            known = self._hosts[news.host] = _HostCounts(news.incarnation)
        if news.number <= known.number:
            return {}
        known.number = news.number
        increases = {}
        for row in news.rows:
            if row.taken is None:
                continue
            increase = row.taken - known.counts.get(row.endpoint, 0)
            known.counts[row.endpoint] = row.taken
            # A count that has been removed at its host begins again.
            increases[row.endpoint] = increase if increase >= 0 else row.taken
        return increases

    def keep_only(self, endpoints, hosts):
        """Remove the counts of other endpoints and of other hosts."""
        self._hosts = {
            name: known for name, known in self._hosts.items() if name in hosts
        }
        for known in self._hosts.values():
            known.counts = {e: n for e, n in known.counts.items() if e in endpoints}
