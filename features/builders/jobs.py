"""Builders of batch jobs, and the audit that ends each of their scenarios."""

import base64
import http.client
import random
from collections import Counter

import orjson
from attrs import define, field

from mangogauge.protocol.records_pb2 import Record

from .processes import wait_until

UPLOAD_HEADERS = {"Content-Type": "multipart/form-data; boundary=edge"}
RESULTS_OF_ENDED = ("completed", "cancelled")
CHAT_URL = "/v1/chat/completions"
BAD_PROMPT = "NEVER-SUCCEEDS"


@define
class JobPlan:
    """The items of a job.

    Parameters
    ----------
    chats, bookings, bad : int
        Numbers of items for a model, of items that may not be repeated, and of
        items that can never succeed.
    max_tokens : int
        Largest number of tokens of each chat's answer.
    seed : int
        Seed of the items' order.
    """

    chats = field(default=30)
    bookings = field(default=0)
    bad = field(default=0)
    max_tokens = field(default=30)
    seed = field(default=1)

    def make_items(self):
        items = [self._make_chat(f"chat-{i}", f"item {i}") for i in range(self.chats)]
        items += [self._make_chat(f"bad-{i}", BAD_PROMPT) for i in range(self.bad)]
        items += [self._make_booking(f"booking-{i}") for i in range(self.bookings)]
        random.Random(self.seed).shuffle(items)
        return items

    def _make_chat(self, custom_id, prompt):
        body = {
            "model": "small",
            "max_tokens": self.max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        return _make_item(custom_id, CHAT_URL, body)

    def _make_booking(self, custom_id):
        return _make_item(custom_id, f"/bookings/{custom_id}", {"seat": custom_id})


@define
class Audit:
    """Compares the accepted items with their results and the endpoints' counts.

    Parameters
    ----------
    accepted : list of str
        Ids of all items.
    results : list of str
        Ids of the results read back.
    runs : dict of str to int
        Runs of items that may not be repeated, as counted at the endpoint.
    """

    accepted = field()
    results = field()
    runs = field(factory=dict)

    def find_faults(self, partial=False):
        """Return what is wrong, as a list of sentences.

        Parameters
        ----------
        partial : bool
            Whether items without a result are allowed.
        """
        seen = Counter(self.results)
        faults = [f"{i} has {n} results" for i, n in seen.items() if n > 1]
        faults += [f"{i} was never asked for" for i in seen if i not in self.accepted]
        faults += [f"{i} ran {n} times" for i, n in self.runs.items() if n > 1]
        if not partial:
            faults += [f"{i} has no result" for i in self.accepted if i not in seen]
        return faults


class JobCaller:
    """Uploads, submits and reads a client account's jobs, through any host.

    Parameters
    ----------
    world : World
    key : str
        API key of the client account.
    """

    def __init__(self, world, key):
        self._world = world
        self.key = key

    def get_caller(self, host):
        return self._world.get_caller(host, self.key)

    def upload(self, host, items):
        data = b"".join(orjson.dumps(item) + b"\n" for item in items)
        body = (
            b'--edge\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch'
            b'\r\n--edge\r\nContent-Disposition: form-data; name="file"; '
            b'filename="i.jsonl"\r\n\r\n' + data + b"\r\n--edge--\r\n"
        )
        return self.get_caller(host).request("POST", "/v1/files", body, UPLOAD_HEADERS)

    def submit(self, host, file_id, key="", **changes):
        request = {
            "input_file_id": file_id,
            "endpoint": CHAT_URL,
            "completion_window": "24h",
            **changes,
        }
        headers = {"Idempotency-Key": key} if key else {}
        return self.get_caller(host).request(
            "POST", "/v1/batches", orjson.dumps(request), headers
        )

    def read_job(self, host, job_id):
        return self.get_caller(host).request("GET", f"/v1/batches/{job_id}").json

    def cancel(self, host, job_id):
        return self.get_caller(host).request("POST", f"/v1/batches/{job_id}/cancel")

    def wait_until_ended(self, host, job_id):
        seen = {}

        def read_ended():
            try:
                job = seen["last"] = self.read_job(host, job_id)
            except (OSError, http.client.HTTPException) as error:
                seen["last"] = error
                return None
            return job if job.get("status") in RESULTS_OF_ENDED else None

        try:
            return wait_until(read_ended, f"{job_id} has ended", 120)
        except AssertionError as error:
            raise AssertionError(f"{error}; seen last: {seen['last']!r}") from error

    def wait_until_settled(self, host, job_id, count):
        """Wait until at least `count` items have a committed result."""

        def is_settled():
            counts = self.read_job(host, job_id).get("request_counts", {})
            return counts.get("completed", 0) + counts.get("failed", 0) >= count

        wait_until(is_settled, f"{count} items of {job_id} are settled")

    def read_results(self, host, job):
        """Return the parsed lines of both result files."""
        lines = []
        for name in ("output_file_id", "error_file_id"):
            if job[name]:
                path = f"/v1/files/{job[name]}/content"
                answer = self.get_caller(host).request("GET", path)
                assert answer.status == 200, answer
                lines += answer.body.splitlines()
        return [orjson.loads(line) for line in lines]


def read_owners(world, job_id):
    """Return the host that has claimed each chunk of a job, by chunk number."""
    prefix = f"work/{job_id}/"
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    request = {"key": _encode(prefix), "range_end": _encode(end)}
    answer = world.get_standin("platform").request(
        "POST", "/v3/kv/range", orjson.dumps(request)
    )
    owners = {}
    for item in answer.json["kvs"]:
        *_, number, kind = base64.b64decode(item["key"]).decode().split("/")
        if kind == "claim":
            record = Record.FromString(base64.b64decode(item["value"]))
            owners[int(number)] = record.payload.decode()
    return owners


def read_booking_runs(world, service="desk-service"):
    """Return how often the service ran each booking."""
    runs = world.get_standin(service).control()["runs"]
    return {name.removeprefix("POST "): count for name, count in runs.items()}


def _make_item(custom_id, url, body):
    return {"custom_id": custom_id, "method": "POST", "url": url, "body": body}


def _encode(text):
    return base64.b64encode(text.encode()).decode()
