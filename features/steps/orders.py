"""Steps of the digests of copies of operators' entries."""

from behave import given, then, when

from features.builders.fleet import make_configuration
from mangogauge.fleet import FleetState, OperatorEntry, OperatorListener
from mangogauge.store import KeyValue


class RevisionSource:
    """Source whose configuration has the revision of its entry as its version."""

    def read_operator_entry(self, item):
        if item.key != "op/config":
            return OperatorEntry()
        return OperatorEntry(configuration=make_configuration(item.mod_revision))


def read_items(context):
    return [KeyValue(row["key"], b"", 0, int(row["revision"])) for row in context.table]


@given("a host that has read the entries")
def make_listener(context):
    state = FleetState(None, None, None)
    context.listener = OperatorListener(
        RevisionSource(), state, lambda configuration: None, lambda retirement: None
    )
    read_entries(context)


@when("it reads the entries")
def read_entries(context):
    context.items = read_items(context)
    context.listener.apply_snapshot(context.items)


@then("its digest is that of these entries")
def check_same(context):
    expected = context.listener.digest_items(context.items)
    assert context.listener.digest == expected, context.listener.digest


@then("its digest is not that of the entries")
def check_other(context):
    other = context.listener.digest_items(read_items(context))
    assert context.listener.digest != other, other
