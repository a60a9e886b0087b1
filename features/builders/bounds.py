"""Check that admissions stay within rate × window + burst in every window."""

import orjson

TOLERANCE = 1e-6


def compute_excess(admissions, rate, burst):
    """Return by how much the worst window exceeds rate × window + burst.

    Replays the admissions of all hosts, merged, on a virtual token bucket that may be
    overdrawn. Its lowest level gives the worst of all windows in a single pass.

    Parameters
    ----------
    admissions : iterable of (float, float)
        Elapsed time in seconds and cost in tokens, of all hosts.
    """
    level, lowest, last = burst, 0.0, None
    for at, cost in sorted(admissions):
        if last is not None:
            level = min(burst, level + rate * (at - last))
        level -= cost
        lowest = min(lowest, level)
        last = at
    return max(0.0, -lowest)


def read_admissions(logs, account):
    """Return an account's admissions, (elapsed time, cost), from hosts' log texts."""
    found = []
    for text in logs:
        for line in text.splitlines():
            if '"mangogauge.admissions"' not in line:
                continue
            entry = orjson.loads(line)
            if entry["client_account"] == account:
                found.append((entry["elapsed"], entry["cost"]))
    return found


def check_bound(admissions, rate, burst):
    """Raise AssertionError if any window exceeds the bound."""
    excess = compute_excess(admissions, rate, burst)
    assert excess <= TOLERANCE, f"{excess:.3f} over rate {rate}, burst {burst}"
