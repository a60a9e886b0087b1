"""Which item runs next, and which host claims a job.

The load this answers: jobs that come many at once and are due within seconds
of running, beside online requests that leave room only now and then.
"""

import xxhash

__all__ = ["order_items", "rank_host"]


def order_items(items, now, seconds_per_token):
    """Return items in the order in which they should run.

    Parameters
    ----------
    items : iterable of OwnedItem
    now : float
        Seconds since the Unix epoch.
    seconds_per_token : float
        How long an endpoint takes for one token.

    Notes
    -----
    The earliest due first, and within a job those that have already got
    furthest. Items that can't be done in time any more come after all that
    can: they are late whenever they run. Whatever gives way goes by the same
    order, so that the most urgent items run through and the others wait, in
    place of all of them sharing the slots and ending late together.
    """

    def rank(item):
        manifest = item.job.manifest
        remaining = item.estimate_remaining_seconds(seconds_per_token)
        is_late = now + remaining > manifest.due_at
        return (is_late, manifest.due_at, manifest.job_id, -len(item.event_texts))

    return sorted(items, key=rank)


def rank_host(job_id, host, hosts):
    """Return the rank of a host for a job: 0 for the one that claims it first.

    Parameters
    ----------
    job_id, host : str
    hosts : iterable of str
        All that could claim it.

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
       rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    weights = {
        name: xxhash.xxh3_64_intdigest(f"{job_id}/{name}".encode()) for name in hosts
    }
    own = weights.get(host)
    if own is None:
        return len(weights)
    return sum(weight > own for weight in weights.values())
