"""Steps of cuts between data centres and of calls passed on."""

from threading import Timer

from behave import given, then, when

from features.builders import StreamReader, wait_until
from features.builders.chats import ask_chats, check_whole

CUT = {"cut_forward": True, "cut_backward": True}
HEALED = {"cut_forward": False, "cut_backward": False}
TOKENS = 6


@given(
    "cuts: two data centres, each with a host, an engine and a link to the others",
)
def start_two(context):
    world = context.world
    world.start_platform()
    world.start_engine("engine-a", "a")
    world.start_engine("engine-b", "b")
    world.start_service("desk-b", "b")
    world.routes.append(
        {
            "name": "bookings",
            "path": "/bookings/*",
            "kind": "service",
            "endpoints": "desk-b",
            "deadline": 8,
        }
    )
    world.apply_configuration()
    for host in ("a", "b"):
        world.hosts[f"{host}1"] = [world.take_port() for _ in range(3)]
    links = {f"to-{h}": f"{world.address}:{world.hosts[h + '1'][1]}" for h in "ab"}
    links |= {f"platform-{h}": world.platform_address for h in "ab"}
    listens = world.start_proxy(**links)
    seeds = [listens["to-a"], listens["to-b"]]
    for host in "ab":
        world.start_host(
            f"{host}1",
            host,
            platform=listens[f"platform-{host}"],
            seeds=seeds,
            advertised=listens[f"to-{host}"],
        )
    key = world.grant_key()
    context.callers = {h: world.get_caller(f"{h}1", key) for h in "ab"}
    for host, caller in context.callers.items():
        wait_until(
            lambda caller=caller: caller.request("GET", "/v1/batches").status == 200,
            f"the key works at {host}",
        )
    check_members(context)


@given('cuts: the engine of "{data_centre}" is killed')
@when('cuts: the engine of "{data_centre}" dies after that')
def kill_engine(context, data_centre):
    context.world.processes[f"engine-{data_centre}"].kill()


@when('cuts: {chats:d} chats and {streams:d} streams are asked for at "{host}"')
def ask(context, chats, streams, host):
    prompts = [f"{host} question {number}" for number in range(chats + streams)]
    context.asked = ask_chats(context.callers[host], prompts, streams, TOKENS)


@then("cuts: each got its own whole answer")
def check_answers(context):
    check_whole(context.asked, TOKENS)


@then('cuts: the engine of "{data_centre}" saw no key')
def check_no_key(context, data_centre):
    records = context.world.get_standin(f"engine-{data_centre}").control()["records"]
    assert records
    assert not [r for r in records if "authorization" in r["headers"]]


@when('cuts: a caller at "{host}" begins a stream of {count:d} tokens and hangs up')
def hang_up(context, host, count):
    stream = StreamReader(context.callers[host], "a story not heard out", count)
    stream.read_some()
    stream._connection.sock.close()
    stream._response.close()


@then('cuts: the engine of "{data_centre}" runs nothing and noted a cancellation')
def check_cancelled(context, data_centre):
    engine = context.world.get_standin(f"engine-{data_centre}")

    def is_cancelled():
        state = engine.control()
        cancelled = [r for r in state["records"] if r["what"] == "cancelled"]
        return cancelled and not state["running"]

    wait_until(is_cancelled, "the generation is cancelled")


@given('cuts: the links to "b" are reset while the service answers slowly')
def reset_slow(context):
    context.world.get_standin("desk-b").control(delay=1.0)
    timer = Timer(0.5, context.world.set_faults, ["to-b"], {"reset": True})
    timer.daemon = True
    context.timer = timer


@when('cuts: a booking is posted at "{host}" for the service of "b"')
def post_booking(context, host):
    context.timer.start()
    headers = {"X-Reference": "one"}
    context.answer = context.callers[host].request(
        "POST", "/bookings/one", b"one", headers
    )


@then('cuts: it is refused with executed "{executed}" and ran at most once')
def check_booking(context, executed):
    assert context.answer.json["error"]["executed"] == executed, context.answer
    runs = context.world.get_standin("desk-b").control()["runs"]
    assert runs.get("POST one", 0) <= 1, runs


@given("cuts: all links between the data centres are cut")
def cut_links(context):
    context.cut = ["to-a", "to-b"]
    for link in context.cut:
        context.world.set_faults(link, **CUT)
    wait_until_alone(context, "ab")


@given('cuts: only the links towards "b" are cut one way')
def cut_one_way(context):
    context.cut = ["to-b"]
    context.world.set_faults("to-b", cut_backward=True)


@given("cuts: everything is cut, the platform with it")
def cut_everything(context):
    context.cut = ["to-a", "to-b", "platform-a", "platform-b"]
    for link in context.cut:
        context.world.set_faults(link, **CUT)
    wait_until_alone(context, "ab")


def list_members(context, host):
    operator = context.world.get_operator(f"{host}1")
    return operator.request("GET", "/state").json["members"]


def wait_until_alone(context, hosts):
    for host in hosts:
        wait_until(
            lambda host=host: list_members(context, host) == [f"{host}1"],
            f"{host} is alone",
        )


@when("cuts: the cut heals")
def heal(context):
    for link in context.cut:
        context.world.set_faults(link, **HEALED)


@then("cuts: the hosts know each other again")
def check_members(context):
    for host in "ab":
        wait_until(
            lambda host=host: list_members(context, host) == ["a1", "b1"],
            f"{host} knows all hosts",
        )


@when('cuts: a chat is asked for at "{host}"')
def ask_one(context, host):
    context.answer = context.callers[host].chat("nobody can", max_tokens=2)


@then("cuts: it is refused as not run")
def check_refused(context):
    error = context.answer.json["error"]
    assert error["executed"] == "no", error
    assert context.answer.status in (502, 503), context.answer
