"""Keeps a host's replicas up to date, from the platform and from peers."""

import math

import curio
from returns.result import Failure

from ..daemon.parts import HostPart
from ..protocol import CallError, ChannelError, Method
from ..protocol.distribution_pb2 import AgeReply, AgeRequest
from ..telemetry import get_logger
from .relay import RelayDuty, rank_relays
from .replica import CHANGES_PREFIX

__all__ = ["Distributor"]

STEP_SECONDS = 0.2
FETCH_ATTEMPTS = 3
READS_ENTRY = "platform_reads"

AGE_METHOD = "/mangogauge.Distribution/ReadAge"
AGE_SECONDS = 10.0
AGE_TIMEOUT = 2.0

log = get_logger("distribution")


class Distributor(HostPart):
    """Reads the platform when this host is the relay, and peers otherwise.

    Parameters
    ----------
    replicas : list of Replica
    view : MembershipView
    store : Store
    channels : ChannelPool
    clock : Clock
    random : random.Random
    trust : KeyTrust
        Told when the copies were last known to be the platform's.
    """

    def __init__(self, replicas, view, store, channels, clock, random, trust):
        self.replicas = list(replicas)
        self._view = view
        self._store = store
        self._channels = channels
        self._clock = clock
        self._random = random
        self._duty = RelayDuty(view.own.name, clock, random)
        self._reads = 0
        self._seen_changes = {}
        self._trust = trust
        self._next_question = 0.0

    @property
    def loaded(self):
        """Whether every replica has been filled."""
        return all(replica.loaded for replica in self.replicas)

    @property
    def positions(self):
        """How far what is in force is: ``{replica's name: position}``."""
        return {replica.name: replica.in_force for replica in self.replicas}

    def protocol_methods(self):
        """Return the methods by which peers fetch."""
        methods = [m for replica in self.replicas for m in replica.protocol_methods()]
        return [*methods, Method(AGE_METHOD, AgeRequest, self._serve_age)]

    async def run(self):
        """Keep the replicas up to date until cancelled."""
        while True:
            await self._read_platform_if_due()
            await self._fetch_from_peers()
            self._publish()
            self._settle()
            await self._ask_age_if_due()
            await curio.sleep(STEP_SECONDS)

    async def _read_platform_if_due(self):
        data_centre = self._view.own.data_centre
        names = [m.name for m in self._view.list_members(data_centre)]
        self._duty.note_counters({name: self._read_counter(name) for name in names})
        if not self._duty.should_read(rank_relays(names, data_centre)):
            return
        asked_at = self._clock.read_elapsed()
        listed = await self._store.list_prefix(CHANGES_PREFIX, keys_only=True)
        if isinstance(listed, Failure):
            return
        changes = {item.key: item.mod_revision for item in listed.unwrap()}
        for replica in self.replicas:
            if not await self._read_replica(replica, changes):
                return
        self._reads += 1
        self._trust.confirm(asked_at)

    async def _read_replica(self, replica, changes):
        changed_at = changes.get(CHANGES_PREFIX + replica.name, 0)
        if replica.loaded and changed_at <= self._seen_changes.get(replica.name, -1):
            return True
        answer = await replica.read_platform(changed_at)
        if isinstance(answer, Failure):
            return False
        self._seen_changes[replica.name] = changed_at
        return True

    async def _fetch_from_peers(self):
        for replica in self.replicas:
            for member in self._find_ahead(replica):
                if await self._fetch(replica, member):
                    break

    def _find_ahead(self, replica):
        """Return a few peers whose copy is further, this data centre's first."""
        ahead = [
            member
            for member in self._view.list_members(with_leaving=True)
            if self._is_ahead(member.name, replica)
        ]
        self._random.shuffle(ahead)
        own = self._view.own
        ahead.sort(key=lambda member: member.data_centre != own.data_centre)
        return [m for m in ahead if m.name != own.name][:FETCH_ATTEMPTS]

    async def _fetch(self, replica, member):
        try:
            await replica.fetch(self._channels.get(member.address))
        except (ChannelError, CallError) as error:
            log.info(
                "fetch failed",
                extra={
                    "step": f"fetch {replica.name}",
                    "peer": member.name,
                    "reason": str(error),
                },
            )
            return False
        return True

    def _settle(self):
        own = self._view.own
        others = [m for m in self._view.list_members(own.data_centre) if m != own]
        for replica in self.replicas:
            published = [self._view.read(m.name, replica.name) for m in others]
            replica.settle([int(raw) if raw else None for raw in published])

    def _publish(self):
        for replica in self.replicas:
            if replica.loaded or replica.position:
                self._view.publish(replica.name, str(replica.position).encode())
        # Only this data centre's hosts ask whether their relay still reads.
        self._view.publish(
            READS_ENTRY, str(self._reads).encode(), all_data_centres=False
        )

    async def _ask_age_if_due(self):
        """Ask a peer how old its copies are, and take that over if this is as far.

        The age counts from before the question was sent, so an answer that
        was held up on its way makes the copies older, never younger.
        """
        now = self._clock.read_elapsed()
        members = [
            m for m in self._view.list_members() if m.name != self._view.own.name
        ]
        if now < self._next_question or not members:
            return
        self._next_question = now + AGE_SECONDS * (0.5 + self._random.random())
        member = self._random.choice(members)
        try:
            reply = await self._channels.get(member.address).call(
                AGE_METHOD, AgeRequest(), AgeReply, AGE_TIMEOUT
            )
        except (ChannelError, CallError):
            return
        if self._is_as_far_as(dict(reply.positions)):
            self._trust.confirm(now - reply.age_milliseconds / 1000)

    async def _serve_age(self, request, context):
        age = math.ceil(self._trust.age * 1000)
        await context.send(AgeReply(age_milliseconds=age, positions=self.positions))

    def _is_as_far_as(self, positions):
        return all(
            replica.loaded and replica.position >= positions.get(replica.name, 0)
            for replica in self.replicas
        )

    def _is_ahead(self, name, replica):
        published = self._view.read(name, replica.name)
        if published is None:
            return False
        # A copy that has never been filled takes any peer's, also an empty one.
        return not replica.loaded or int(published) > replica.position

    def _read_counter(self, name):
        return int(self._view.read(name, READS_ENTRY) or 0)
