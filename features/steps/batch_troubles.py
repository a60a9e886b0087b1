"""Steps of what happens to hosts, engines and the platform while batch jobs run."""

from behave import given, when

from features.builders import wait_until
from features.builders.jobs import read_owners


@when('the batch host "{host}" is killed')
def kill_host(context, host):
    context.world.processes[host].kill()


@when("an owner of the batch job is {what} once {count:d} items are settled")
def strike_owner(context, what, count):
    world = context.world
    context.jobs.wait_until_settled("a1", context.job_id, count)
    owners = wait_until(lambda: read_owners(world, context.job_id), "a chunk is owned")
    context.struck = sorted(owners.values())[0]
    context.left = next(name for name in world.hosts if name != context.struck)
    process = world.processes[context.struck]
    strikes = {
        "killed": process.kill,
        "paused": process.pause,
        "terminated": process.terminate,
    }
    strikes[what]()


@given('another batch host "{host}" in data centre "{data_centre}"')
def add_host(context, host, data_centre):
    context.world.start_host(host, data_centre)


@when('the batch host "{host}" is terminated once {count:d} items are settled')
def terminate_host(context, host, count):
    context.jobs.wait_until_settled("b1", context.job_id, count)
    process = context.world.processes[host]
    process.terminate()
    assert process.wait() == 0, process.read_log()


@when('"{host}" has released chunks of which nothing could be started')
def wait_for_release(context, host):
    process = context.world.processes[host]
    wait_until(lambda: "chunk released" in process.read_log(), "chunks are released")


@when('the batch host "{host}" is started again')
def start_again(context, host):
    context.world.start_host(host, host[0])


@when('the engine "{name}" is killed once {count:d} items are settled')
def kill_engine(context, name, count):
    context.jobs.wait_until_settled("b1", context.job_id, count)
    context.world.processes[name].kill()


@when("the platform goes down once {count:d} items are settled")
def stop_platform(context, count):
    context.jobs.wait_until_settled("b1", context.job_id, count)
    context.world.get_standin("platform").control(down=True)


@when("the platform comes back")
def restore_platform(context):
    context.world.get_standin("platform").control(down=False)


@when("the paused batch host wakes")
def wake_host(context):
    context.world.processes[context.struck].resume()
    wait_until(
        lambda: context.jobs.read_job(context.struck, context.job_id).get("id"),
        f"{context.struck} answers again",
    )


@given('a batch host "{host}" that reaches the platform through a proxy')
def start_proxied_host(context, host):
    world = context.world
    listens = world.start_proxy(platform=world.platform_address)
    world.start_host(host, "a", platform=listens["platform"])


@when('the batch host "{host}" is cut off from the platform once it owns a chunk')
def cut_off_owner(context, host):
    world = context.world
    process = world.processes[host]
    wait_until(lambda: "chunk claimed" in process.read_log(), f"{host} owns a chunk")
    context.jobs.wait_until_settled("a1", context.job_id, 1)
    # An owner that has begun nothing has nothing to cancel.
    wait_until(lambda: count_running(world, host), f"{host} runs an item")
    world.set_faults("platform", cut_forward=True, cut_backward=True)


@when('the batch host "{host}" reaches the platform again')
def reconnect_owner(context, host):
    world = context.world
    world.set_faults("platform", cut_forward=False, cut_backward=False, reset=True)
    wait_until(
        lambda: context.jobs.read_job(host, context.job_id).get("id"),
        f"{host} reads the job",
    )


def count_running(world, host):
    """Return how many items a host runs at endpoints; nothing else is asked of it."""
    answer = world.get_operator(host).request("GET", "/endpoints")
    return sum(endpoint["running_here"] for endpoint in answer.json["endpoints"])
