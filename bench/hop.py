"""Cost of one call between hosts, beside one HTTP/1.1 request with JSON.

Usage: ``python -m bench.hop [--calls N]``. Both sides run in this process, so
the processor time is that of both.
"""

import argparse
import time

import curio
import orjson

from mangogauge.http import ClientPool, Headers, HTTPServer
from mangogauge.protocol import Channel, Method, ProtocolServer
from mangogauge.protocol.distribution_pb2 import AgeReply, AgeRequest
from mangogauge.standins.answers import read_json, send_json

SECRET = "secret"
METHOD = "/bench.Hop/Read"
LOOPBACK = "127.0.0.1"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--calls", type=int, default=2000)
    calls = parser.parse_args().calls
    for name, measure in (("h2 and protobuf", time_h2), ("http/1.1 and json", time_h1)):
        row = {"way": name, **curio.run(measure, calls)}
        print(orjson.dumps(row).decode(), flush=True)


async def time_h2(calls):
    async def serve(request, context):
        await context.send(AgeReply(age_milliseconds=7))

    server = ProtocolServer([Method(METHOD, AgeRequest, serve)], SECRET)
    server.bind(LOOPBACK, 0)
    serving = await curio.spawn(server.serve)
    channel = Channel(f"{LOOPBACK}:{server.port}", SECRET)

    async def call():
        await channel.call(METHOD, AgeRequest(), AgeReply)

    row = await time_calls(call, calls)
    await channel.close()
    await serving.cancel()
    return row


async def time_h1(calls):
    async def serve(exchange):
        await read_json(exchange)
        await send_json(exchange, 200, {"age_milliseconds": 7})

    server = HTTPServer(serve)
    server.bind(LOOPBACK, 0)
    serving = await curio.spawn(server.serve)
    pool = ClientPool()
    address = f"{LOOPBACK}:{server.port}"

    async def call():
        response = await pool.request(address, "POST", "/", Headers(), b"{}")
        orjson.loads(await response.read())

    row = await time_calls(call, calls)
    await pool.close()
    await serving.cancel()
    return row


async def time_calls(call, calls):
    """Return milliseconds of wall and of processor time for one call."""
    await call()
    wall, used = time.perf_counter(), time.process_time()
    for _ in range(calls):
        await call()
    wall, used = time.perf_counter() - wall, time.process_time() - used
    return {
        "calls": calls,
        "wall_ms": round(1000 * wall / calls, 3),
        "processor_ms": round(1000 * used / calls, 3),
    }


if __name__ == "__main__":
    main()
