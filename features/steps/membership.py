"""Steps of membership."""

from behave import given, then, when

from features.builders import wait_until
from features.builders.views import DelayedViews, ViewGroup


def split_names(text):
    return text.split(", ")


@given('membership: hosts "{names}" in data centre "{data_centre}"')
def add_hosts(context, names, data_centre):
    if not hasattr(context, "group"):
        context.group = ViewGroup()
    for name in split_names(names):
        context.group.add(name, data_centre)


@when("membership: the hosts exchange for {seconds:d} seconds")
def exchange(context, seconds):
    context.group.run(seconds)


@when('membership: "{names}" exchange for {seconds:d} seconds')
def exchange_some(context, names, seconds):
    context.group.run(seconds, split_names(names))


@when('membership: "{name}" stops')
def stop_host(context, name):
    context.stopped = name


@then('membership: "{names}" have forgotten "{gone}"')
def check_forgotten(context, names, gone):
    for name in split_names(names):
        view = context.group.views[name]
        assert gone not in view._records, name
        assert gone not in [member.name for member in view.list_members()]


@when('membership: "{name}" restarts with incarnation {incarnation:d}')
def restart(context, name, incarnation):
    context.group.add(name, name[0], incarnation)


@then('membership: "{name}" sees the new process of "{other}" as live')
def check_new_process(context, name, other):
    view = context.group.views[name]
    own = context.group.views[other].own
    members = [member for member in view.list_members() if member.name == other]
    assert members == [own], (members, own)


@when('membership: while "{name}" is paused "{names}" exchange for {seconds:d} seconds')
def pause(context, name, names, seconds):
    context.group.run(seconds, split_names(names))


@then('membership: "{names}" do not list "{other}"')
def check_not_listed(context, names, other):
    for name in split_names(names):
        listed = [m.name for m in context.group.views[name].list_members()]
        assert other not in listed, (name, listed)


def check_lists(context, name, names):
    listed = [m.name for m in context.group.views[name].list_members()]
    assert listed == split_names(names), (name, listed)


@then('membership: every host lists "{names}"')
def check_all_list(context, names):
    for name in context.group.views:
        check_lists(context, name, names)


@then('membership: "{name}" lists "{names}"')
def check_one_lists(context, name, names):
    check_lists(context, name, names)


@when(
    'membership: the hosts exchange for {seconds:d} seconds, "{a}" not reaching "{b}"'
)
def exchange_one_way(context, seconds, a, b):
    context.group.run(seconds, blocked={(a, b)})


@when(
    'membership: "{name}" publishes "{wide}" to all'
    ' and "{narrow}" to its own data centre'
)
def publish(context, name, wide, narrow):
    view = context.group.views[name]
    view.publish(wide, b"far")
    view.publish(narrow, b"near", all_data_centres=False)


@then('membership: "{name}" reads "{wide}" of "{other}" and no "{narrow}"')
def check_reads(context, name, wide, other, narrow):
    view = context.group.views[name]
    assert view.read(other, wide) == b"far"
    assert view.read(other, narrow) is None


@when('membership: the hosts exchange for {seconds:d} seconds with "{cut_off}" cut off')
def exchange_cut(context, seconds, cut_off):
    views = context.group.views
    blocked = {
        (a, b)
        for a in views
        for b in views
        if (views[a].own.data_centre == cut_off)
        != (views[b].own.data_centre == cut_off)
    }
    context.group.run(seconds, blocked=blocked)


@given("membership: three real hosts in two data centres")
def start_real_hosts(context):
    world = context.world
    world.start_platform()
    world.start_engine("engine-1")
    world.apply_configuration()
    for host in ("a1", "a2", "b1"):
        world.start_host(host, host[0])
    check_real_hosts(context, "a1, a2, b1")


@when('membership: host "{name}" is killed')
def kill_host(context, name):
    context.world.processes[name].kill()


@when('membership: host "{name}" is started again')
def restart_host(context, name):
    context.world.start_host(name, name[0])


@then('membership: the real hosts list "{names}"')
def check_real_hosts(context, names):
    for name in split_names(names):
        operator = context.world.get_operator(name)
        wait_until(
            lambda operator=operator: (
                operator.request("GET", "/state").json["members"] == split_names(names)
            ),
            f"{name} lists {names}",
        )


@given("membership: {count:d} hosts whose requests and replies take {transit:g} s each")
def make_delayed_views(context, count, transit):
    context.delayed = DelayedViews(count, transit)
    context.elapsed = 0.0


@when("membership: they exchange for {seconds:g} s")
def run_delayed(context, seconds):
    context.delayed.run(seconds)
    context.elapsed += seconds


@when("membership: nothing has arrived from there for {seconds:g} s")
def run_delayed_until(context, seconds):
    run_delayed(context, seconds - context.elapsed)


@then("membership: {count:d} of them list the other data centre's host as live")
def check_live(context, count):
    assert context.delayed.count_live("b1") == count, context.delayed.count_live("b1")
