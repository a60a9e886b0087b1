"""A host's items played on slots that bursts of online requests take away."""

import random

from attrs import define, field

from mangogauge.clock import ManualClock
from mangogauge.jobs.estimates import ItemPace, SlotShare
from mangogauge.jobs.owned import OwnedJob
from mangogauge.jobs.records import JobItem, JobManifest
from mangogauge.jobs.scheduling import find_timely, order_items

__all__ = ["ItemLoad", "make_items", "order_by_due_date", "order_by_timeliness"]

TOKENS = 1000
EVENTS_PER_SECOND = 40
STEP_SECONDS = 0.1
LENGTH_DEVIATION = 0.24


def make_items(job_id, count, due_at, events=0):
    """Return the items of a job, each with so many events received."""
    descriptions = [
        JobItem(f"{job_id}-{n}", "/night/x", (), TOKENS, part=0, start=0, size=0)
        for n in range(count)
    ]
    manifest = JobManifest(
        job_id, "desk", "night", "host", 0.0, due_at, due_at + 60, descriptions
    )
    job = OwnedJob.restore(manifest, [b""], 1, [], {})
    for item in job.items.values():
        item.event_texts = ["x"] * events
    return list(job.items.values())


def order_by_timeliness(items, now, load):
    """Return the items in the order in which a host runs them."""
    running = len(load.running)
    load.share.note(running, len(items) - running)
    timely = find_timely(items, now, load.pace, load.share.slots)
    return order_items(items, timely, load.pace)


def order_by_due_date(items, now, load):
    """Return the items by due date, those that can't end in time last."""

    def rank(item):
        due = item.job.manifest.due_at
        is_late = now + item.estimate_remaining_seconds(load.pace) > due
        return is_late, due, item.job.job_id, -len(item.event_texts)

    return sorted(items, key=rank)


@define
class ItemLoad:
    """Jobs that come at a constant interval, and the slots that their items get.

    Parameters
    ----------
    items : int
        Items of each job.
    seconds : float
        Mean time that an item runs.
    interval, due_after : float
        Seconds between two jobs, and until a job is due.
    slots, burst_slots : int
        Slots of the host, and how many of them a burst takes away.
    burst_seconds, burst_interval : float
    """

    items = field()
    seconds = field()
    interval = field()
    due_after = field()
    slots = field(default=10)
    burst_slots = field(default=8)
    burst_seconds = field(default=2.4)
    burst_interval = field(default=6.0)
    pace = field(init=False, default=None)
    share = field(init=False, default=None)
    running = field(init=False, factory=set)

    def play(self, order, duration):
        """Return how many items end in time in `duration` seconds.

        Parameters
        ----------
        order : callable
            Returns the order of the open items, given them, the time and this load.
        duration : float
        """
        source = random.Random(1)
        clock = ManualClock()
        self.pace, self.share = ItemPace(), SlotShare(clock)
        self.running = set()
        lengths, waiting, in_time, next_job = {}, [], 0, 0.0
        while clock.read_elapsed() < duration:
            now = clock.read_elapsed()
            if now >= next_job:
                next_job += self.interval
                due_at = now + self.due_after
                arrived = make_items(f"j{now:07.1f}", self.items, due_at)
                waiting += arrived
                for item in arrived:
                    length = source.gauss(1.0, LENGTH_DEVIATION) * self.seconds
                    lengths[item] = round(max(0.5, length) * EVENTS_PER_SECOND)
            self.running = set(order(waiting, now, self)[: self._count_slots(now)])
            clock.advance(STEP_SECONDS)
            for item in list(self.running):
                item.event_texts += ["x"] * round(EVENTS_PER_SECOND * STEP_SECONDS)
                if len(item.event_texts) >= lengths[item]:
                    waiting.remove(item)
                    self._note_end(item)
                    in_time += clock.read_elapsed() <= item.job.manifest.due_at
        return in_time

    def _count_slots(self, now):
        in_burst = now % self.burst_interval < self.burst_seconds
        return self.slots - self.burst_slots if in_burst else self.slots

    def _note_end(self, item):
        events = len(item.event_texts)
        self.pace.note_end(TOKENS, events)
        self.pace.note_run(TOKENS, events / EVENTS_PER_SECOND)
