"""Start-time fair queueing among client accounts.

Each request has a start and a finish tag in virtual time, and the request with the
smallest start tag is served next. An account that sends more than its share waits
behind its own requests and doesn't delay those of other accounts.

References
----------
.. [1] P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
"""

from collections import deque

from attrs import define, field

__all__ = ["FairQueue", "Ticket"]


@define(eq=False)
class Ticket:
    """A waiting or running request.

    Parameters
    ----------
    account : str
    weight : float
        The account's share relative to others.
    cost : float
        Expected work in seconds of one slot.
    item : object, optional
        Object that the owner of the queue associates with the request.
    start : float, optional
        Start tag in virtual time, set by the queue.
    """

    account = field()
    weight = field()
    cost = field()
    item = field(default=None)
    start = field(default=0.0)


@define
class _Flow:
    """Waiting requests of one account, and its last finish tag."""

    waiting = field(factory=deque)
    finish = field(default=0.0)


class FairQueue:
    """Fair queue of the waiting requests of all accounts.

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
        """Return how many requests of the account are waiting."""
        flow = self._flows.get(account)
        return len(flow.waiting) if flow else 0

    def sum_weights(self, account, weight):
        """Return the total weight of accounts with waiting requests and `account`."""
        total = weight
        for name, flow in self._flows.items():
            if flow.waiting and name != account:
                total += flow.waiting[0].weight
        return total

    def add(self, ticket):
        """Append a request to its account's queue."""
        flow = self._flows.setdefault(ticket.account, _Flow())
        self._tag(flow, ticket)
        flow.waiting.append(ticket)
        self._size += 1

    def note_started(self, ticket):
        """Charge its account for a request that starts without waiting."""
        self._tag(self._flows.setdefault(ticket.account, _Flow()), ticket)
        self._virtual_time = max(self._virtual_time, ticket.start)
        self._drop_idle_flows()

    def list_heads(self):
        """Return the request of each account that it has served next."""
        return [flow.waiting[0] for flow in self._flows.values() if flow.waiting]

    def peek(self, accepts=lambda ticket: True):
        """Return the request to be served next without removing it, or None.

        Parameters
        ----------
        accepts : callable, optional
            Returns whether a `Ticket` may be served now; accounts whose next request
            may not are passed over.
        """
        heads = filter(accepts, self.list_heads())
        return min(heads, key=lambda head: head.start, default=None)

    def take_next(self, accepts=lambda ticket: True):
        """Remove and return the request that `peek` returns, or None."""
        ticket = self.peek(accepts)
        if ticket is None:
            return None
        self._flows[ticket.account].waiting.popleft()
        self._size -= 1
        self._virtual_time = max(self._virtual_time, ticket.start)
        self._drop_idle_flows()
        return ticket

    def remove(self, ticket):
        """Remove a waiting request; return whether it was queued."""
        flow = self._flows.get(ticket.account)
        if flow is None or ticket not in flow.waiting:
            return False
        flow.waiting.remove(ticket)
        self._size -= 1
        self._shift_tags(flow, -ticket.cost / ticket.weight, ticket.start)
        return True

    def correct(self, ticket, cost):
        """Replace a request's expected cost by its actual cost."""
        flow = self._flows.get(ticket.account)
        if flow is None:
            return
        self._shift_tags(flow, (cost - ticket.cost) / ticket.weight, float("-inf"))

    def _tag(self, flow, ticket):
        ticket.start = max(self._virtual_time, flow.finish)
        flow.finish = ticket.start + ticket.cost / ticket.weight

    def _shift_tags(self, flow, delta, after):
        """Shift the tags of waiting requests whose start tag exceeds `after`.

        No tag falls behind the virtual time, so that capacity which an account
        didn't use in the past gives it no precedence now.
        """
        flow.finish += delta
        earliest = self._virtual_time
        for ticket in flow.waiting:
            if ticket.start > after:
                ticket.start = max(earliest, ticket.start + delta)
            earliest = ticket.start + ticket.cost / ticket.weight
            flow.finish = earliest

    def _drop_idle_flows(self):
        """Drop accounts with no waiting requests and no outstanding charge."""
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.waiting and flow.finish <= self._virtual_time
        ]
        for name in idle:
            del self._flows[name]
