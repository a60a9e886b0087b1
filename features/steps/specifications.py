"""Steps of the model checks and of the trace tests."""

from pathlib import Path

from behave import given, then
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from features.machines import MACHINES
from specification import (
    BatchSpecification,
    ConfigurationSpecification,
    LimitsSpecification,
    check_induction,
    check_response,
    find_violation,
)

SPECIFICATIONS = {
    "batch": BatchSpecification,
    "limits": LimitsSpecification,
    "configuration": ConfigurationSpecification,
}
FEATURE = Path(__file__).parent.parent / "specification" / "model_checks.feature"
RUNS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
    print_blob=False,
)


@given('the specification of "{protocol}"')
def make_specification(context, protocol):
    context.specification = SPECIFICATIONS[protocol]()


@given('the mistake "{mutation}" in the specification of "{protocol}"')
def make_mutation(context, mutation, protocol):
    context.specification = SPECIFICATIONS[protocol](mutation)


@then("no run up to its depth breaks a promise")
def check_no_violation(context):
    violation = find_violation(context.specification)
    assert violation is None, violation


@then("a run up to its depth breaks a promise")
def check_violation(context):
    assert find_violation(context.specification) is not None


@then("its promises hold at every depth by induction")
def check_inductive(context):
    failed = check_induction(context.specification)
    assert not failed, failed


@then("its promises are not inductive")
def check_not_inductive(context):
    assert check_induction(context.specification)


@then("its fair schedule reaches the goal from every state")
def check_goal(context):
    assert check_response(context.specification)


@then("every mutation of every specification is in the table above")
def check_table(context):
    rows = {
        tuple(cell.strip() for cell in line.strip().strip("|").split("|"))
        for line in FEATURE.read_text().splitlines()
        if line.strip().startswith("|")
    }
    for protocol, cls in SPECIFICATIONS.items():
        assert len(cls.mutations) >= 3
        for mutation in cls.mutations:
            assert (protocol, mutation) in rows, mutation


@then('random runs of the machine "{name}" break no promise')
def check_machine(context, name):
    run_state_machine_as_test(MACHINES[name], settings=RUNS)


@then('random runs of the machine "{name}" break a promise')
def check_planted(context, name):
    try:
        run_state_machine_as_test(MACHINES[name], settings=RUNS)
    except AssertionError:
        return
    raise RuntimeError(f"{name} did not see the planted mistake")
