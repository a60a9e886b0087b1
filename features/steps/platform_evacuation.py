"""Steps of evacuated data centres and of regions, with real hosts."""

from behave import given, then, when

from features.builders import wait_until
from features.builders.platform import PlatformDeployment
from features.builders.platform.deployment import read_answer
from features.steps.platform import take_store_away, wait_until_known
from features.steps.platform_jobs import read_all

REQUESTS_EACH = 12
EVACUATED = '"data centre evacuated"'
REVOKED = '"evacuation revoked"'


@given('the endpoint "{name}" of the data centre "{data_centre}"')
def start_endpoint(context, name, data_centre):
    context.deployment.start_endpoint(name, zone=data_centre)
    wait_until_known(context, name)


@given('the platform with the endpoint "{endpoint}" and the host "{host}", {regions}')
def start_with_regions(context, endpoint, host, regions):
    deployment = context.deployment = PlatformDeployment(context.world)
    deployment.regions = dict(part.split(" = ") for part in regions.split(", "))
    deployment.write_configuration()
    deployment.start_endpoint(endpoint)
    deployment.start_host(host)


def wait_for_line(context, hosts, text):
    for host in hosts.split(", "):
        process = context.world.processes[host]
        wait_until(
            lambda process=process: text in process.read_log(), f"{host} logs {text}"
        )


@when('the data centre "{name}" is evacuated, as "{hosts}" notice')
def evacuate(context, name, hosts):
    context.deployment.put(f"op/evacuate/{name}", "{}")
    wait_for_line(context, hosts, EVACUATED)


@when('the evacuation of "{name}" is revoked, as "{hosts}" notice')
def revoke(context, name, hosts):
    context.deployment.control("store", delete=[f"op/evacuate/{name}"])
    wait_for_line(context, hosts, REVOKED)


@when('the host "{name}" starts')
def start_host(context, name):
    context.deployment.start_host(name)


@when("the store goes away")
def lose_store(context):
    take_store_away(context)
    wait_for_line(context, "h1", '"store lost"')


def ask_hosts(context, hosts):
    deployment = context.deployment
    before = len(deployment.list_arrivals())
    answers = [
        deployment.ask(host, "/ask/1", f"{host}-{before}-{number}", 2)
        for host in hosts.split(", ")
        for number in range(REQUESTS_EACH)
    ]
    bad = [a for a in answers if a.status != 200 or not a.whole]
    assert not bad, bad
    ids = {f"-{before}-{number}" for number in range(REQUESTS_EACH)}
    return {
        row["endpoint"]
        for row in deployment.list_arrivals()
        if any(row["request_id"].endswith(end) for end in ids)
    }


@then('requests to "{hosts}" run at "{endpoint}" only')
def check_only(context, hosts, endpoint):
    used = ask_hosts(context, hosts)
    assert used == {endpoint}, used


@then('requests to "{hosts}" run at "{endpoints}"')
def check_used(context, hosts, endpoints):
    expected = set(endpoints.split(", "))
    # A local endpoint is preferred while few requests run.
    connections = [
        context.deployment.open(hosts, "/ask/1", f"open{n}", 50) for n in range(8)
    ]
    try:
        used = {row["endpoint"] for row in context.deployment.list_arrivals()}
        wait_until(
            lambda: (
                {row["endpoint"] for row in context.deployment.list_arrivals()}
                >= expected
            ),
            f"requests run at {endpoints}, not only at {used}",
        )
    finally:
        for connection in connections:
            connection.close()


@then('the metrics of "{host}" tell of {count:d} evacuated data centre')
def check_metrics(context, host, count):
    texts = (
        f"mangogauge_data_centres_evacuated {count}.0",
        f'mangogauge_endpoints_ineligible{{reason="evacuated"}} {count}.0',
    )
    wait_until(
        lambda: all(t in context.deployment.read_metrics(host) for t in texts),
        f"the metrics of {host} tell of the evacuation",
    )


@when('"{account}" opens a stream of {count:d} events at "{host}"')
def open_stream(context, account, count, host):
    context.stream = context.deployment.open(
        host, "/ask/1", "q1", count, key=f"{account}-key"
    )
    context.expected = [f"q1-{n}" for n in range(1, count + 1)]
    wait_until(context.deployment.list_arrivals, "the stream has begun")


@then("the stream is whole")
def check_stream(context):
    answer = read_answer(context.stream)
    context.stream.close()
    assert answer.whole and answer.texts == context.expected, answer


@then('a request to "{host}" is refused as it says "{text}"')
def check_refused(context, host, text):
    check_path_refused(context, "/ask/1", host, text)


@then('a request for "{path}" to "{host}" is refused as it says "{text}"')
def check_path_refused(context, path, host, text):
    answer = context.deployment.ask(host, path, "q2", 2)
    assert answer.status == 503, answer
    assert answer.json["error"]["code"] == "no_endpoint", answer
    assert float(answer.headers["retry-after"]) > 0, answer.headers
    assert text in answer.body.decode(), answer
    assert all(r["request_id"] != "q2" for r in context.deployment.list_arrivals())


@when('"{host}" notices that "{job_id}" has no eligible endpoint')
def wait_for_obstacle(context, host, job_id):
    wait_for_line(context, host, '"job has no eligible endpoint"')


@then('the {count:d} items of "{job_id}" end at "{host}", and ran at "{endpoint}"')
def check_items(context, count, job_id, host, endpoint):
    assert len(read_all(context, host, job_id)) == count
    rows = context.deployment.list_arrivals()
    used = {r["endpoint"] for r in rows if r["request_id"].startswith(job_id)}
    assert used == {endpoint}, used


@when('"{account}" may use "{regions}", and the route "{route}" only "{others}"')
def restrict(context, account, regions, route, others):
    deployment = context.deployment
    for row in deployment.accounts:
        if row["name"] == account:
            row["allowed_regions"] = regions.split(", ")
    restrict_route(context, route, others)


@when('the route "{route}" may use only "{regions}"')
def restrict_route(context, route, regions):
    deployment = context.deployment
    for row in deployment.routes:
        if row["name"] == route:
            row["allowed_regions"] = regions.split(", ")
    deployment.write_configuration()
    text = f'"version": {deployment.version}'
    for host in deployment.hosts:
        wait_for_line(context, host, text)
