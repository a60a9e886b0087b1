"""Memory of a host while a large job is uploaded, submitted and read back.

Usage: ``python -m bench.upload [--items 630000]``. The items are made as they
are sent; they are not run.
"""

import argparse
import time
from pathlib import Path

import orjson

from features.builders import World, wait_until
from features.builders.jobs import JobCaller

ITEMS_PER_PIECE = 500
HEAD = (
    b'--edge\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
    b'--edge\r\nContent-Disposition: form-data; name="file"; filename="i.jsonl"\r\n\r\n'
)
TAIL = b"\r\n--edge--\r\n"
MEGABYTE = 1_000_000


def iterate_body(items):
    """Yield a multipart body; its lines have the size of real ones."""
    yield HEAD
    for first in range(0, items, ITEMS_PER_PIECE):
        numbers = range(first, min(items, first + ITEMS_PER_PIECE))
        yield b"".join(make_line(number) for number in numbers)
    yield TAIL


def make_line(number):
    """Return the line of one item."""
    return (
        b'{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":'
        b'{"model":"small","max_tokens":60,"messages":[{"role":"user","content":'
        b'"Describe the replica brooch number %d of the spring catalogue."}]}}\n'
        % (number, number)
    )


def read_memory(pid, name):
    """Return a line of the process's status in megabytes."""
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(line for line in status if line.startswith(name))
    return int(line.split()[1]) * 1024 / MEGABYTE


def run(world, items):
    world.start_platform()
    world.accounts = [("desk", 100, 100)]
    world.apply_configuration()
    world.start_host("a1", "a")
    jobs = JobCaller(world, world.grant_key("desk"))
    caller = jobs.get_caller("a1")
    wait_until(lambda: caller.request("GET", "/v1/batches").status == 200, "the key")
    pid = world.processes["a1"].pid
    before = read_memory(pid, "VmRSS")
    started = time.monotonic()
    connection = caller.open("GET", "/v1/batches")
    connection.getresponse().read()
    connection.request(
        "POST",
        "/v1/files",
        body=iterate_body(items),
        headers={
            "Content-Type": "multipart/form-data; boundary=edge",
            "Authorization": f"Bearer {jobs.key}",
        },
        encode_chunked=True,
    )
    response = connection.getresponse()
    assert response.status == 200, response.read()
    file = orjson.loads(response.read())
    uploaded = time.monotonic() - started
    peak = read_memory(pid, "VmHWM")
    answer = jobs.submit("a1", file["id"], key="large")
    assert answer.status == 200, answer
    total = answer.json["request_counts"]["total"]
    print(f"{total} items, {file['bytes'] / MEGABYTE:.0f} MB, {uploaded:.1f} s")
    print(f"host before {before:.0f} MB, peak while uploading {peak:.0f} MB")
    print(f"peak after submitting {read_memory(pid, 'VmHWM'):.0f} MB")
    counts = world.get_standin("platform").control()["counts"]
    print(f"writes to the platform: {counts['write']}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--items", type=int, default=630_000)
    options = parser.parse_args()
    world = World("upload")
    try:
        run(world, options.items)
    finally:
        world.stop()


if __name__ == "__main__":
    main()
