"""Steps of items that are run on trial."""

import curio
from behave import given, then, when

from features.builders.trials import PART, TrialFleet
from features.machines.stores import Fate
from mangogauge.jobs.records import ItemState
from mangogauge.quarantine.trials import make_trial_key
from mangogauge.store import Operation, Transaction

# When others were seen to go on after the crashes.
WORK_SECONDS = 0.1
# How long a write takes, and when a trial is due.
WRITE_SECONDS = 0.2
TRIAL_SECONDS = 1.0
KINDS = {"crashes endpoints": True, "is sound": False}


@given('{count:d} items at "{names}" whose prompts share a part that {kind}')
def make_fleet(context, count, names, kind):
    context.fleet = TrialFleet(names.split(", "), count, KINDS[kind])


@given("the part has crashed {count:d} endpoints, while others went on without it")
def crash_endpoints(context, count):
    crash_all(context, count)
    context.fleet.clock.advance(WORK_SECONDS)
    context.fleet.serve_others()


@given("the part was at the crash of all {count:d} endpoints")
def crash_all(context, count):
    for number in range(count):
        context.fleet.crash(f"r{number}")


@given("no host notes further crashes")
def miss_crashes(context):
    context.fleet.notes_crashes = False


@when("all {count:d} endpoints crash again at the part")
def crash_again(context, count):
    for number in range(count):
        context.fleet.crash(f"again-{number}")


@then("{count:d} trials have been made at most")
def check_trials(context, count):
    assert 1 <= len(context.fleet.runs) <= count, context.fleet.runs


@given("a trial of the part is under way elsewhere")
def lock_elsewhere(context):
    lock = Operation(make_trial_key(PART), b"other")
    curio.run(context.fleet.store.transact, Transaction((), [lock]))


@when("the trial elsewhere has ended")
def unlock_elsewhere(context):
    lock = Operation(make_trial_key(PART))
    curio.run(context.fleet.store.transact, Transaction((), [lock]))


@given("the store's next write is {fate}")
def set_fate(context, fate):
    context.fleet.store.fates.append(Fate(fate))


@given("the items' store is away")
def take_store_away(context):
    context.fleet.store.unavailable = True


@when("the items' store is back")
def bring_store_back(context):
    context.fleet.store.unavailable = False


@when("{seconds:d} s pass for the items")
def pass_time(context, seconds):
    curio.run(context.fleet.run_for, seconds)


@then("each of them has failed within the last {seconds:d} s")
def check_failed_lately(context, seconds):
    fleet = context.fleet
    since = fleet.clock.read_elapsed() - seconds
    late = {name for at, name in fleet.runs if at >= since}
    assert late == fleet.list_open_items(), fleet.runs


@then("{count:d} crashes were later than {seconds:d} s after the fifth")
def check_late_crashes(context, count, seconds):
    times = context.fleet.crashes
    late = [at for at in times if at > times[4] + seconds]
    assert len(late) == count, times


@then("no item has been run")
def check_no_runs(context):
    assert context.fleet.runs == [], context.fleet.runs


@then("all items are done, and the part has crashed {count:d} endpoints")
def check_done(context, count):
    fleet = context.fleet
    results = [result for job in fleet.jobs.values() for result in job.finished]
    assert not fleet.list_open_items(), fleet.runs
    assert {result.state for result in results} == {ItemState.DONE}, results
    assert len(fleet.crashes) == count, fleet.crashes


@when("a trial of it is cancelled while its lock is written")
def cancel_trial(context):
    context.fleet.clock.advance(TRIAL_SECONDS)
    context.trials = context.fleet.make_trials("b")

    async def cancel():
        context.fleet.store.delay = WRITE_SECONDS
        task = await curio.spawn(context.trials.begin, (PART,))
        await curio.sleep(WRITE_SECONDS / 2)
        await task.cancel()
        context.fleet.store.delay = 0.0
        await curio.sleep(WRITE_SECONDS)

    curio.run(cancel)


@then("no lock is left, and another trial may begin")
def check_no_lock(context):
    lock = curio.run(context.fleet.store.get, make_trial_key(PART)).unwrap()
    assert lock is None, lock
    assert curio.run(context.trials.begin, (PART,)) == PART
