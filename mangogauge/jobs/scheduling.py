"""Order items by urgency, and rank hosts for claiming a job.

Jobs arrive in bursts and may be due within seconds of the time that they need to
run, while online requests leave free slots only intermittently.
"""

import xxhash

__all__ = ["order_items", "rank_host"]


def order_items(items, now, seconds_per_token):
    """Return items in the order in which they should run, most urgent first.

    Parameters
    ----------
    items : iterable of OwnedItem
    now : float
        Seconds since the Unix epoch.
    seconds_per_token : float
        Estimated time that an endpoint needs for one token.

    Returns
    -------
    list of OwnedItem

    Notes
    -----
    Earliest due date first; within a job, the items with the most events first.
    Items that can no longer finish in time come after all that can, since they are
    late whenever they run. Preemption uses the same order from its end, so that
    the most urgent items run to completion while the others wait. If all items
    shared the slots, all of them could end late.
    """

    def rank(item):
        manifest = item.job.manifest
        remaining = item.estimate_remaining_seconds(seconds_per_token)
        is_late = now + remaining > manifest.due_at
        return (is_late, manifest.due_at, manifest.job_id, -len(item.event_texts))

    return sorted(items, key=rank)


def rank_host(job_id, host, hosts):
    """Return the rank of a host for a job by rendezvous hashing.

    Parameters
    ----------
    job_id, host : str
    hosts : iterable of str
        All hosts that could claim the job.

    Returns
    -------
    int
        0 for the host that claims the job first; ``len(hosts)`` if `host` is not
        among `hosts`.

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
