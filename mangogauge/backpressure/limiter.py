"""Decides which requests may be sent to endpoints that take a limited number.

An endpoint may announce a limit, and it may be cold; the budgets of both are kept in
the same way, and both have to allow a request.
"""

import enum

from attrs import field, frozen

from .announcements import AnnouncedLimits
from .cold import ColdStates
from .counts import TakenCounts
from .limited import LimitedEndpoints, LimitSource
from .sending import SentCounts
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
# Interval at which the reporting hosts are counted.
SHARE_SECONDS = 0.25
# Part of the recent peak of online requests whose slots batch items leave free.
PEAK_SPARE_SHARE = 0.5
# Most limits in one message of gossip.
MAX_GOSSIP_ROWS = 24


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
    cold_bounds : ColdBounds, optional
        None if no endpoint is ever cold.

    Attributes
    ----------
    limits : AnnouncedLimits
    cold : ColdStates
    """

    def __init__(
        self, takers, report_table, incarnation, clock, random, cold_bounds=None
    ):
        self._takers = takers
        self._report_table = report_table
        self._clock = clock
        self._random = random
        self.limits = AnnouncedLimits(clock)
        self.cold = ColdStates(cold_bounds, clock)
        self._limited = LimitedEndpoints()
        self._groups = {}
        self._others = TakenCounts()
        self._sent = SentCounts(report_table.host, incarnation, self.limits, clock)

    @property
    def has_limits(self):
        """Whether any limit is in force."""
        return bool(len(self._limited))

    @property
    def has_news(self):
        """Whether anything is known that other hosts have to be told repeatedly."""
        return bool(len(self._limited) or len(self.limits))

    @property
    def has_changes(self):
        """Whether other hosts have to be told something soon."""
        return self._sent.has_changes

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
        limited = self._limited.find(endpoint)
        if limited is not None:
            self._refresh(limited, endpoint, statement.answered_at)
        return is_news

    def set_services(self, services):
        """Put the `Service` records of a configuration in force."""
        self.cold.set_services(services)
        self.update_cold()

    def note_entry(self, endpoint, has_entered):
        """Note an endpoint's new or changed entry; see `ColdStates.note_entry`."""
        self.cold.note_entry(endpoint, has_entered)
        self.update_cold()

    def note_cold_answer(self, endpoint, cold_left, asked_at):
        """Note that an answer announces how many seconds its endpoint stays cold."""
        self.cold.note_answer(endpoint, cold_left, asked_at)
        self.update_cold()

    def merge_cold(self, news):
        """Merge the `ColdNews` of another host."""
        self.cold.merge(news)
        self.update_cold()

    def update_cold(self):
        """Let the budgets follow the cold states, some of which end by time."""
        now = self._clock.read_elapsed()
        for change in self.cold.take_changes():
            self._limited.set_cold(change, self.cold.bounds, now)

    def is_cold(self, endpoint):
        """Return whether the cold state of an endpoint limits its requests now."""
        limited = self._limited.find(endpoint)
        return limited is not None and LimitSource.COLD in limited.budgets

    def is_saving(self, endpoint):
        """Return whether a limited endpoint had better get no request yet.

        Notes
        -----
        What its limit allows is kept for when others have no room, as long as it can
        be kept.
        """
        limited = self._limited.find(endpoint)
        if limited is None:
            return False
        return not limited.is_unused(self._clock.read_elapsed())

    def accepts(self, endpoint, work=Work.ONLINE):
        """Return whether this host may send some work to an endpoint now.

        Parameters
        ----------
        endpoint : FleetEndpoint
        work : Work, optional
        """
        limited = self._limited.find(endpoint)
        if limited is None:
            return True
        now = self._clock.read_elapsed()
        self._refresh(limited, endpoint, now)
        if not limited.may_take:
            return False
        if work is Work.ITEM:
            return self._accepts_item(limited, endpoint, now)
        if not limited.has_room(SPARE_REQUESTS[work], now):
            return False
        if work is Work.RESUMED and not limited.is_strict:
            return True
        return self._wins_draw(limited, self._count_contenders(limited), now)

    def take(self, endpoint):
        """Count work that is sent to an endpoint against its limit, if it has one."""
        limited = self._limited.find(endpoint)
        if limited is None:
            return
        now = self._clock.read_elapsed()
        limited.charge(1, now)
        limited.has_won = False
        self._sent.note_taken(endpoint.name, endpoint.start_time_ms)

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
        limited = self._limited.find(endpoint)
        if limited is None:
            return endpoint.slots
        now = self._clock.read_elapsed()
        self._refresh(limited, endpoint, now)
        if not limited.may_take:
            return 0.0
        waiting = self._report_table.count_waiting_hosts()
        each = waiting / min(waiting, limited.competitors)
        return min(endpoint.slots, limited.count_startable(hold_seconds, now) * each)

    def merge(self, news):
        """Merge another host's message; return whether its limits were new here.

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
            self._limited.charge(name, count, now)
        return is_news

    def make_changes(self):
        """Return the messages that tell those concerned what has changed.

        Returns
        -------
        list of (LimitNews, list of str)
            Each message, and the names of the hosts that it is for.
        """
        return self._make_messages(self._sent.take_changed())

    def make_repeats(self):
        """Return the messages that tell those concerned once more of late requests."""
        return self._make_messages(self._sent.list_recent())

    def make_gossip(self):
        """Return the `LimitNews` that tells any host of limits and of their ends."""
        names = self.limits.list_names()
        chosen = self._random.sample(names, min(MAX_GOSSIP_ROWS, len(names)))
        return self._sent.make_gossip(chosen)

    def remove_old(self, endpoints, hosts):
        """Forget endpoints and hosts that are gone.

        Parameters
        ----------
        endpoints : iterable of FleetEndpoint
        hosts : collection of str
            Names of the hosts that there are.
        """
        if not self.has_news:
            return
        start_times = {e.name: e.start_time_ms for e in endpoints}
        self.limits.remove_old(start_times)
        known = set(self.limits.list_names())
        known |= self._limited.list_cold() & start_times.keys()
        self._sent.keep_only(known)
        self._limited.keep_only(known)
        self._groups = {n: x for n, x in self._groups.items() if n in known}
        self._others.keep_only(known, hosts)

    def _note(self, name, start_time_ms, statement, origin):
        is_news = self.limits.note(name, start_time_ms, statement, origin)
        if is_news:
            self._sent.note_change(name)
        found = self.limits.find(name)
        self._limited.set_announced(name, found, self._clock.read_elapsed())
        return is_news

    def _refresh(self, limited, endpoint, now):
        """Find out which hosts may send to an endpoint, and which of them report."""
        if now < limited.share_due_at:
            return
        limited.share_due_at = now + SHARE_SECONDS
        names = self._find_group(endpoint)
        table = self._report_table
        limited.set_group(names, table.host, table.is_reporting, now)

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
        if not limited.has_item_room(now):
            return False
        if limited.is_strict:
            return self._wins_draw(limited, limited.reporting, now)
        contenders = 1 + len(table.list_hosts_with_items())
        return self._wins_draw(limited, min(contenders, limited.competitors), now)

    def _count_contenders(self, limited):
        """Return how many hosts may send a request at this moment, this one included.

        Notes
        -----
        Hosts that wait are told of. A host that doesn't wait may get a request at any
        moment, and others may at the same one. Of hosts that begin to wait at the same
        moment each knows only itself, which a strict bound doesn't permit.
        """
        if limited.is_strict:
            return limited.reporting
        competitors = limited.competitors
        if not self._report_table.waiting:
            return competitors
        return min(competitors, self._report_table.count_waiting_hosts())

    def _wins_draw(self, limited, contenders, now):
        """Return whether this host may send one of the requests that there is room for.

        Notes
        -----
        What others send at the same moment is told before the next draw. Until then a
        host sends one request at most, and all together about as many as there is room
        for.
        """
        if contenders <= 1 and not limited.is_paced:
            return True
        if now >= limited.draw_due_at:
            limited.draw_due_at = now + limited.draw_seconds
            odds = limited.compute_odds(contenders, now)
            limited.has_won = self._random.random() < odds
        return limited.has_won

    def _make_messages(self, names):
        groups = {name: group.names for name, group in self._groups.items()}
        return self._sent.make_messages(names, groups)
