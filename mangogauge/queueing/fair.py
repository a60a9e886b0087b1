"""Start-time fair queueing among client accounts.

Each account's requests carry start and finish tags in virtual time; the least
start tag is served next. An account that sends more than its share queues
behind its own requests, not before those of others.

References
----------
.. [1] P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
"""

from collections import deque

from attrs import define, field

__all__ = ["FairQueue", "Ticket"]


@define(eq=False)
class Ticket:
    """One request that waits, or runs.

    Parameters
    ----------
    account : str
    weight : float
        The account's share relative to others.
    cost : float
        Expected work in seconds of one slot.
    item : object, optional
        What the owner of the queue wants to find again.
    """

    account = field()
    weight = field()
    cost = field()
    item = field(default=None)
    start = field(default=0.0)


@define
class _Flow:
    """One account's waiting requests, and its last finish tag."""

    waiting = field(factory=deque)
    finish = field(default=0.0)


class FairQueue:
    """Waiting requests of all accounts.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for account in ("big", "big", "big", "small"):
    ...     queue.add(Ticket(account, weight=1.0, cost=1.0))
    >>> [queue.take_next().account for _ in range(4)]
    ['big', 'small', 'big', 'big']
    """

    def __init__(self):
        self._flows = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self):
        return self._size

    def count(self, account):
        """Return how many requests of the account wait."""
        flow = self._flows.get(account)
        return len(flow.waiting) if flow else 0

    def sum_weights(self, account, weight):
        """Return the weights of all accounts that wait, `account` among them."""
        total = weight
        for name, flow in self._flows.items():
            if flow.waiting and name != account:
                total += flow.waiting[0].weight
        return total

    def add(self, ticket):
        """Put a request at the end of its account's queue."""
        flow = self._flows.setdefault(ticket.account, _Flow())
        self._tag(flow, ticket)
        flow.waiting.append(ticket)
        self._size += 1

    def note_started(self, ticket):
        """Charge a request that starts without having waited."""
        self._tag(self._flows.setdefault(ticket.account, _Flow()), ticket)
        self._virtual_time = max(self._virtual_time, ticket.start)
        self._drop_idle_flows()

    def peek(self):
        """Return the request to be served next, or None; it stays."""
        heads = [flow.waiting[0] for flow in self._flows.values() if flow.waiting]
        return min(heads, key=lambda head: head.start, default=None)

    def take_next(self):
        """Return the request to be served next, or None."""
        ticket = self.peek()
        if ticket is None:
            return None
        self._flows[ticket.account].waiting.popleft()
        self._size -= 1
        self._virtual_time = max(self._virtual_time, ticket.start)
        self._drop_idle_flows()
        return ticket

    def remove(self, ticket):
        """Drop a request that waits no longer; return whether it was there."""
        flow = self._flows.get(ticket.account)
        if flow is None or ticket not in flow.waiting:
            return False
        flow.waiting.remove(ticket)
        self._size -= 1
        self._shift_tags(flow, -ticket.cost / ticket.weight, ticket.start)
        return True

    def correct(self, ticket, cost):
        """Charge what a request really took in place of what was expected."""
        flow = self._flows.get(ticket.account)
        if flow is None:
            return
        self._shift_tags(flow, (cost - ticket.cost) / ticket.weight, float("-inf"))

    def _tag(self, flow, ticket):
        ticket.start = max(self._virtual_time, flow.finish)
        flow.finish = ticket.start + ticket.cost / ticket.weight

    def _shift_tags(self, flow, delta, after):
        """Move the tags of requests that start after `after`.

        None falls behind the virtual time: what an account did not use in the
        past gives it no precedence over the others now.
        """
        flow.finish += delta
        earliest = self._virtual_time
        for ticket in flow.waiting:
            if ticket.start > after:
                ticket.start = max(earliest, ticket.start + delta)
            earliest = ticket.start + ticket.cost / ticket.weight
            flow.finish = earliest

    def _drop_idle_flows(self):
        """Drop accounts that are owed nothing and owe nothing."""
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.waiting and flow.finish <= self._virtual_time
        ]
        for name in idle:
            del self._flows[name]
