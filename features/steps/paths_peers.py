"""Steps of the choice of peers."""

from behave import given, then, when

from features.builders.peers import PeerWorld


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
