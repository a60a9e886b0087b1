"""Steps of copies of the operators' orders, told apart by their digests."""

from behave import given, then, when

from features.builders.fleet import make_configuration
from mangogauge.fleet import FleetState, OperatorEntry, OperatorListener
from mangogauge.store import KeyValue


class NamedOrders:
    """A source of orders whose configuration has its revision for a version."""

    def read_operator_entry(self, item):
        if item.key != "op/config":
            return OperatorEntry()
        return OperatorEntry(configuration=make_configuration(item.mod_revision))


def read_items(context):
    return [KeyValue(row["key"], b"", 0, int(row["revision"])) for row in context.table]


@given("a host that has read the orders")
def make_listener(context):
    state = FleetState(None, None, None)
    context.listener = OperatorListener(
        NamedOrders(), state, lambda configuration: None, lambda order: None
    )
    read_orders(context)


@when("it reads the orders")
def read_orders(context):
    context.items = read_items(context)
    context.listener.apply_snapshot(context.items)


@then("its digest is that of these orders")
def check_same(context):
    expected = context.listener.digest_items(context.items)
    assert context.listener.digest == expected, context.listener.digest


@then("its digest is not that of the orders")
def check_other(context):
    other = context.listener.digest_items(read_items(context))
    assert context.listener.digest != other, other
