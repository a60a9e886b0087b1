"""Membership views that exchange by hand, on a clock moved by hand."""

import heapq
import itertools
import random

from attrs import define, field

from mangogauge.clock import ManualClock
from mangogauge.membership import Member, MembershipView
from mangogauge.protocol.membership_pb2 import ExchangeReply, ExchangeRequest

ROUND_SECONDS = 0.3
ABROAD_ROUNDS = 4
SPEAKERS = 2


@define
class ViewGroup:
    """Views by host name, with the bytes that they have exchanged."""

    seed = field(default=1)
    clock = field(factory=ManualClock)
    views = field(factory=dict)
    sizes = field(factory=dict)
    _random = field(default=None, init=False)

    def __attrs_post_init__(self):
        self._random = random.Random(self.seed)

    def add(self, name, data_centre, incarnation=1000):
        member = Member(name, data_centre, f"127.0.0.1/{name}", incarnation)
        self.views[name] = MembershipView(member, self.clock)
        self.sizes.setdefault(name, 0)

    def exchange(self, sender, receiver):
        """Let one view ask another, over the wire's bytes."""
        asking, asked = self.views[sender], self.views[receiver]
        request = asking.make_request(asked.own.data_centre).SerializeToString()
        reply = asked.make_reply(ExchangeRequest.FromString(request))
        answer = reply.SerializeToString()
        asking.merge_reply(ExchangeReply.FromString(answer), self.clock.read_elapsed())
        size = len(request) + len(answer)
        self.sizes[sender] += size
        self.sizes[receiver] += size

    def run(self, seconds, names=None, blocked=()):
        """Let views exchange as hosts do.

        Parameters
        ----------
        seconds : float
        names : iterable of str, optional
            Hosts that take part; all if absent.
        blocked : collection of (str, str)
            Pairs of sender and receiver between which nothing passes.
        """
        taking_part = sorted(names or self.views)
        rounds = round(seconds / ROUND_SECONDS)
        for number in range(rounds):
            self.clock.advance(ROUND_SECONDS)
            for name in taking_part:
                if self._random.random() * self.views[name].interval_factor > 1:
                    continue
                self.views[name].advance_heartbeat()
                self._ask(name, self._choose_near(name, taking_part), blocked)
            if number % ABROAD_ROUNDS == 0:
                self._exchange_abroad(taking_part, blocked)

    def _exchange_abroad(self, names, blocked):
        by_data_centre = {}
        for name in names:
            group = by_data_centre.setdefault(self.views[name].own.data_centre, [])
            group.append(name)
        for data_centre, members in by_data_centre.items():
            for speaker in members[:SPEAKERS]:
                for other, others in by_data_centre.items():
                    if other != data_centre:
                        self._ask(speaker, self._random.choice(others), blocked)

    def _choose_near(self, name, names):
        own = self.views[name].own.data_centre
        others = [
            n for n in names if n != name and self.views[n].own.data_centre == own
        ]
        return self._random.choice(others) if others else None

    def _ask(self, sender, receiver, blocked):
        if receiver is not None and (sender, receiver) not in blocked:
            self.exchange(sender, receiver)


class LateViews:
    """Views of one data centre whose questions and answers take time on their way.

    Parameters
    ----------
    count : int
        Number of hosts in data centre "a"; the first has just heard of "b1" in "b".
    transit : float
        Mean seconds that a question, or an answer, is on its way.
    seed : int, optional
    """

    def __init__(self, count, transit, seed=1):
        self._random = random.Random(seed)
        self._transit = transit
        self._clock = ManualClock()
        self._events = []
        self._order = itertools.count()
        self.views = [self._make_view(f"a{n}", "a") for n in range(count)]
        self._introduce_all()
        far = self._make_view("b1", "b")
        first = self.views[0]
        request = first.make_request("b")
        first.merge_reply(far.make_reply(request), self._clock.read_elapsed())
        for view in self.views:
            self._schedule(self._draw(ROUND_SECONDS), self._begin, view)

    def live(self, seconds):
        """Play for a while."""
        until = self._clock.read_elapsed() + seconds
        while self._events[0][0] <= until:
            at, _, act, arguments = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.read_elapsed())
            act(*arguments)
        self._clock.advance(until - self._clock.read_elapsed())

    def count_knowing(self, name):
        """Return how many hosts take another for live."""
        return sum(view.is_live(name) for view in self.views)

    def _make_view(self, name, data_centre):
        return MembershipView(Member(name, data_centre, name, 1), self._clock)

    def _introduce_all(self):
        now = self._clock.read_elapsed()
        for view in self.views:
            for other in self.views:
                view.merge_reply(other.make_reply(view.make_request("a")), now)

    def _begin(self, view):
        self._schedule(self._draw(ROUND_SECONDS), self._begin, view)
        view.advance_heartbeat()
        other = self._random.choice([v for v in self.views if v is not view])
        asked_at = self._clock.read_elapsed()
        request = view.make_request("a")
        self._schedule(self._draw_transit(), self._ask, view, other, request, asked_at)

    def _ask(self, view, other, request, asked_at):
        reply = other.make_reply(request)
        self._schedule(self._draw_transit(), view.merge_reply, reply, asked_at)

    def _schedule(self, seconds, act, *arguments):
        entry = (
            self._clock.read_elapsed() + seconds,
            next(self._order),
            act,
            arguments,
        )
        heapq.heappush(self._events, entry)

    def _draw_transit(self):
        return self._draw(self._transit)

    def _draw(self, mean):
        return mean * (0.5 + self._random.random())
