"""Steps for the rate limits of a fleet of real processes."""

import threading
import time

from behave import given, then, when

from features.builders import wait_until
from features.builders.bounds import check_bound, read_admissions
from features.builders.load import send_load

ACCOUNT = "desk"
LIMITS = {
    "lease_seconds": 2,
    "outage_horizon": 3,
    "loan_seconds": 1,
    "slots": 4,
}
LOAD_REQUESTS = 60


@given('limits settings of "{option} = {value}"')
def set_limits(context, option, value):
    context.limits = {option: value}


@given('a limits fleet of hosts "{hosts}" with rate {rate:d} and burst {burst:d}')
def start_fleet(context, hosts, rate, burst):
    world = context.world
    world.start_platform()
    # Endpoints are reached from their own data centre; each has one.
    world.start_service("desk-service", "a")
    world.start_service("desk-service-b", "b")
    world.routes.append(
        {
            "name": "bookings",
            "path": "/bookings/*",
            "kind": "service",
            "endpoints": "desk-service, desk-service-b",
            "repeatable": "GET",
        }
    )
    options = {**LIMITS, **getattr(context, "limits", {})}
    lines = "".join(f"{name} = {value}\n" for name, value in options.items())
    world.extra = f"[limits]\n{lines}"
    world.accounts = [(ACCOUNT, rate, burst)]
    context.rate, context.burst = rate, burst
    context.names = hosts.split()
    world.apply_configuration()
    make_links(world, [*context.names, "a2", "a3"])
    for name in context.names:
        start_host(world, name, ready=False)
    for name in context.names:
        world.wait_until_ready(name)
    context.key = grant_working_key(context, ACCOUNT)
    wait_until(lambda: holds_all(context, "a"), "the slots are held")
    wait_until(lambda: holds_all(context, "b"), "the slots are held")


@given('another limits account "{account}" with rate {rate:d} and burst {burst:d}')
def add_account(context, account, rate, burst):
    context.world.accounts.append((account, rate, burst))
    version = context.world.apply_configuration()
    wait_for_version(context, version)
    context.other_key = grant_working_key(context, account)


@when('the limits callers send {count:d} requests to each of "{hosts}"')
def send_requests(context, count, hosts):
    context.load = send_load(context.world, context.key, hosts.split(), count)


@when('the limits callers send 1 request to each of "{hosts}" in turn')
def send_in_turn(context, hosts):
    context.statuses = [
        context.world.get_caller(host, context.key).request("GET", "/bookings/1").status
        for host in hosts.split()
    ]


@when('the limits callers send {count:d} requests while "{account}" sends {few:d}')
def send_under_load(context, count, account, few):
    load = threading.Thread(
        target=send_load, args=(context.world, context.key, ["a1", "b1"], count)
    )
    load.start()
    caller = context.world.get_caller("b1", context.other_key)
    context.statuses = []
    for _ in range(few):
        context.statuses.append(caller.request("GET", "/bookings/1").status)
        time.sleep(0.2)
    load.join()


@when('limits host "{name}" is killed under load on "{hosts}"')
def kill_host(context, name, hosts):
    run_under_load(context, hosts, context.world.processes[name].kill)


@when('limits host "{name}" is paused under load on "{hosts}"')
def pause_host(context, name, hosts):
    send_load(context.world, context.key, hosts.split(), LOAD_REQUESTS)
    context.world.processes[name].pause()
    others = [host for host in hosts.split() if host != name]
    send_load(context.world, context.key, others, LOAD_REQUESTS)


@when('limits host "{name}" is resumed under load on "{hosts}"')
def resume_host(context, name, hosts):
    run_under_load(context, hosts, context.world.processes[name].resume)


@when('limits host "{name}" is restarted')
@when('limits host "{name}" joins with its earlier settings')
def start_existing_host(context, name):
    start_host(context.world, name, ready=False)


@when('limits host "{name}" joins under load on "{hosts}"')
def join_host(context, name, hosts):
    run_under_load(
        context, hosts, lambda: start_host(context.world, name, ready=False), rounds=3
    )
    context.world.wait_until_ready(name)


@when('limits host "{name}" leaves')
def stop_host(context, name):
    process = context.world.processes[name]
    process.terminate()
    process.wait()


@when("the limits platform goes down and the leases expire")
def stop_platform(context):
    context.world.get_standin("platform").control(expire_leases=True, down=True)
    time.sleep(LIMITS["lease_seconds"])


@when("the limits platform recovers")
def restore_platform(context):
    context.world.get_standin("platform").control(down=False)


@when('limits data centre "{data_centre}" is partitioned')
def partition_data_centre(context, data_centre):
    set_partition(context, data_centre, True)
    time.sleep(LIMITS["lease_seconds"])


@when('limits data centre "{data_centre}" is reconnected')
def rejoin_data_centre(context, data_centre):
    set_partition(context, data_centre, False)


@when('limits answers are lost under load on "{hosts}"')
def lose_answers(context, hosts):
    world = context.world

    def lose():
        world.get_standin("platform").control(lose_answers=3, expire_leases=True)
        for name in hosts.split():
            world.set_faults(f"peer-{name}", lose_answers=4, reset=True)

    run_under_load(context, hosts, lose, rounds=3)


@when("the limits account's rate becomes {rate:d} and its burst {burst:d} under load")
def lower_rate(context, rate, burst):
    world = context.world
    world.accounts = [(ACCOUNT, rate, burst)]
    context.lowered = (rate, burst)
    hosts = " ".join(context.names)
    run_under_load(
        context, hosts, lambda: wait_for_version(context, apply_accounts(world))
    )
    context.in_force_at = time.clock_gettime(time.CLOCK_BOOTTIME)

    def has_admitted():
        send_load(world, context.key, context.names, LOAD_REQUESTS)
        return len(read_lowered_admissions(context)) > 2 * burst

    wait_until(has_admitted, "requests are admitted at the lowered rate")


@when("the limits account is removed")
def remove_account(context):
    context.world.accounts = [("museum", 1, 1)]
    wait_for_version(context, apply_accounts(context.world))


@then('more than {count:d} were admitted at "{host}"')
def check_admitted(context, count, host):
    assert context.load.count(host) > count, context.load


@then("each of them was admitted")
def check_all_admitted(context):
    assert set(context.statuses) == {200}, context.statuses


@then('every request of "{account}" was admitted')
def check_account_admitted(context, account):
    assert set(context.statuses) == {200}, context.statuses


@then("a refused request has status 429, executed no and a retry time")
def check_refusal(context):
    caller = context.world.get_caller("a1", context.key)

    def read_refusal():
        answer = caller.request("GET", "/bookings/1")
        return answer if answer.status == 429 else None

    answer = wait_until(read_refusal, "a refusal")
    assert answer.json["error"]["executed"] == "no", answer
    assert answer.json["error"]["retry_after"] > 0, answer
    assert int(answer.headers["retry-after"]) >= 1, answer


@then('host "{name}" eventually holds every limits slot of its data centre')
def check_holds_all_slots(context, name):
    wait_until(lambda: count_held(context, [name]) == 4, f"{name} holds all slots")


@then('hosts "{names}" eventually share all limits slots')
def check_slots_shared(context, names):
    def is_shared():
        held = [count_held(context, [name]) for name in names.split()]
        return sum(held) == LIMITS["slots"] and all(held)

    wait_until(is_shared, "the slots are shared")


@then('the limits callers are still served at "{hosts}"')
def check_served(context, hosts):
    # Enough requests at once to detect hosts that each admit the whole burst.
    send_load(context.world, context.key, hosts.split(), LOAD_REQUESTS)
    for host in hosts.split():
        wait_until(
            lambda host=host: send_load(context.world, context.key, [host], 4, 1).count(
                host
            ),
            f"{host} admits",
        )


@then("no limits request is admitted any more")
def check_none_admitted(context):
    load = send_load(context.world, context.key, context.names, 8)
    assert not any(load.count(host) for host in context.names), load


@then("the limits bound holds")
def check_fleet_bound(context):
    admissions = read_all_admissions(context)
    assert admissions, "nothing was admitted"
    check_bound(admissions, context.rate, context.burst)


@then("the lowered limits bound holds once it is in force everywhere")
def check_lowered(context):
    check_bound(read_lowered_admissions(context), *context.lowered)


def read_all_admissions(context):
    logs = [process.read_log() for process in context.world.processes.values()]
    return read_admissions(logs, ACCOUNT)


def read_lowered_admissions(context):
    return [a for a in read_all_admissions(context) if a[0] >= context.in_force_at]


def make_links(world, names):
    """Start proxies in front of the platform and of each host's peer port."""
    links = {}
    for name in dict.fromkeys(names):
        world.hosts[name] = [world.take_port() for _ in range(3)]
        links[f"platform-{name}"] = world.platform_address
        links[f"peer-{name}"] = f"{world.address}:{world.hosts[name][1]}"
    world.links = world.start_proxy(**links)


def start_host(world, name, ready=True):
    seeds = [world.links["peer-a1"], world.links["peer-b1"]]
    world.start_host(
        name,
        name[0],
        platform=world.links[f"platform-{name}"],
        seeds=seeds,
        ready=ready,
        advertised=world.links[f"peer-{name}"],
    )


def set_partition(context, data_centre, cut):
    """Partition or reconnect a data centre that has one host only."""
    changes = {"cut_forward": cut, "cut_backward": cut}
    context.world.set_faults(f"platform-{data_centre}1", **changes)
    for name in context.names:
        context.world.set_faults(f"peer-{name}", **changes)


def run_under_load(context, hosts, action, rounds=1):
    """Run `action` while the hosts are under load, then load them `rounds` times."""
    load = threading.Thread(
        target=send_load,
        args=(context.world, context.key, hosts.split(), LOAD_REQUESTS),
    )
    load.start()
    action()
    load.join()
    for _ in range(rounds):
        send_load(context.world, context.key, hosts.split(), LOAD_REQUESTS)


def apply_accounts(world):
    return world.apply_configuration()


def wait_for_version(context, version):
    def is_in_force():
        return all(
            read_state(context, name, "/state")["configuration_version"] >= version
            for name in context.names
        )

    wait_until(is_in_force, "the configuration is in force")


def read_state(context, name, path):
    return context.world.get_operator(name).request("GET", path).json


def count_held(context, names):
    held = [read_state(context, name, "/limits")["held"] for name in names]
    return sum(len(set(h["durable"]) & set(h["leased"])) for h in held)


def holds_all(context, data_centre):
    names = [name for name in context.names if name[0] == data_centre]
    return count_held(context, names) == LIMITS["slots"]


def grant_working_key(context, account):
    """Return a new key that works at every host."""
    key = context.world.grant_key(account)
    for name in context.names:
        caller = context.world.get_caller(name, key)
        wait_until(
            lambda caller=caller: caller.request("GET", "/v1/batches").status == 200,
            f"the key works at {name}",
        )
    return key
