"""Cancellation of exchanges whose key is withdrawn while they run."""

from collections import defaultdict
from contextlib import asynccontextmanager

import curio

__all__ = ["KeyTaskTracker", "KeyWithdrawnCancel"]


class KeyWithdrawnCancel(curio.TaskCancelled):
    """Cancels an exchange whose key has been withdrawn."""


class KeyTaskTracker:
    """Tracks the tasks that serve exchanges, by key."""

    def __init__(self):
        self._tasks = defaultdict(set)

    def count_running(self, key_hash):
        """Return the number of exchanges that run under a key."""
        return len(self._tasks.get(key_hash, ()))

    @asynccontextmanager
    async def track(self, key_hash):
        """Register the current task under a key for the duration of the block."""
        task = await curio.current_task()
        self._tasks[key_hash].add(task)
        try:
            yield
        finally:
            self._tasks[key_hash].discard(task)
            if not self._tasks[key_hash]:
                del self._tasks[key_hash]

    async def cancel_tasks(self, key_hash):
        """Cancel all tasks that run under a key; return their number."""
        tasks = list(self._tasks.get(key_hash, ()))
        for task in tasks:
            await task.cancel(exc=KeyWithdrawnCancel, blocking=False)
        return len(tasks)
