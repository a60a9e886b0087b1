"""Membership views that exchange by hand, on a clock moved by hand."""

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
        asking.take_reply(ExchangeReply.FromString(answer))
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
                if self._random.random() * self.views[name].pace > 1:
                    continue
                self.views[name].beat()
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
