"""Estimate of a request's waiting time from measured service times."""

__all__ = ["estimate_wait"]


def estimate_wait(waiting, weight, weights, slots, seconds):
    """Return the estimated seconds until one more request of an account starts.

    Parameters
    ----------
    waiting : int
        Requests of the account that are already waiting.
    weight : float
        The account's weight.
    weights : float
        Sum of the weights of all accounts with waiting requests, this one included.
    slots : float
        Requests that can run at the same time.
    seconds : float
        Time for which one request holds a slot.

    Examples
    --------
    >>> estimate_wait(waiting=3, weight=1.0, weights=2.0, slots=4, seconds=0.5)
    1.0
    """
    started_each_second = slots / seconds * weight / weights
    return (waiting + 1) / started_each_second
