"""Callers that ask all hosts again and again while things happen."""

import threading
import time
from itertools import count

from attrs import define, field

from ..processes import wait_until

# Before the next request after one that wasn't served.
PAUSE_SECONDS = 0.05


@define
class Asked:
    """One request and its answer."""

    host = field()
    path = field()
    request_id = field()
    at = field()
    answer = field(default=None)
    seconds = field(default=None)


class Callers:
    """One caller for each host and path, each asking again once answered.

    Parameters
    ----------
    deployment : PlatformDeployment
    paths : iterable of str
    events : int
        Events of each answer.
    pause_seconds : float, optional
        How long a caller waits after each answer.
    """

    def __init__(self, deployment, paths, events, pause_seconds=0.0):
        self.deployment = deployment
        self.events = events
        self.pause_seconds = pause_seconds
        self.rows = []
        self._numbers = count()
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._ask, args=(host, path), daemon=True)
            for host in deployment.hosts
            for path in paths
        ]
        for thread in self._threads:
            thread.start()

    def wait_for_answers(self):
        """Wait until each caller has got an answer to what it asked since."""
        begun, threads = len(self.rows), len(self._threads)
        wait_until(
            lambda: self._count_answered(begun) >= threads, "callers are answered"
        )

    def stop(self):
        """Stop asking; return all that was asked, once answered."""
        self._ended.set()
        for thread in self._threads:
            thread.join()
        return self.rows

    def _count_answered(self, begun):
        return len({(r.host, r.path) for r in self.rows[begun:] if r.answer})

    def _ask(self, host, path):
        while not self._ended.is_set():
            row = Asked(host, path, f"c{next(self._numbers)}", time.monotonic())
            self.rows.append(row)
            row.answer = self.deployment.ask(host, path, row.request_id, self.events)
            row.seconds = time.monotonic() - row.at
            time.sleep(self.pause_seconds)
            if row.answer.status != 200:
                time.sleep(PAUSE_SECONDS)
