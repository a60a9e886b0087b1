"""Rates and bursts of client accounts, over the whole fleet."""

from .bucket import TokenBucket
from .limiter import Admission, Limiter, LocalLimiter

__all__ = ["Admission", "Limiter", "LocalLimiter", "TokenBucket"]
