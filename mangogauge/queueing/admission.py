"""Whether a request can be met in time, from measured service times."""

__all__ = ["estimate_wait"]


def estimate_wait(waiting, weight, weights, slots, seconds):
    """Return the seconds until one more request of an account would start.

    Parameters
    ----------
    waiting : int
        Requests of the account that wait already.
    weight : float
        The account's weight.
    weights : float
        Weights of all accounts that wait, this one included.
    slots : float
        Requests that run at once.
    seconds : float
        Time for which one request holds a slot.

    Examples
    --------
    >>> estimate_wait(waiting=3, weight=1.0, weights=2.0, slots=4, seconds=0.5)
    1.0
    """
    started_each_second = slots / seconds * weight / weights
    return (waiting + 1) / started_each_second
