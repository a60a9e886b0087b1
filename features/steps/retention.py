"""Steps of files, jobs and results that are removed after their retention."""

import base64
import time

import orjson
from behave import given, then, when

from features.builders import wait_until
from features.steps import batch

PREFIXES = (
    "files/",
    "input/",
    "jobs/",
    "work/",
    "results/",
    "account-jobs/",
    "expiry/",
)


@given("a batch fleet that keeps things for {kept:d} s and uploads for {upload:d} s")
def start_short_lived(context, kept, upload):
    context.batch_extra = f"retention_seconds = {kept}\nupload_seconds = {upload}\n"
    batch.start_fleet(context)


@when("chunks of an upload are left behind")
def leave_chunks(context):
    store = context.world.get_standin("platform")
    for number in range(3):
        key = f"input/{int(time.time()):08x}-left/{number:06}"
        put = {"request_put": {"key": _encode(key), "value": _encode("left")}}
        store.request("POST", "/v3/kv/txn", orjson.dumps({"success": [put]}))


@when("the batch job completes and its results are read")
def read_results(context):
    batch.check_audit(context, "b1")


@then("eventually nothing of the batch job is left at the platform")
def check_gone(context):
    # The job's due time comes before its retention; it is one second here.
    wait_until(lambda: not _list_keys(context, PREFIXES), "all is removed")


@then("nothing of the unfinished upload is left at the platform")
def check_upload_gone(context):
    assert not _list_keys(context, ("input/",))


def _list_keys(context, prefixes):
    keys = []
    for prefix in prefixes:
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        request = {"key": _encode(prefix), "range_end": _encode(end)}
        answer = context.world.get_standin("platform").request(
            "POST", "/v3/kv/range", orjson.dumps({**request, "keys_only": True})
        )
        keys += [base64.b64decode(item["key"]).decode() for item in answer.json["kvs"]]
    return keys


def _encode(text):
    return base64.b64encode(text.encode()).decode()
