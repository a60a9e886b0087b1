"""Errors that callers see during a fault, and the time to recover."""

import time

from ..deployment import KINDS, Deployment
from ..loads import Load
from ..records import Experiment

RATE_SHARE = 0.3
FAULT_STARTS = 0.25
FAULT_ENDS = 0.6


class FaultsExperiment(Experiment):
    """One fault at a time, begun and ended under even load."""

    name = "faults"
    question = "Callers' errors during each fault, and seconds to recover after it"
    plotted = ("errors", "recovery")

    def run(self, seed, seconds, rounds):
        for kind in KINDS:
            with Deployment(kind, burst=10, headroom=10) as deployment:
                for number in range(rounds):
                    for variant in FAULTS:
                        row = _measure(deployment, variant, seconds, seed + number)
                        yield {"deployment": kind.name, **row, "round": number}


def _measure(deployment, variant, seconds, seed):
    begin, end = FAULTS[variant]
    accounts = {n: {"rate": r * RATE_SHARE} for n, r in deployment.accounts}
    load = Load(deployment, accounts, seconds, seed, deadline=5)
    time.sleep(seconds * FAULT_STARTS)
    begin(deployment)
    time.sleep(seconds * (FAULT_ENDS - FAULT_STARTS))
    end(deployment)
    result = load.finish()
    failed = [s for s in result.samples if s["outcome"] != "answered"]
    mended = seconds * FAULT_ENDS
    last = max((s["at"] for s in failed), default=0)
    return {
        "variant": variant,
        "requests": len(result.samples),
        "errors": len(failed),
        "unreached": result.count("unreached"),
        "refused": result.count("refused"),
        "broken": result.count("broken"),
        "recovery": max(0.0, last - mended),
        "p99": result.get_percentile("p99"),
    }


def _do_nothing(deployment):
    pass


def _kill(name):
    return lambda deployment: deployment.world.processes[name].kill()


def _restart(name):
    return lambda deployment: deployment.world.processes[name].start()


def _restart_host(name):
    def restart(deployment):
        deployment.world.processes[name].start()
        deployment.world.wait_until_ready(name)

    return restart


def _pause(name):
    return lambda deployment: deployment.world.processes[name].pause()


def _resume(name):
    return lambda deployment: deployment.world.processes[name].resume()


def _control(standin, **changes):
    return lambda deployment: deployment.world.get_standin(standin).control(**changes)


def _cut(centre, is_cut):
    def change(deployment):
        world = deployment.world
        links = [f"peer-{name}" for name in world.hosts if name[0] == centre]
        links += [
            f"{other}-{name}"
            for name, endpoint in world.endpoints.items()
            for other in world.data_centres
            if (other == centre) != (endpoint["data_centre"] == centre)
            and endpoint["data_centre"] != other
        ]
        for link in links:
            world.set_faults(link, cut_forward=is_cut, cut_backward=is_cut)

    return change


FAULTS = {
    "none": (_do_nothing, _do_nothing),
    "engine killed": (_kill("engine0"), _restart("engine0")),
    "engine hangs": (
        _control("engine0", hanging=True),
        _control("engine0", hanging=False),
    ),
    "engine ten times slower": (
        _control("engine0", slowness=10),
        _control("engine0", slowness=1),
    ),
    "engine answers 500 at once": (
        _control("engine0", error_status=500),
        _control("engine0", error_status=0),
    ),
    "host killed": (_kill("b1"), _restart_host("b1")),
    "host paused": (_pause("b1"), _resume("b1")),
    "platform down": (
        _control("platform", down=True),
        _control("platform", down=False),
    ),
    "data centre cut off": (_cut("b", True), _cut("b", False)),
}
