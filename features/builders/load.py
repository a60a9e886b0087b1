"""Many requests at once, from threads with connections of their own."""

import http.client
import threading
from collections import Counter

from attrs import define, field

TIMEOUT_SECONDS = 60


@define
class LoadCount:
    """Answers by host and status."""

    statuses = field(factory=Counter)

    def count(self, host, status=200):
        return self.statuses[host, status]


def send_load(world, key, hosts, count, threads=4):
    """Send `count` requests to each host and return a `LoadCount`."""
    total = LoadCount()
    workers = [
        threading.Thread(
            target=_send, args=(world, key, host, count // threads, total), daemon=True
        )
        for host in hosts
        for _ in range(threads)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return total


def _send(world, key, host, count, total):
    connection = None
    for _ in range(count):
        try:
            if connection is None:
                connection = http.client.HTTPConnection(
                    world.address, world.hosts[host][0], timeout=TIMEOUT_SECONDS
                )
            headers = {"Authorization": f"Bearer {key}"}
            connection.request("GET", "/bookings/1", headers=headers)
            answer = connection.getresponse()
            answer.read()
            total.statuses[host, answer.status] += 1
        except (OSError, http.client.HTTPException):
            total.statuses[host, 0] += 1
            connection = None
