"""Steps of hosts that can't know the newest configuration."""

from behave import given, then, when

from features.builders.processes import wait_until

TROUBLES = {"turns it away": {"status": 503}, "is silent": {"silent": True}}
NO_TROUBLE = {"status": 0, "silent": False}


@given("the store turns it away")
@given("the store is silent")
def trouble_store(context):
    trouble = context.active_outline["trouble"]
    context.deployment.control("store", **TROUBLES[trouble])


@when("the store answers again")
def mend_store(context):
    context.deployment.control("store", **NO_TROUBLE)


def ask(context, host, path, key="desk-key"):
    return context.deployment.ask(host, path, "q", 2, key=key)


def read_code(answer):
    """Return the code of a refusal; empty for another answer."""
    return answer.json["error"]["code"] if answer.status >= 400 else ""


@then('"{host}" comes to refuse these as "{code}", not run, with when to come back')
def check_all_refused(context, host, code):
    for row in context.table:
        wait_until(
            lambda row=row: (
                read_code(ask(context, host, row["path"], row["key"])) == code
            ),
            f"{host} refuses {row['path']} with the key {row['key']!r}",
        )
        answer = ask(context, host, row["path"], row["key"])
        assert answer.status == 503, answer
        assert float(answer.headers["retry-after"]) > 0, answer
    assert not context.deployment.list_arrivals()


@then('"{host}" refuses "{path}" as "{code}"')
def check_refused(context, host, path, code):
    answer = ask(context, host, path)
    assert read_code(answer) == code, answer


@then('"{host}" comes to refuse "{path}" as "{code}"')
def check_comes_to_refuse(context, host, path, code):
    wait_until(
        lambda: read_code(ask(context, host, path)) == code, f"{host} refuses {path}"
    )


@when('operators add the route "{route}" and the key "{key}" of "{account}"')
def add(context, route, key, account):
    deployment = context.deployment
    deployment.routes.append(deployment.make_route(route, "stream", 1, False))
    owner = next(a for a in deployment.accounts if a["name"] == account)
    owner["api_keys"].append(key)
    deployment.write_configuration()


@then('"{host}" comes to answer "{path}" and the key "{key}"')
def check_answered(context, host, path, key):
    for value in ("desk-key", key):
        wait_until(
            lambda value=value: ask(context, host, path, value).status == 200,
            f"{host} answers {path} with the key {value!r}",
        )
