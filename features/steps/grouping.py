"""Steps of grouped writes, on a store in memory."""

import random

import curio
from behave import then, when

from mangogauge.clock import SystemClock
from mangogauge.idempotency import GroupWriter, KeyWrite
from mangogauge.store import MemoryStore, RecordStore


@when("one group writer gets {rate:d} writes per second for {seconds:d} s")
def write_steadily(context, rate, seconds):
    rng = random.Random(5)
    context.outcomes = []

    async def write(writer, number):
        result = await writer.write(KeyWrite(f"keyed/{number}", b"%d" % number))
        context.outcomes.append(result.unwrap())

    async def run():
        writer = _make_writer(RecordStore(MemoryStore()), "w")
        sender = await curio.spawn(writer.run, daemon=True)
        async with curio.TaskGroup() as group:
            for number in range(rate * seconds):
                await group.spawn(write, writer, number)
                await curio.sleep(rng.expovariate(rate))
        await sender.cancel()
        return writer

    context.writer = curio.run(run)


@then("all group writes take effect, with at least {least:d} per call")
def check_grouped(context, least):
    assert all(outcome.written for outcome in context.outcomes)
    writer = context.writer
    print(f"{writer.writes} writes in {writer.calls} calls")
    assert writer.writes >= least * writer.calls, (writer.writes, writer.calls)


@when("two group writers write {count:d} of the same keys at once")
def write_twice(context, count):
    context.by_key = {}

    async def write(writer, name, number):
        key = f"keyed/{number}"
        payload = f"{name} {number}".encode()
        result = await writer.write(KeyWrite(key, payload))
        context.by_key.setdefault(key, []).append((payload, result.unwrap()))

    async def run():
        records = RecordStore(MemoryStore())
        writers = {name: _make_writer(records, name) for name in ("one", "two")}
        for writer in writers.values():
            await curio.spawn(writer.run, daemon=True)
        async with curio.TaskGroup() as group:
            for number in range(count):
                for name, writer in writers.items():
                    await group.spawn(write, writer, name, number)

    curio.run(run)


@then("one write of each group key takes effect, and the other writer reads it")
def check_granted(context):
    for answers in context.by_key.values():
        granted = [payload for payload, outcome in answers if outcome.written]
        refused = [outcome for _, outcome in answers if not outcome.written]
        assert len(granted) == len(refused) == 1, answers
        assert refused[0].current == granted[0], answers


def _make_writer(records, name):
    writer = GroupWriter(records, SystemClock(), name)
    writer.interval = 0.1
    return writer
