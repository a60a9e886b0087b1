"""Router with prefix affinity under bounded loads and capped outlier ejection."""

import math

import xxhash

from .choice import Router
from .states import EndpointState

__all__ = ["BalancedRouter"]

BOUND_FACTOR = 1.25
EJECTED_SHARE_LIMIT = 0.5
EJECTION_QUORUM_PEERS = 2
PEER_REQUEST_WEIGHT = 0.1


class BalancedRouter(Router):
    """Chooses among the endpoints of one data centre.

    Calls that share a prompt prefix go to the same endpoint as long as its load
    stays within a bound (rendezvous hashing with bounded loads). Other calls go
    to the less loaded of two endpoints drawn at random.

    Parameters
    ----------
    data_centre : str
        Only endpoints of this data centre are chosen.
    clock : Clock
    random : random.Random
    others_weight : float, optional
        Weight of a request that other hosts report, relative to one of this
        host, in an endpoint's load.
    """

    def __init__(self, data_centre, clock, random, others_weight=PEER_REQUEST_WEIGHT):
        self._data_centre = data_centre
        self._others_weight = others_weight
        self._clock = clock
        self._random = random
        self._states = {}
        self._has_endpoints = False

    @property
    def names(self):
        """Names of the data centre's endpoints, sorted."""
        return tuple(sorted(self._states))

    def get_state(self, name):
        """Return the `EndpointState` of an endpoint, or None if it is unknown."""
        return self._states.get(name)

    def set_endpoints(self, endpoints):
        """Replace the endpoints; those added later begin with a slow start."""
        now = self._clock.read_elapsed()
        since = now if self._has_endpoints else float("-inf")
        states = {}
        for name, endpoint in endpoints.items():
            if endpoint.data_centre != self._data_centre:
                continue
            state = self._states.get(name)
            if state is None or state.endpoint.address != endpoint.address:
                state = EndpointState(endpoint, since)
            state.endpoint = endpoint
            states[name] = state
        self._states = states
        self._has_endpoints = True

    def choose(self, call, excluded=(), allow_down=False):
        """Return an `Endpoint` for `call`, or None if none is usable."""
        now = self._clock.read_elapsed()
        suitable = [
            state
            for state in self._states.values()
            if call.suits(state.endpoint) and not state.is_leaving(now)
        ]
        usable = self._filter_by_circuit(suitable, now, allow_down)
        usable = [s for s in usable if s.endpoint.name not in excluded]
        if not usable:
            return None
        if call.affinity:
            return self._choose_by_affinity(call.affinity, usable, now).endpoint
        return self._choose_of_two(usable, now).endpoint

    def begin(self, name):
        """Count an attempt that starts at an endpoint."""
        if name in self._states:
            self._states[name].running += 1

    def end(self, name):
        """Stop counting an attempt that has ended."""
        state = self._states.get(name)
        if state is not None:
            state.running = max(0, state.running - 1)

    def count_running(self, name):
        """Return how many attempts of this host run at an endpoint."""
        state = self._states.get(name)
        return state.running if state is not None else 0

    def note_success(self, name):
        """Record that an endpoint answered."""
        if name in self._states:
            self._states[name].note_success(self._clock.read_elapsed())

    def note_failure(self, name, reached=True):
        """Record that an endpoint failed; see `Router`."""
        if name in self._states:
            self._states[name].note_failure(self._clock.read_elapsed(), reached)

    def is_unreached(self, name):
        """Return whether this host's latest try to connect to an endpoint failed."""
        return name in self._states and self._states[name].unreached

    def note_slowness(self, name, slowness):
        """Record an answer's time, as a multiple of the typical one."""
        if name in self._states:
            self._states[name].note_slowness(slowness)

    def measure_group(self, call):
        """Return the slots at endpoints that may run `call`, and the peers' attempts.

        Endpoints that are down don't count.
        """
        now = self._clock.read_elapsed()
        slots = 0
        peers_running = 0
        for state in self._states.values():
            if not call.suits(state.endpoint) or state.is_down(now):
                continue
            slots += state.endpoint.slots
            peers_running += state.peers_running
        return slots, peers_running

    def measure_models(self):
        """Return ``{model: (slots, load)}`` over the endpoints that accept work."""
        now = self._clock.read_elapsed()
        totals = {}
        for state in self._states.values():
            if state.is_leaving(now) or state.is_down(now) or state.is_ejected(now):
                continue
            for model in state.endpoint.models:
                slots, load = totals.get(model, (0, 0))
                slots += state.endpoint.slots
                totals[model] = (slots, load + state.estimate_load(now))
        return totals

    def _filter_by_circuit(self, suitable, now, allow_down):
        """Return states with a closed circuit, and ejected ones up to the minimum.

        At most `EJECTED_SHARE_LIMIT` of the endpoints are left out; those whose
        ejection ends first are added back.
        """
        up = [state for state in suitable if allow_down or not state.is_down(now)]
        accepted = [s for s in up if not s.is_circuit_open(now, EJECTION_QUORUM_PEERS)]
        needed = math.ceil(len(up) * (1 - EJECTED_SHARE_LIMIT))
        if len(accepted) < needed:
            ejected = [s for s in up if s not in accepted]
            ejected.sort(key=lambda state: state.ejected_until)
            accepted += ejected[: needed - len(accepted)]
        return accepted

    def _choose_of_two(self, states, now):
        pair = self._random.sample(states, min(2, len(states)))
        return min(pair, key=lambda state: self._rank(state, now))

    def _choose_by_affinity(self, affinity, states, now):
        """Return the first endpoint by hash whose load is within its bound.

        If there is none, return the least loaded one.
        """
        weight = self._others_weight
        total = 1 + sum(state.weigh_load(now, weight) for state in states)
        capacity = sum(state.compute_capacity(now) for state in states)
        order = sorted(states, key=lambda state: _hash(affinity, state.endpoint.name))
        for state in order:
            share = state.compute_capacity(now) / capacity
            bound = math.ceil(BOUND_FACTOR * total * share)
            if state.weigh_load(now, weight) < bound:
                return state
        return min(states, key=lambda state: self._rank(state, now))

    def _rank(self, state, now):
        load = state.weigh_load(now, self._others_weight)
        return (load + 1) / state.compute_capacity(now)


def _hash(affinity, name):
    return xxhash.xxh3_64_intdigest(name.encode(), seed=affinity & 0xFFFFFFFF)
