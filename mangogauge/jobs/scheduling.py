"""Order items by urgency, and rank hosts for claiming a job.

Jobs arrive in bursts and may be due within seconds of the time that they need to
run, while online requests leave free slots only intermittently.
"""

import heapq
from collections import Counter

import xxhash

__all__ = ["find_timely", "order_items", "order_victims", "rank_host"]

# Time that an interrupted item may wait for another slot, and still end in time.
WAIT_SECONDS = 4.0
# Items whose remaining times differ by less are equal: estimates aren't more precise.
REMAINING_STEP_SECONDS = 0.25


def find_timely(items, now, pace, slots):
    """Return the items that can end by their due dates.

    Parameters
    ----------
    items : iterable of OwnedItem
        All items of this host that have not ended.
    now : float
        Seconds since the Unix epoch.
    pace : ItemPace
    slots : float
        Number of slots that these items get on average; may be infinite.

    Returns
    -------
    set of OwnedItem

    Notes
    -----
    Moore's algorithm: items are taken in order of due date, and whenever those taken
    so far can't all end in time, the one with the most time left to run is dropped.
    It leaves out as few items as possible, and keeps those that are nearly done.

    References
    ----------
    .. [1] J. M. Moore, "An n job, one machine sequencing algorithm for minimizing
       the number of late jobs", Management Science 15(1), 1968.
    """
    taken, work = [], 0.0
    for number, item in enumerate(sorted(items, key=_get_due)):
        left = item.job.manifest.due_at - now
        remaining = item.estimate_remaining_seconds(pace)
        if remaining > left:
            continue
        heapq.heappush(taken, (-remaining, -number, item))
        work += remaining
        while work > slots * left:
            work += heapq.heappop(taken)[0]
    return {item for _, _, item in taken}


def order_items(items, timely, pace):
    """Return items in the order in which they should run, most urgent first.

    Parameters
    ----------
    items : iterable of OwnedItem
    timely : set of OwnedItem
        Items that can end by their due dates; see `find_timely`.
    pace : ItemPace

    Returns
    -------
    list of OwnedItem

    Notes
    -----
    Timely items come first, by due date; within a job, those with the most events.
    The others are late whenever they run, so those with the least time left to run
    come first: they free their slots soonest, and the most of them end before they
    are given up. Client accounts take turns among these, so that an account with
    many short ones keeps none of another's from running. If all items shared the
    slots, all of them could end late.
    """

    def rank_timely(item):
        return (_get_due(item), item.job.job_id, -len(item.event_texts))

    def rank_late(item):
        return (item.estimate_remaining_seconds(pace), item.job.job_id)

    items = list(items)
    first = sorted((item for item in items if item in timely), key=rank_timely)
    late = sorted((item for item in items if item not in timely), key=rank_late)
    return first + _take_turns(late)


def _take_turns(items):
    """Return items so that client accounts take turns, each with its own in order."""
    counts = Counter()
    turns = []
    for item in items:
        account = item.job.manifest.account
        turns.append(counts[account])
        counts[account] += 1
    order = sorted(range(len(items)), key=turns.__getitem__)
    return [items[number] for number in order]


def order_victims(items, timely, pace, now):
    """Return running items in the order in which they are interrupted, first to last.

    Parameters
    ----------
    items : iterable of OwnedItem
    timely : set of OwnedItem
    pace : ItemPace
    now : float
        Seconds since the Unix epoch.

    Returns
    -------
    list of OwnedItem

    Notes
    -----
    Those that are late anyway come first, then timely ones that can wait, and at last
    those that would become late. Among equals, an item that is nearly done is kept: it
    frees its slot soonest, and would cost another run. Then the one is kept that has
    most to be read again: its prompt, and the events of this run and of those before.
    """

    def rank(item):
        remaining = item.estimate_remaining_seconds(pace)
        slack = item.job.manifest.due_at - now - remaining
        return (
            item in timely,
            item in timely and slack < WAIT_SECONDS,
            -round(remaining / REMAINING_STEP_SECONDS),
            len(item.body) + item.size,
            -_get_due(item),
            item.item.item_id,
        )

    return sorted(items, key=rank)


def _get_due(item):
    return item.job.manifest.due_at


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
