"""Steps of the platform's store client."""

import curio
from behave import given, then, when
from returns.result import Failure

from features.builders.platform import PlatformDeployment
from mangogauge.platform import PlatformStore
from mangogauge.store import (
    Condition,
    DirectTransport,
    Operation,
    StoreRefusedError,
    Transaction,
)

TIMEOUT_SECONDS = 0.5
TROUBLES = {
    "answers 503": {"status": 503},
    "answers 429": {"status": 429},
    "answers 500": {"status": 500},
    "never answers": {"silent": True},
}


@given("the platform's store alone")
def start_store(context):
    context.deployment = PlatformDeployment(context.world)


@given("the platform's store {trouble}")
def set_trouble(context, trouble):
    context.deployment.control("store", **TROUBLES[trouble])


def call(context, method, *arguments):
    """Call a fresh client's method and return its result."""

    async def run():
        address = context.deployment.store_address
        transport = DirectTransport(address, TIMEOUT_SECONDS)
        store = PlatformStore(transport, TIMEOUT_SECONDS)
        try:
            return await getattr(store, method)(*arguments)
        finally:
            await store.close()

    return curio.run(run)


@when("{count:d} keys are written")
def write_keys(context, count):
    context.keys = [f"k/{n:02d}" for n in range(count)]
    context.first = call(context, "read_snapshot", "k/").unwrap().revision
    for key in context.keys:
        assert call(context, "put", key, key.encode()).unwrap().succeeded


@then("each can be read, and all are listed in order")
def check_keys(context):
    for key in context.keys:
        assert call(context, "get", key).unwrap().value == key.encode()
    assert call(context, "get", "k/none").unwrap() is None
    items = call(context, "list_prefix", "k/").unwrap()
    assert [item.key for item in items] == context.keys


@then("the changes after the first revision name all {count:d}")
def check_changes(context, count):
    changes = call(context, "read_changes", "k/", context.first, 1).unwrap()
    assert [event.key for event in changes.events] == context.keys
    again = call(context, "read_changes", "k/", changes.revision, 0.05).unwrap()
    assert not again.events


@then("a write that expects the first key to be absent changes nothing and shows it")
def check_condition(context):
    key = context.keys[0]
    transaction = Transaction((Condition(key, 0),), (Operation(key, b"other"),))
    outcome = call(context, "transact", transaction).unwrap()
    assert not outcome.succeeded
    assert [item.value for item in outcome.current] == [key.encode()]
    assert call(context, "get", key).unwrap().value == key.encode()


@when("a key is written on a lease, renewed once, and the lease is ended")
def use_lease(context):
    context.lease = call(context, "grant_lease", 5.0).unwrap()
    call(context, "put", "k/leased", b"x", context.lease.lease_id)
    assert call(context, "get", "k/leased").unwrap().lease == context.lease.lease_id
    renewed = call(context, "renew_lease", context.lease).unwrap()
    assert renewed.valid_until >= context.lease.valid_until
    call(context, "revoke_lease", context.lease).unwrap()


@then("the key is gone, and a renewal is refused as lapsed")
def check_lapsed(context):
    assert call(context, "get", "k/leased").unwrap() is None
    refused = call(context, "renew_lease", context.lease)
    assert isinstance(refused.failure(), StoreRefusedError)


@then('a write fails as "{write}", and a read as "{read}"')
def check_failures(context, write, read):
    wrote = call(context, "put", "k/a", b"x")
    assert type(wrote.failure()).__name__ == write, wrote
    got = call(context, "get", "k/a")
    assert type(got.failure()).__name__ == read, got


@when("the store drops its history")
def drop(context):
    context.deployment.control("store", compact=True)


@then('changes after the first revision are refused as "{name}"')
def check_compacted(context, name):
    answer = call(context, "read_changes", "k/", context.first, 0.05)
    assert isinstance(answer, Failure) and type(answer.failure()).__name__ == name


@when('the store\'s copy stays as it is, and the key "{key}" is written')
def freeze_copy(context, key):
    context.deployment.control("store", freeze_copy=True)
    assert call(context, "put", key, b"late").unwrap().succeeded


@then("a copy of the prefix shows {old:d} keys, and the newest state {new:d}")
def check_copy(context, old, new):
    assert len(call(context, "read_copy", "k/").unwrap().items) == old
    assert len(call(context, "read_snapshot", "k/").unwrap().items) == new


@then('"{key}" is found as a constant, and so is the first key from the copy alone')
def check_constants(context, key):
    assert call(context, "get_constant", key).unwrap().value == b"late"
    before = context.deployment.control("store")["counts"]
    assert call(context, "get_constant", context.keys[0]).unwrap() is not None
    after = context.deployment.control("store")["counts"]
    assert after["kv-key"] == before["kv-key"] + 1
    assert after["copies"] == before["copies"] + 1
