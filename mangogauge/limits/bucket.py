"""Token bucket whose rate and burst may change while it is in use."""

__all__ = ["TokenBucket"]

# Tokens that were added up from shares may fall short of their sum by rounding.
ROUNDING_TOLERANCE = 1e-9


class TokenBucket:
    """Tokens that accrue at a rate up to a burst.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Largest number of tokens held.
    now : float
        Elapsed time in seconds.
    tokens : float, optional
        Tokens at the start; a full bucket if absent.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2, burst=4, now=0)
    >>> bucket.take(4, now=0), bucket.take(1, now=0.25), bucket.take(1, now=0.5)
    (True, False, True)
    """

    def __init__(self, rate, burst, now, tokens=None):
        self.rate = rate
        self.burst = burst
        self.tokens = burst if tokens is None else min(tokens, burst)
        self._updated = now

    def take(self, amount, now):
        """Take `amount` tokens if available; return whether they were taken."""
        self.accrue(now)
        if self.tokens < amount - ROUNDING_TOLERANCE:
            return False
        self.tokens = max(0.0, self.tokens - amount)
        return True

    def accrue(self, now):
        """Add the tokens accrued since the last call; an earlier `now` adds none."""
        if now <= self._updated:
            return
        accrued = self.rate * (now - self._updated)
        self.tokens = min(self.burst, self.tokens + accrued)
        self._updated = now

    def set_limits(self, rate, burst, now):
        """Change rate and burst; tokens beyond the new burst are dropped."""
        self.accrue(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def compute_wait(self, amount):
        """Return seconds until `amount` tokens are available; infinite if never."""
        if self.tokens >= amount:
            return 0.0
        if amount > self.burst or self.rate <= 0:
            return float("inf")
        return (amount - self.tokens) / self.rate
