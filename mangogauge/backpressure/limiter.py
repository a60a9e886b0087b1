"""Decides which requests may be sent to endpoints that have announced a limit."""

import enum
from collections import Counter

from attrs import define, field, frozen

from .announcements import AnnouncedLimits
from .budget import RequestBudget
from .counts import TakenCounts
from .news import LimitNews, LimitRow
from .statements import LimitStatement

__all__ = ["EndpointLimiter", "Work"]


class Work(enum.Enum):
    """What is to be sent to an endpoint."""

    # A request that begins.
    ONLINE = "online"
    # A request that goes on with a stream.
    RESUMED = "resumed"
    # A batch item.
    ITEM = "item"


# Room that has to be left beyond a request's own; a stream that was begun may overdraw.
SPARE_REQUESTS = {Work.ONLINE: 0.0, Work.RESUMED: -2.0}
# Interval at which a host looks anew whether it may take what several hosts wait for.
DRAW_SECONDS = 0.02
# Interval at which it is counted which hosts are heard.
SHARE_SECONDS = 0.25
# Time in which half of a peak of online requests at an endpoint is forgotten.
PEAK_HALF_LIFE_SECONDS = 10.0
# Part of that peak whose slots batch items leave free.
PEAK_SPARE_SHARE = 0.5
# How long after a request it is told once more, in case that messages were lost.
RETELL_SECONDS = 2.5
# Most limits in one message of gossip.
MAX_GOSSIP_ROWS = 24


@define
class _Limited:
    """State of one endpoint whose limit is in force.

    Parameters
    ----------
    budget : RequestBudget
    share_due_at, draw_due_at : float
        Elapsed times from which the share of the rate and the draw are out of date.
    has_won : bool
        Whether the last draw allows this host a request.
    peak : float
        Slots that online requests have lately taken there at a time.
    peak_at : float
        Elapsed time of the peak.
    """

    budget = field()
    share_due_at = field(default=float("-inf"))
    draw_due_at = field(default=float("-inf"))
    has_won = field(default=False)
    peak = field(default=0.0)
    peak_at = field(default=0.0)

    def note_online(self, online, now):
        """Note how many online requests run there."""
        halvings = (now - self.peak_at) / PEAK_HALF_LIFE_SECONDS
        self.peak = max(online, self.peak * 0.5**halvings)
        self.peak_at = now


@frozen
class _Group:
    """Names of the hosts that may send to an endpoint; see `Takers.version`."""

    version = field()
    names = field()


class EndpointLimiter:
    """Keeps this host's requests, with those of all other hosts, within the limits.

    Each limited endpoint has a budget: what this host sends and what others tell of
    fill it, and it empties at a rate that follows the limit. When several hosts wait
    for the same room, each draws lots for it, so that they don't all take it at the
    same moment.

    Parameters
    ----------
    takers : Takers
    report_table : ReportTable
    incarnation : str
        Identifies this process.
    clock : Clock
    random : random.Random

    Attributes
    ----------
    limits : AnnouncedLimits
    """

    def __init__(self, takers, report_table, incarnation, clock, random):
        self._takers = takers
        self._report_table = report_table
        self._incarnation = incarnation
        self._clock = clock
        self._random = random
        self.limits = AnnouncedLimits(clock)
        self._limited = {}
        self._groups = {}
        self._taken = Counter()
        # Elapsed time at which this host last sent something to an endpoint.
        self._taken_at = {}
        self._others = TakenCounts()
        # Names of the endpoints of which other hosts have to be told soon.
        self._changed = set()
        self._number = 0

    @property
    def has_limits(self):
        """Whether any limit is in force."""
        return bool(self._limited)

    @property
    def has_changes(self):
        """Whether other hosts have to be told something soon."""
        return bool(self._changed)

    def note_answer(self, endpoint, rate, asked_at):
        """Note what an endpoint's answer says of its limit.

        Parameters
        ----------
        endpoint : FleetEndpoint
        rate : float
            Requests a second; `NO_LIMIT` if the answer names no limit.
        asked_at : float
            Elapsed time at which the request was sent.

        Returns
        -------
        bool
            Whether other hosts should hear of it at once.
        """
        statement = LimitStatement(rate, asked_at, self._clock.read_elapsed())
        is_news = self._note(
            endpoint.name, endpoint.start_time_ms, statement, "its answer"
        )
        limited = self._find(endpoint)
        if limited is not None:
            self._refresh(limited, endpoint, statement.answered_at)
        return is_news

    def is_saving(self, endpoint):
        """Return whether a limited endpoint had better get no request yet.

        Notes
        -----
        What its limit allows is kept for when others have no room, as long as it can
        be kept.
        """
        limited = self._find(endpoint)
        if limited is None:
            return False
        return not limited.budget.is_unused(self._clock.read_elapsed())

    def accepts(self, endpoint, work=Work.ONLINE):
        """Return whether this host may send some work to an endpoint now.

        Parameters
        ----------
        endpoint : FleetEndpoint
        work : Work, optional
        """
        limited = self._find(endpoint)
        if limited is None:
            return True
        now = self._clock.read_elapsed()
        self._refresh(limited, endpoint, now)
        if not limited.budget.may_take:
            return False
        if work is Work.ITEM:
            return self._accepts_item(limited, endpoint, now)
        if not limited.budget.has_room(SPARE_REQUESTS[work], now):
            return False
        if work is Work.RESUMED:
            return True
        return self._wins_draw(limited, self._count_contenders(limited), now)

    def take(self, endpoint):
        """Count work that is sent to an endpoint against its limit, if it has one."""
        limited = self._find(endpoint)
        if limited is None:
            return
        now = self._clock.read_elapsed()
        limited.budget.charge(1, now)
        limited.has_won = False
        self._taken[endpoint.name] += 1
        self._taken_at[endpoint.name] = now
        self._changed.add(endpoint.name)

    def estimate_slots(self, endpoint, hold_seconds):
        """Return how many requests an endpoint runs at a time for hosts like this one.

        Parameters
        ----------
        endpoint : FleetEndpoint
        hold_seconds : float
            Time for which a request holds a slot.

        Returns
        -------
        float
            All its slots, or fewer if its limit fills only some of them. If it is left
            to some of the hosts that wait, this is what it would be if all had as
            much.
        """
        limited = self._find(endpoint)
        if limited is None:
            return endpoint.slots
        now = self._clock.read_elapsed()
        self._refresh(limited, endpoint, now)
        budget = limited.budget
        if not budget.may_take:
            return 0.0
        waiting = self._report_table.count_waiting_hosts()
        each = waiting / min(waiting, budget.competitors)
        return min(endpoint.slots, budget.count_startable(hold_seconds, now) * each)

    def merge(self, news):
        """Take in what another host tells; return whether its limits were news.

        Parameters
        ----------
        news : LimitNews
        """
        if news.host == self._report_table.host:
            return False
        now = self._clock.read_elapsed()
        is_news = False
        for row in news.rows:
            statement = row.make_statement(now)
            is_news |= self._note(row.endpoint, row.start_time_ms, statement, news.host)
        for name, count in self._others.merge(news).items():
            if name in self._limited:
                self._limited[name].budget.charge(count, now)
        return is_news

    def make_changes(self):
        """Return the messages that tell those concerned what has changed.

        Returns
        -------
        list of (LimitNews, list of str)
            Each message, and the names of the hosts that it is for.
        """
        names, self._changed = self._changed, set()
        return self._make_messages(names)

    def make_repeats(self):
        """Return the messages that tell those concerned once more of late requests."""
        oldest = self._clock.read_elapsed() - RETELL_SECONDS
        names = [name for name, at in self._taken_at.items() if at >= oldest]
        return self._make_messages(names)

    def make_gossip(self):
        """Return the `LimitNews` that tells any host of limits and of their ends."""
        names = self.limits.list_names()
        chosen = self._random.sample(names, min(MAX_GOSSIP_ROWS, len(names)))
        return self._make_news(self._make_row(name, False) for name in chosen)

    def remove_old(self, endpoints, hosts):
        """Forget endpoints and hosts that are gone.

        Parameters
        ----------
        endpoints : iterable of FleetEndpoint
        hosts : collection of str
            Names of the hosts that there are.
        """
        if not len(self.limits):
            return
        self.limits.remove_old({e.name: e.start_time_ms for e in endpoints})
        known = set(self.limits.list_names())
        self._changed &= known
        self._limited = {n: x for n, x in self._limited.items() if n in known}
        self._groups = {n: x for n, x in self._groups.items() if n in known}
        self._taken = Counter({n: x for n, x in self._taken.items() if n in known})
        self._taken_at = {n: x for n, x in self._taken_at.items() if n in known}
        self._others.keep_only(known, hosts)

    def _find(self, endpoint):
        limited = self._limited.get(endpoint.name)
        if limited is None:
            return None
        is_same = limited.budget.start_time_ms == endpoint.start_time_ms
        return limited if is_same else None

    def _note(self, name, start_time_ms, statement, origin):
        is_news = self.limits.note(name, start_time_ms, statement, origin)
        if is_news:
            self._changed.add(name)
        self._apply(name)
        return is_news

    def _apply(self, name):
        """Let an endpoint's budget follow its limit."""
        found = self.limits.find(name)
        if found is None or not found[1].is_limit:
            self._limited.pop(name, None)
            return
        start_time_ms, statement = found
        limited = self._limited.get(name)
        now = self._clock.read_elapsed()
        if limited is None or limited.budget.start_time_ms != start_time_ms:
            budget = RequestBudget(start_time_ms, now, statement.rate)
            self._limited[name] = _Limited(budget)
        else:
            limited.budget.set_rate(statement.rate, now)

    def _refresh(self, limited, endpoint, now):
        """Find out which hosts may send to an endpoint, and which of them are heard."""
        if now < limited.share_due_at:
            return
        limited.share_due_at = now + SHARE_SECONDS
        names = self._find_group(endpoint)
        budget, own = limited.budget, self._report_table.host
        budget.may_take = own in names
        budget.competitors = len(names)
        is_reporting = self._report_table.is_reporting
        heard = sum(name == own or is_reporting(name) for name in names)
        budget.set_share(heard / len(names), now)

    def _find_group(self, endpoint):
        """Return the names of the hosts that may send to an endpoint."""
        version = self._takers.version
        group = self._groups.get(endpoint.name)
        if group is None or group.version is not version:
            names = self._takers.list_names(endpoint)
            group = self._groups[endpoint.name] = _Group(version, names)
        return group.names

    def _accepts_item(self, limited, endpoint, now):
        """Return whether an item may be sent: only if no request waits for room.

        Notes
        -----
        An item that is preempted needs another request to go on. So items leave the
        slots that online requests take at times.
        """
        table = self._report_table
        load = table.measure(endpoint.name)
        limited.note_online(load.online, now)
        if load.batch + 1 > endpoint.slots - PEAK_SPARE_SHARE * limited.peak:
            return False
        if table.waiting or table.count_waiting_hosts() > 1:
            return False
        if not limited.budget.has_item_room(now):
            return False
        contenders = 1 + len(table.list_hosts_with_items())
        competitors = limited.budget.competitors
        return self._wins_draw(limited, min(contenders, competitors), now)

    def _count_contenders(self, limited):
        """Return how many hosts may send a request at this moment, this one included.

        Notes
        -----
        Hosts that wait are told of. A host that doesn't wait may get a request at any
        moment, and others may at the same one.
        """
        competitors = limited.budget.competitors
        if not self._report_table.waiting:
            return competitors
        return min(competitors, self._report_table.count_waiting_hosts())

    def _wins_draw(self, limited, contenders, now):
        """Return whether this host may send one of the requests that there is room for.

        Notes
        -----
        What others send at the same moment is told `DRAW_SECONDS` later at most. Until
        then a host sends one request at most, and all together about as many as there
        is room for.
        """
        if contenders <= 1:
            return True
        if now >= limited.draw_due_at:
            limited.draw_due_at = now + DRAW_SECONDS
            room = limited.budget.measure_room(now)
            limited.has_won = self._random.random() * contenders < room
        return limited.has_won

    def _make_messages(self, names):
        """Return pairs of a `LimitNews` and the names of the hosts that it is for."""
        own, names_by_host = self._report_table.host, {}
        for name in sorted(names):
            group = self._groups.get(name)
            if group is None or own not in group.names:
                continue
            for host in sorted(group.names - {own}):
                names_by_host.setdefault(host, []).append(name)
        hosts_by_names = {}
        for host, some in names_by_host.items():
            hosts_by_names.setdefault(tuple(some), []).append(host)
        self._number += 1
        return [
            (self._make_news(map(self._make_row, some)), hosts)
            for some, hosts in hosts_by_names.items()
        ]

    def _make_news(self, rows):
        return LimitNews(self._report_table.host, self._incarnation, self._number, rows)

    def _make_row(self, name, tells_taken=True):
        start_time_ms, statement = self.limits.find(name)
        now = self._clock.read_elapsed()
        return LimitRow(
            name,
            start_time_ms,
            statement.rate,
            now - statement.asked_at,
            now - statement.answered_at,
            self._taken[name] if tells_taken else None,
        )
