"""Batch jobs as the platform's clients write and read them."""

__all__ = ["PlatformJobs"]


class PlatformJobs:
    """Reads submissions and writes results."""
