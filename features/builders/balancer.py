"""A balancer before the hosts, which notices their readiness with a lag."""

import http.client
import random
import select
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import orjson

from .callers import TIMEOUT_SECONDS, CallerAnswer

POLL_SECONDS = 0.05
# What the balancer knows is never older than its lag and this: on a busy machine a
# poll may take long, and requests wait for the next rather than go by an older one.
LONGEST_POLL_SECONDS = 0.3
WAIT_SECONDS = 0.01


class LostRequestError(Exception):
    """A request got no answer; says at which host, and when.

    Parameters
    ----------
    host : str
    chosen_at : float
        Monotonic time at which its host was chosen.
    """

    def __init__(self, host, chosen_at):
        seconds = time.monotonic() - chosen_at
        super().__init__(
            f"{host}: failed at {time.time():.3f}, {seconds:.3f} s after it was chosen"
        )


class Balancer:
    """Sends requests to hosts that were ready a while ago.

    Each thread keeps its connections open, as balancers do, until the host
    says that it will close one.

    Parameters
    ----------
    world : World
    lag : float
        Seconds by which its knowledge of readiness is old.
    seed : int
    """

    def __init__(self, world, lag=0.4, seed=1):
        self._world = world
        self._lag = lag
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._local = threading.local()
        self._ready = tuple(world.hosts)
        self._asked_at = time.monotonic()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._follow, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exception):
        self._stopping.set()
        self._thread.join()

    @property
    def ready(self):
        """Hosts that requests are sent to."""
        return self._ready

    def request(self, method, target, body=b"", headers=None):
        """Send a request to one of the hosts; one attempt only."""
        host = self._choose()
        chosen_at = time.monotonic()
        try:
            connection = self._take_connection(host)
            connection.request(method, target, body=body or None, headers=headers or {})
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise LostRequestError(host, chosen_at) from error
        if response.will_close:
            self._local.connections.pop(host)
            connection.close()
        fields = {n.lower(): v for n, v in response.getheaders()}
        return CallerAnswer(response.status, fields, data)

    def _choose(self):
        """Return a host that was ready a while ago, but not longer ago than that."""
        while time.monotonic() - self._asked_at > self._lag + LONGEST_POLL_SECONDS:
            time.sleep(WAIT_SECONDS)
        with self._lock:
            return self._random.choice(self._ready)

    def _take_connection(self, host):
        if not hasattr(self._local, "connections"):
            self._local.connections = {}
        connection = self._local.connections.get(host)
        if connection is None or is_closed(connection):
            port = self._world.hosts[host][0]
            connection = http.client.HTTPConnection(
                self._world.address, port, timeout=TIMEOUT_SECONDS
            )
            connection.connect()
            self._local.connections[host] = connection
        return connection

    def _follow(self):
        history = [(self._asked_at, self._ready)]
        with ThreadPoolExecutor(len(self._ready)) as pool:
            while not self._stopping.is_set():
                now = time.monotonic()
                history.append((now, self._ask_hosts(pool)))
                while len(history) > 1 and history[1][0] <= now - self._lag:
                    history.pop(0)
                self._ready = history[0][1] or self._ready
                self._asked_at = history[0][0]
                time.sleep(POLL_SECONDS)

    def _ask_hosts(self, pool):
        """Return the hosts that are ready, asked all at once."""
        hosts = list(self._world.hosts)
        answers = pool.map(self._is_ready, hosts)
        return tuple(h for h, ready in zip(hosts, answers, strict=True) if ready)

    def _is_ready(self, host):
        try:
            operator = self._world.get_operator(host)
            return operator.request("GET", "/readyz").status == 200
        except (OSError, http.client.HTTPException):
            return False


def is_closed(connection):
    """Return whether the host has ended an idle connection."""
    readable, _, _ = select.select([connection.sock], [], [], 0)
    return bool(readable)


class BalancedLoad:
    """Threads that ask the balancer for work until told to stop.

    Parameters
    ----------
    balancer : Balancer
    make_request : callable
        Given a number, returns the arguments of `Balancer.request`.
    threads : int
    """

    def __init__(self, balancer, make_request, threads):
        self._balancer = balancer
        self._make_request = make_request
        self._numbers = iter(range(1_000_000))
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.answers = {}
        self.lost = {}
        self._threads = [
            threading.Thread(target=self._work, daemon=True) for _ in range(threads)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _work(self):
        while not self._stopping.is_set():
            with self._lock:
                number = next(self._numbers)
            try:
                answer = self._balancer.request(*self._make_request(number))
            except LostRequestError as error:
                self.lost[number] = f"{error}: {error.__cause__!r}"
                self._balancer._local.connections = {}
            else:
                self.answers[number] = answer


def make_mixed_request(number, key):
    """Return a chat, a stream or a booking, by turns."""
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    if number % 3 == 2:
        headers["X-Reference"] = f"booking-{number}"
        return "POST", f"/bookings/{number}", f"booking-{number}".encode(), headers
    value = {
        "model": "small",
        "messages": [{"role": "user", "content": f"question {number}"}],
        "max_tokens": 12,
        "stream": number % 3 == 1,
    }
    return "POST", "/v1/chat/completions", orjson.dumps(value), headers
