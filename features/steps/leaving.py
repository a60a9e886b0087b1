"""Steps of endpoints that are leaving."""

import orjson
from behave import given, then, when

from features.builders import wait_until


@given('leaving: {count:d} hosts, engines "{engines}" and a platform\'s list')
def start(context, count, engines):
    world = context.world
    context.list_path = world.folder / "hosts.jsonl"
    context.list_path.write_text("")
    world.start_platform()
    for name in engines.split(", "):
        world.start_engine(name, options=("--load-lag", 0.5))
    world.apply_configuration()
    for number in range(count):
        world.start_host(f"a{number}", "a", host_list=context.list_path)
    key = world.grant_key()
    context.callers = {host: world.get_caller(host, key) for host in world.hosts}
    for host, caller in context.callers.items():
        wait_until(
            lambda caller=caller: caller.request("GET", "/v1/batches").status == 200,
            f"the key works at {host}",
        )


@when('leaving: the engine says that "{name}" is leaving')
def announce_by_engine(context, name):
    context.world.get_standin(name).control(leaving=True)


@when('leaving: the list says that "{name}" is leaving')
def announce_by_list(context, name):
    endpoint = context.world.endpoints[name]
    row = {"name": name, "state": "leaving"}
    row |= {"address": endpoint["address"], "data_centre": "a"}
    context.list_path.write_bytes(orjson.dumps(row) + b"\n")


@when('leaving: the configuration says that "{name}" is leaving')
def announce_by_configuration(context, name):
    context.world.endpoints.pop(name)
    context.world.apply_configuration()


@then("leaving: no host sends it new work")
def check_left_out(context):
    for host in context.world.hosts:
        operator = context.world.get_operator(host)
        wait_until(
            lambda operator=operator: not is_available(operator, "engine-1"),
            f"{host} lists the engine as leaving",
        )
    engine = context.world.get_standin("engine-1").control()
    context.records_before = len(engine["records"])


def is_available(operator, name):
    rows = operator.request("GET", "/endpoints").json["endpoints"]
    endpoint_rows = [row for row in rows if row["endpoint"] == name]
    return any(not row["leaving"] for row in endpoint_rows)


@when("leaving: {count:d} chats are requested from the hosts")
def send_requests(context, count):
    hosts = list(context.callers)
    context.answers = [
        context.callers[hosts[n % len(hosts)]].chat(f"question {n}", max_tokens=2)
        for n in range(count)
    ]


@then('leaving: all were answered and none ran at "{name}"')
def check_unused(context, name):
    assert [a.status for a in context.answers] == [200] * len(context.answers)
    records = context.world.get_standin(name).control()["records"]
    assert len(records) == context.records_before, records
