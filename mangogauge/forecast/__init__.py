"""Forecast of demand over the next seconds from the demand of the last half minute."""

from .demand import DemandForecast
from .period import find_period

__all__ = ["DemandForecast", "find_period"]
