"""Cost of single parts, in one process, as the fleet grows."""

import gc
import time
import tracemalloc

from features.builders import make_section
from mangogauge.keys import KeyRing
from mangogauge.keys.records import KeyRecord, hash_key
from mangogauge.limits import TokenBucket
from mangogauge.settings import ConfigurationDocuments, read_fleet

from ..records import Experiment

ACCOUNTS = (400, 1600, 4000)
ENDPOINTS = 640
DATA_CENTRES = 8
KEYS_FOR_ACCOUNT = 2
LOOKUPS = 20_000


class PartsExperiment(Experiment):
    """Configuration, key ring, bucket; views are measured by bench.membership."""

    name = "parts"
    question = "Processor time, bytes and memory of single parts"
    plotted = ("ms", "KB", "memory MB")

    def run(self, seed, seconds, rounds):
        for number in range(rounds):
            measured = [_measure_configuration(count) for count in ACCOUNTS]
            measured += [_measure_ring(count) for count in ACCOUNTS]
            measured.append(_measure_buckets())
            for variant, row in measured:
                named = {"deployment": "one process", "variant": variant}
                yield {**named, **row, "round": number}


def _measure_configuration(count):
    parts = [make_section(f"data_centre dc{n}") for n in range(DATA_CENTRES)]
    parts.append(make_section("model small"))
    parts += [
        make_section(f"account account{n}", rate=5, burst=10) for n in range(count)
    ]
    parts += [
        make_section(
            f"endpoint engine{n}",
            address=f"10.1.{n // 250}.{n % 250}:8000",
            data_centre=f"dc{n % DATA_CENTRES}",
            kind="engine",
            models="small",
        )
        for n in range(ENDPOINTS)
    ]
    overlays = {f"dc{n}": "" for n in range(DATA_CENTRES)}
    documents = ConfigurationDocuments("\n".join(parts), overlays)
    seconds, memory = _measure(lambda: read_fleet(documents, "dc0"))
    return f"configuration, {count} accounts", {
        "ms": 1000 * seconds,
        "KB": len(documents.to_bytes()) / 1e3,
        "memory MB": memory / 1e6,
    }


def _measure_ring(count):
    ring = KeyRing()
    keys = [f"mg-{n}" for n in range(count * KEYS_FOR_ACCOUNT)]
    payloads = [
        KeyRecord(hash_key(key), f"account{n}", "label", 1.0).to_bytes()
        for n, key in enumerate(keys)
    ]

    def fill():
        ring.replace([KeyRecord.from_bytes(payload) for payload in payloads])
        return ring

    seconds, memory = _measure(fill)
    started = time.process_time()
    for n in range(LOOKUPS):
        ring.find(keys[n % len(keys)])
    lookup = (time.process_time() - started) / LOOKUPS
    return f"key ring, {len(keys)} keys", {
        "ms": 1000 * seconds,
        "KB": sum(map(len, payloads)) / 1e3,
        "memory MB": memory / 1e6,
        "look-up us": 1e6 * lookup,
    }


def _measure_buckets():
    def make():
        return {n: TokenBucket(5, 10, 0) for n in range(ACCOUNTS[-1])}

    seconds, memory = _measure(make)
    buckets = make()
    started = time.process_time()
    for n in range(LOOKUPS):
        buckets[n % ACCOUNTS[-1]].take(1, n)
    lookup = (time.process_time() - started) / LOOKUPS
    return f"buckets, {ACCOUNTS[-1]} accounts", {
        "ms": 1000 * seconds,
        "memory MB": memory / 1e6,
        "look-up us": 1e6 * lookup,
    }


def _measure(make):
    """Return processor seconds and bytes kept, of a call and its result."""
    gc.collect()
    started = time.process_time()
    make()
    seconds = time.process_time() - started
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return seconds, memory
