"""Steps of batch work of hosts that lose their way to endpoints."""

from behave import given

from features.builders import wait_until
from features.builders.hostlinks import HostLinks
from features.builders.jobs import JobCaller

SETTINGS = """
[batch]
chunk_items = 10
concurrency = 8
lease_seconds = 2
poll_seconds = 0.1
commit_seconds = 0.3
backoff_seconds = 0.1
"""


@given('a batch fleet whose hosts "{names}" have links to two engines')
def start_fleet(context, names):
    world = context.world
    world.start_platform()
    world.start_engine("e1")
    world.start_engine("e2")
    world.start_service("desk-service")
    world.accounts = [("desk", 1000, 1000)]
    world.extra = SETTINGS
    context.links = HostLinks(world)
    world.apply_configuration()
    hosts = names.split(", ")
    for name in hosts:
        world.reserve_host(name)
    for name in hosts:
        context.links.start_host(name, ready=False)
    context.jobs = JobCaller(world, world.grant_key())
    for name in hosts:
        world.wait_until_ready(name)
        wait_until(lambda name=name: is_complete(context, name), f"{name} knows all")


def is_complete(context, host):
    answer = context.jobs.get_caller(host).request("GET", "/v1/batches")
    members = context.world.read_state(host)["members"]
    return answer.status == 200 and len(members) == len(context.world.hosts)


@given('"{names}", which fill the engines, are cut off from all endpoints')
def cut(context, names):
    for name in names.split(", "):
        context.links.cut(name, "reset")
