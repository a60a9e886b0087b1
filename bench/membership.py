"""Bytes and processor time that membership costs a host, by number of hosts.

Usage: ``python -m bench.membership``. Real views exchange protobuf bytes on a
clock moved by hand; sockets and HTTP/2 are not in the figures.
"""

import time

import orjson

from features.builders.views import ViewGroup
from mangogauge.protocol.routing_pb2 import EndpointReport, HostLoad

DATA_CENTRES = 8
HOSTS_IN_EACH = (1, 6, 13, 26, 51)
WARM_SECONDS = 20
MEASURED_SECONDS = 20
ENDPOINTS = 80
STEP_SECONDS = 0.5


def main():
    for hosts in HOSTS_IN_EACH:
        print(orjson.dumps(measure(hosts)).decode(), flush=True)


def measure(hosts):
    group = ViewGroup(seed=hosts)
    for data_centre in range(DATA_CENTRES):
        for number in range(hosts):
            group.add(f"host-{data_centre}-{number:03d}", f"dc-{data_centre}")
    run(group, WARM_SECONDS, 0)
    group.sizes = dict.fromkeys(group.sizes, 0)
    started = time.process_time()
    run(group, MEASURED_SECONDS, 1)
    seconds = time.process_time() - started
    sizes = sorted(group.sizes.values())
    total = len(group.views)
    listed = [len(view.list_members()) for view in group.views.values()]
    return {
        "hosts": total,
        "mean_bytes_per_second": round(sum(sizes) / total / MEASURED_SECONDS),
        "largest_bytes_per_second": round(sizes[-1] / MEASURED_SECONDS),
        "core_percent": round(100 * seconds / total / MEASURED_SECONDS, 3),
        "fewest_members_listed": min(listed),
    }


def run(group, seconds, offset):
    for step in range(int(seconds / STEP_SECONDS)):
        for number, view in enumerate(group.views.values()):
            if (step + number) % max(1, round(view.interval_factor)):
                continue
            load = make_load(number + step + offset)
            view.publish("endpoint-load", load, all_data_centres=False)
        group.run(STEP_SECONDS)


def make_load(number):
    """Return a load message of the size that a host sends at full size."""
    reports = [
        EndpointReport(endpoint=f"worker-{(number + i) % ENDPOINTS:03d}", running=i + 1)
        for i in range(4)
    ]
    counts = bytes((number * (i + 1)) % 7 for i in range(ENDPOINTS))
    return HostLoad(
        endpoints_digest=1, running=counts, ejected=bytes(10), reports=reports
    ).SerializeToString()


if __name__ == "__main__":
    main()
