"""Steps of the choice of peers."""

import curio
from behave import given, then, when

from features.builders.fleet import FixedDirectory, make_endpoint
from features.builders.peers import PeerWorld
from features.builders.tunnels import NamedEndpoints
from mangogauge.daemon.endpointaccess import ScopedTunnels
from mangogauge.http import ClientLimits, HTTPConnectError
from mangogauge.paths import NoPeerAllowedError
from mangogauge.placement import Eligibility, WorkScope

REGIONS = {"a": "north", "b": "south"}


@given('a host that hears the peers "{names}"')
def make_world(context, names):
    context.names = names.split(", ")
    context.peers = PeerWorld(context.names)


@when('no endpoint is reached through "{peer}"')
def fail_all(context, peer):
    context.peers.fail(peer)


@when('only "{endpoint}" isn\'t reached through "{peers}"')
def fail_one(context, endpoint, peers):
    for peer in peers.split(", "):
        context.peers.fail(peer, endpoint)


@when("{seconds:g} s pass for the host")
def wait(context, seconds):
    context.peers.clock.advance(seconds)


@then('"{peer}" is asked last for "{endpoint}"')
def check_last(context, peer, endpoint):
    last = context.peers.list_last(endpoint)
    assert last == {peer}, last


@then('"{peer}" is asked like the others for "{endpoint}"')
def check_like_others(context, peer, endpoint):
    last = context.peers.list_last(endpoint)
    assert last == set(context.names), last


@given('a host whose peers "{names}" are in the data centres "{data_centres}"')
def make_spread_world(context, names, data_centres):
    context.peers = PeerWorld(names.split(", "), data_centres.split(", "))


@given("the peers' regions are a = north, b = south")
def set_peer_regions(context):
    context.eligibility = Eligibility(FixedDirectory([]), REGIONS)


@then('"{names}" may carry what is restricted to the regions "{regions}"')
def check_carriers(context, names, regions):
    allowed = None if regions == "any" else frozenset(regions.split(", "))
    tunnels = ScopedTunnels(
        NamedEndpoints(make_endpoint("e1")),
        context.peers,
        ClientLimits(),
        context.eligibility,
    )
    error = None
    try:
        curio.run(tunnels.get(WorkScope(allowed)).connect, "e1")
    except HTTPConnectError as raised:
        error = raised
    # No peer of this world has an address that can be connected to.
    assert isinstance(error, NoPeerAllowedError) is (allowed is not None), error
    expected = set() if names == "none" else set(names.split(", "))
    assert context.peers.chosen == expected, context.peers.chosen
