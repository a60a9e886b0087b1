"""Steps of how often hosts report to each other."""

import random

import curio
from attrs import define, field
from behave import given, then, when
from curio import socket

from mangogauge.clock import ManualClock, SystemClock
from mangogauge.fleet import FleetMember, MemberDirectory
from mangogauge.sharing import HostReport, ReportExchange, ReportTable, ReportTopology
from mangogauge.sharing.messages import decode
from mangogauge.sharing.pacing import ReportPacing
from mangogauge.store import KeyValue

LOCAL = "127.0.0.1"
CHANGE_SECONDS = 0.005
SETTLE_SECONDS = 0.6
DATAGRAM_BYTES = 65_000


@given("a host that reports to {hosts:d} others")
def make_pacing(context, hosts):
    context.clock = ManualClock()
    context.hosts = hosts
    context.pacing = ReportPacing(context.clock)


@when("it has sent no report for {seconds:g} s")
def wait_without_report(context, seconds):
    context.pacing.note_sent()
    context.clock.advance(seconds)


@then("a change waits {milliseconds:d} ms")
def check_wait(context, milliseconds):
    wait = context.pacing.measure_wait(context.hosts)
    assert wait == milliseconds / 1000, wait


@when("something changes every 5 ms for {seconds:g} s")
def change_often(context, seconds):
    if hasattr(context, "exchange"):
        curio.run(run_changes, context, seconds)
        return
    clock = context.clock
    due_at = None
    context.sent = 0
    while clock.read_elapsed() < seconds:
        if due_at is None:
            due_at = clock.read_elapsed() + context.pacing.measure_wait(context.hosts)
        clock.advance(CHANGE_SECONDS)
        if clock.read_elapsed() >= due_at:
            context.pacing.note_sent()
            context.sent += 1
            due_at = None


@then("it has sent {least:d} to {most:d} reports")
def check_sent(context, least, most):
    assert least <= context.sent <= most, context.sent


@define(eq=False)
class ReportReceiver:
    """A host that only receives reports."""

    member = field()
    sock = field()
    numbers = field(factory=list)
    last = field(default=None)

    async def receive(self):
        while True:
            data, _ = await self.sock.recvfrom(DATAGRAM_BYTES)
            [self.last] = decode(data)
            self.numbers.append(self.last.number)


def make_receiver(name):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((LOCAL, 0))
    address = f"{LOCAL}:{sock.getsockname()[1]}"
    return ReportReceiver(FleetMember(name, "1", "a", address), sock)


async def ignore_report(report):
    """Do nothing with another host's report."""


@given("an exchange of reports with {others:d} other hosts")
def make_exchange(context, others):
    context.receivers = [make_receiver(f"h{n}") for n in range(others)]
    clock = SystemClock()
    context.report_table = ReportTable("own", "1", clock)
    members = MemberDirectory(FleetMember("own", "1", "a"), clock)
    members.apply_snapshot(
        [
            KeyValue(MemberDirectory.prefix + h.member.name, h.member.to_bytes())
            for h in context.receivers
        ]
    )
    context.exchange = ReportExchange(
        context.report_table,
        members,
        ReportTopology(members, context.report_table, random.Random(1)),
        clock,
        lambda: context.report_table.make_report({}, (), {}),
        lambda: None,
        ignore_report,
        ignore_report,
        {},
    )
    context.exchange.bind(LOCAL, [0])


async def run_changes(context, seconds):
    tasks = [await curio.spawn(receiver.receive) for receiver in context.receivers]
    tasks.append(await curio.spawn(context.exchange.run))
    for _ in range(round(seconds / CHANGE_SECONDS)):
        context.report_table.begin("e1")
        await context.exchange.note_change()
        await curio.sleep(CHANGE_SECONDS)
    context.changes = context.report_table.get_own("e1").online
    context.received = {h.member.name: len(h.numbers) for h in context.receivers}
    await curio.sleep(SETTLE_SECONDS)
    for task in tasks:
        await task.cancel()


@then("each host has received fewer reports than there were changes")
def check_received(context):
    most = max(context.received.values())
    assert 0 < most < context.changes, (most, context.changes)


@then("the last change has reached all of them")
def check_last(context):
    received = {h.last.loads["e1"].online for h in context.receivers}
    assert received == {context.changes}, received


@when("a host that is not registered reports to it")
def report_unregistered(context):
    context.unregistered = make_receiver("unregistered")
    curio.run(run_unregistered, context)


async def run_unregistered(context):
    exchange, unregistered = context.exchange, context.unregistered
    tasks = [await curio.spawn(exchange.run), await curio.spawn(unregistered.receive)]
    report = HostReport("unregistered", "1", 1).to_bytes()
    await unregistered.sock.sendto(report, (LOCAL, exchange.port))
    await curio.sleep(SETTLE_SECONDS)
    for task in tasks:
        await task.cancel()


@then("that host has received a report")
def check_unregistered(context):
    assert context.unregistered.last is not None
    assert context.unregistered.last.host == "own"
