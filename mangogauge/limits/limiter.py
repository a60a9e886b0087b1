"""Limiters decide whether a client account's request is within its rate."""

from abc import ABC, abstractmethod

from attrs import field, frozen

from .bucket import TokenBucket

__all__ = ["Admission", "Limiter", "LocalLimiter"]


@frozen
class Admission:
    """Whether a request is admitted.

    Parameters
    ----------
    admitted : bool
    retry_after : float
        Seconds until budget will be there, if it was refused.
    """

    admitted = field()
    retry_after = field(default=0.0)


class Limiter(ABC):
    """Admits requests of client accounts."""

    @abstractmethod
    def admit(self, account, cost=1.0):
        """Return an `Admission` for a request of the client account's name."""

    @abstractmethod
    def set_accounts(self, accounts):
        """Take new rates and bursts: ``{name: ClientAccount}``."""


class LocalLimiter(Limiter):
    """Each host alone gives out a fixed part of every budget.

    Parameters
    ----------
    clock : Clock
    share : float, optional
        This host's part of each account's rate and burst.
    """

    def __init__(self, clock, share=1.0):
        self._clock = clock
        self._share = share
        self._buckets = {}

    def admit(self, account, cost=1.0):
        """Return an `Admission`."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return Admission(False, float("inf"))
        if bucket.take(cost, self._clock.read_elapsed()):
            return Admission(True)
        return Admission(False, bucket.compute_wait(cost))

    def set_accounts(self, accounts):
        """Take new rates and bursts."""
        now = self._clock.read_elapsed()
        for name in set(self._buckets) - set(accounts):
            del self._buckets[name]
        for name, account in accounts.items():
            rate, burst = account.rate * self._share, account.burst * self._share
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = TokenBucket(rate, burst, now)
            else:
                bucket.change(rate, burst, now)
