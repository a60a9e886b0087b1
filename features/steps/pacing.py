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
def wait_long(context, seconds):
    context.pacing.note_sent()
    context.clock.advance(seconds)


@then("a change waits {milliseconds:d} ms")
def check_wait(context, milliseconds):
    wait = context.pacing.measure_wait(context.hosts)
    assert wait == milliseconds / 1000, wait


@when("something changes every 5 ms for {seconds:g} s")
def change_often(context, seconds):
    if hasattr(context, "exchange"):
        curio.run(play_changes, context, seconds)
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
class Hearer:
    """A host that only hears."""

    member = field()
    sock = field()
    numbers = field(factory=list)
    last = field(default=None)

    async def hear(self):
        while True:
            data, _ = await self.sock.recvfrom(DATAGRAM_BYTES)
            [self.last] = decode(data)
            self.numbers.append(self.last.number)


def make_hearer(name):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((LOCAL, 0))
    address = f"{LOCAL}:{sock.getsockname()[1]}"
    return Hearer(FleetMember(name, "1", "a", address), sock)


async def ignore_report(report):
    """Do nothing with another host's report."""


@given("an exchange of reports with {others:d} other hosts")
def make_exchange(context, others):
    context.hearers = [make_hearer(f"h{n}") for n in range(others)]
    clock = SystemClock()
    context.board = ReportTable("own", "1", clock)
    members = MemberDirectory(FleetMember("own", "1", "a"), clock)
    members.apply_snapshot(
        [
            KeyValue(MemberDirectory.prefix + h.member.name, h.member.to_bytes())
            for h in context.hearers
        ]
    )
    context.exchange = ReportExchange(
        context.board,
        members,
        ReportTopology(members, context.board, random.Random(1)),
        clock,
        lambda: context.board.make_report({}, (), {}),
        lambda: None,
        ignore_report,
        ignore_report,
    )
    context.exchange.bind(LOCAL, [0])


async def play_changes(context, seconds):
    tasks = [await curio.spawn(hearer.hear) for hearer in context.hearers]
    tasks.append(await curio.spawn(context.exchange.run))
    for _ in range(round(seconds / CHANGE_SECONDS)):
        context.board.begin("e1")
        await context.exchange.note_change()
        await curio.sleep(CHANGE_SECONDS)
    context.started = context.board.get_own("e1").online
    context.heard = {h.member.name: len(h.numbers) for h in context.hearers}
    await curio.sleep(SETTLE_SECONDS)
    for task in tasks:
        await task.cancel()


@then("each host has heard fewer reports than there were changes")
def check_heard(context):
    most = max(context.heard.values())
    assert 0 < most < context.started, (most, context.started)


@then("the last change has reached all of them")
def check_last(context):
    heard = {h.last.loads["e1"].online for h in context.hearers}
    assert heard == {context.started}, heard


@when("a host reports to it that it doesn't know")
def report_unknown(context):
    context.stranger = make_hearer("stranger")
    curio.run(play_stranger, context)


async def play_stranger(context):
    exchange, stranger = context.exchange, context.stranger
    tasks = [await curio.spawn(exchange.run), await curio.spawn(stranger.hear)]
    report = HostReport("stranger", "1", 1).to_bytes()
    await stranger.sock.sendto(report, (LOCAL, exchange.port))
    await curio.sleep(SETTLE_SECONDS)
    for task in tasks:
        await task.cancel()


@then("that host has heard a report")
def check_stranger(context):
    assert context.stranger.last is not None
    assert context.stranger.last.host == "own"
