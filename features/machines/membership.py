"""Views of one data centre, over a network that loses, repeats and delays replies."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mangogauge.clock import ManualClock
from mangogauge.membership import Member, MembershipView

HOSTS = ("a1", "a2", "a3")
HOST = st.sampled_from(HOSTS)


class MembershipMachine(RuleBasedStateMachine):
    """Each host publishes a counter; no host may see a counter decrease."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.incarnations = dict.fromkeys(HOSTS, 0)
        self.published = {}
        self.views = {}
        self.seen = {}
        self.replies = []
        for name in HOSTS:
            self.restart(name)

    @rule(name=HOST)
    def restart(self, name):
        self.incarnations[name] += 1
        own = Member(name, name[0], f"127.0.0.1:{7000}", self.incarnations[name])
        self.views[name] = MembershipView(own, self.clock)
        self.published[name] = 0
        self.seen = {pair: s for pair, s in self.seen.items() if pair[0] != name}
        self.publish(name)

    @rule(name=HOST)
    def publish(self, name):
        self.published[name] += 1
        self.views[name].publish("counter", b"%d" % self.published[name])

    @rule(name=HOST, seconds=st.floats(0, 2))
    def advance_heartbeat(self, name, seconds):
        self.clock.advance(seconds)
        self.views[name].advance_heartbeat()

    @rule(name=HOST, peer=HOST, lost=st.booleans())
    def exchange(self, name, peer, lost):
        if name == peer:
            return
        reply = self._ask(name, peer)
        self.replies.append((name, reply))
        if not lost:
            self._merge_reply(name, reply)

    @rule(data=st.data())
    def deliver_late(self, data):
        if self.replies:
            number = data.draw(st.integers(0, len(self.replies) - 1))
            self._merge_reply(*self.replies[number])

    @rule()
    def exchange_among_all(self):
        for _ in HOSTS:
            for name in HOSTS:
                self.views[name].advance_heartbeat()
                for peer in HOSTS:
                    if peer != name:
                        self._merge_reply(name, self._ask(name, peer))
        for view in self.views.values():
            assert [m.name for m in view.list_members()] == list(HOSTS)
            for name in HOSTS:
                published = view.read(name, "counter")
                assert published == b"%d" % self.published[name], (
                    view.own,
                    name,
                    published,
                )

    @invariant()
    def no_view_regresses(self):
        for observer, view in self.views.items():
            for member in view.list_members():
                published = int(view.read(member.name, "counter") or 0)
                state = (member.incarnation, published)
                pair = (observer, member.name)
                assert state >= self.seen.get(pair, (0, 0)), (pair, state)
                self.seen[pair] = state

    @invariant()
    def only_the_host_publishes_its_counter(self):
        for name, view in self.views.items():
            assert view.read(name, "counter") == b"%d" % self.published[name]

    def _ask(self, name, peer):
        request = self.views[name].make_request(peer[0])
        return self.views[peer].make_reply(request)

    def _merge_reply(self, name, reply):
        self.views[name].merge_reply(reply, self.clock.read_elapsed())
