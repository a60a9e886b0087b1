"""Steps of the distribution of configuration."""

import subprocess
import sys

import orjson
from behave import given, then, when

from features.builders import wait_until
from mangogauge.distribution import rank_relays


@given('a fleet whose hosts "{names}" can be cut off')
def start_fleet(context, names):
    world = context.world
    world.start_platform()
    world.start_engine("engine-a", "a")
    world.start_engine("engine-b", "b")
    world.apply_configuration()
    world.start_hosts_behind_proxy(**{name: name[0] for name in names.split()})
    context.cut_off = set()


def apply_changed(context, *options, rate=50):
    world = context.world
    world.accounts = [("desk", rate, 100)]
    paths = world.write_configuration()
    context.outcome = world.run_for_code(
        "config", "apply", *paths, "--platform", world.platform_address, *options
    )
    return context.outcome


@when("an operator applies a changed configuration and waits")
def apply_and_wait(context):
    apply_changed(context, "--wait", "--secret-file", context.world.folder / "secret")


@when("an operator applies a changed configuration")
def apply_without_waiting(context):
    assert apply_changed(context).code == 0, context.outcome


@then('the command says that version {version:d} is in force on "{names}"')
def check_in_force(context, version, names):
    assert context.outcome.code == 0, context.outcome
    answer = context.outcome.json
    assert answer["version"] == version, answer
    assert answer["in_force_on"] == names.split(), answer
    for name in names.split():
        state = context.world.read_state(name)
        assert state["configuration_version"] == version, state


@when("two operators apply changes made from version 1")
def race_operators(context):
    world = context.world
    racers = []
    for rate in (41, 42):
        world.accounts = [("desk", rate, 100)]
        paths = [str(path) for path in world.write_configuration()]
        copy = world.folder / f"base-{rate}.ini"
        copy.write_text((world.folder / "base.ini").read_text())
        arguments = ["config", "apply", str(copy), *paths[1:]]
        arguments += ["--platform", world.platform_address, "--expected-version", "1"]
        command = [sys.executable, "-m", "mangogauge", *arguments]
        racers.append(
            subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        )
    context.racers = [(r.communicate(), r.returncode) for r in racers]


@then("one has recorded version 2 and the other is shown the difference")
def check_race(context):
    codes = sorted(code for _, code in context.racers)
    assert codes == [0, 4], context.racers
    winner = next(out for out, code in context.racers if code == 0)
    loser = next(out for out, code in context.racers if code == 4)
    assert orjson.loads(winner[0])["version"] == 2
    assert b"+rate = 4" in loser[1] and b"-rate = 4" in loser[1], loser


@when("the platform loses the answer of the next write")
def lose_answer(context):
    context.world.get_standin("platform").control(lose_answers=1)


@when("an operator rolls back to version {version:d}")
def roll_back(context, version):
    context.outcome = context.world.run_for_code(
        "config", "rollback", version, "--platform", context.world.platform_address
    )
    assert context.outcome.code == 0, context.outcome


def read_current(context):
    platform = context.world.platform_address
    return context.world.run("config", "show", "--platform", platform, "--json")


@then("version {version:d} with the files of version 1 is current")
def check_rolled_back(context, version):
    current = read_current(context)
    assert current["version"] == version, current["version"]
    assert "rate = 100" in current["base"]


@when("an operator applies a configuration with a mistake")
def apply_mistake(context):
    apply_changed(context, rate="many")


@then("the command fails with code {code:d} and version {version:d} is current")
def check_refused(context, code, version):
    assert context.outcome.code == code, context.outcome
    assert "base.ini [account desk] rate: read 'many'" in context.outcome.errors
    assert read_current(context)["version"] == version


@when('the relay among "{names}" is {what}')
def break_relay(context, names, what):
    relay = rank_relays(names.split(), names[0])[0]
    context.cut_off.add(relay)
    if what == "killed":
        context.world.processes[relay].kill()
    elif what == "paused":
        context.world.processes[relay].pause()
    else:
        cut_platform(context, relay)
        # It learns from its peers, so it is among the hosts to be looked at.
        context.cut_off.clear()


@then("the other hosts have version {version:d} in force")
def check_others(context, version):
    for name in set(context.world.hosts) - context.cut_off:
        check_version(context, name, version)


@then('host "{name}" has version {version:d} in force')
def check_version(context, name, version):
    wait_until(
        lambda: context.world.read_state(name)["configuration_version"] == version,
        f"{name} has version {version}",
    )


@when('host "{name}" is cut off from the platform')
def cut_platform(context, name):
    context.world.set_faults(
        f"{name}-platform", cut_forward=True, cut_backward=True, refuse=True, reset=True
    )


@when("the platform goes down")
def stop_platform(context):
    context.world.get_standin("platform").control(down=True)


@when('host "{name}" is killed and started again')
def restart_host(context, name):
    context.world.processes[name].kill()
    context.world.start_host_behind_proxy(name, name[0])


@when('host "{name}" is paused')
def pause_host(context, name):
    context.world.processes[name].pause()


@when('host "{name}" is resumed')
def resume_host(context, name):
    context.world.processes[name].resume()
