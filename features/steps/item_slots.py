"""Steps of the account of items' slot time."""

import orjson
from behave import given, then

from bench.item_slots import read_histories, sum_up


def make_line(row):
    fields = {"message": row["message"], "job": row["job"], "state": "done"}
    if row["item"]:
        fields["request_id"] = row["item"]
        fields["last_event"] = int(row["last event"]) if row["last event"] else None
    return f"{row['at']}.0 host {orjson.dumps(fields).decode()}\n"


@given("the log of a day, whose jobs are due after {due:d} s")
def make_log(context, due):
    context.due = due
    context.lines = [make_line(row) for row in context.table]


@given("its last line is cut")
def cut_line(context):
    context.lines.append(context.lines[-1][:30])


@then("{count:d} item took {seconds:d} s of slots and ended in time")
def check_in_time(context, count, seconds):
    table = sum_up(*read_histories(context.lines), context.due)
    assert table["in time"] == (count, seconds, 0), table


@then(
    "{count:d} item took {seconds:d} s of slots, of which {lost:d} s were lost,"
    " and was late"
)
def check_late(context, count, seconds, lost):
    table = sum_up(*read_histories(context.lines), context.due)
    assert table["late"] == (count, seconds, lost), table
