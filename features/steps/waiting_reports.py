"""Steps of reports that wait in the socket of a host that is suspended."""

import random
import socket
import time

import curio
from behave import given, then, when

from features.builders.fleet import FixedMembers, make_report
from mangogauge.clock import SystemClock
from mangogauge.fleet import FleetMember
from mangogauge.sharing import (
    CopyReport,
    ReportExchange,
    ReportTable,
    ReportTopology,
    SharedFreshness,
)

LOCAL = "127.0.0.1"
TOPIC = "orders"
DIGEST = "d1"
INTERVAL_SECONDS = 0.7
PATIENCE_SECONDS = 5.0


@given("a host with a copy of the orders that it has read {seconds:g} s ago")
def make_host(context, seconds):
    clock = context.clock = SystemClock()
    context.freshness = SharedFreshness(clock, INTERVAL_SECONDS, reader="p1")
    context.freshness.note_read(TOPIC, DIGEST, clock.read_elapsed() - seconds, 7)
    table = ReportTable("h1", "p1", clock)
    members = FixedMembers(FleetMember("h1", "p1"), [])

    async def take_report(report):
        context.freshness.merge_report(report.copies)
        context.received += 1

    context.exchange = ReportExchange(
        table,
        members,
        ReportTopology(members, table, random.Random(2)),
        clock,
        lambda: table.make_report({}, (), {}),
        None,
        take_report,
        None,
        {},
    )
    context.exchange.bind(LOCAL, [0])


@when("reports of a read that is {age:g} s old wait {seconds:g} s for the host")
def wait_in_socket(context, age, seconds):
    context.received = 0
    copies = {TOPIC: CopyReport(DIGEST, 7, "p2", 1, age)}
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(1, 4):
            data = make_report("h2", number, copies=copies).to_bytes()
            sender.sendto(data, (LOCAL, context.exchange.port))
    time.sleep(seconds)
    curio.run(receive, context)


async def receive(context):
    task = await curio.spawn(context.exchange.run)
    async with curio.timeout_after(PATIENCE_SECONDS):
        while context.received < 3:
            await curio.sleep(0.01)
    await task.cancel()


@then("the copy is at least {seconds:g} s old for it")
def check_age(context, seconds):
    age = context.freshness.measure_age(TOPIC)
    assert age >= seconds, age
