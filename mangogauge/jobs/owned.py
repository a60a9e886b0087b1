"""Jobs that this host has claimed, and the progress of their items."""

from attrs import define, field

from ..http import HTTPLimitError, HTTPReceiveError
from ..placement.eligibility import ANYWHERE
from .backoff import MAX_BACKOFF_SECONDS
from .packing import unpack_body
from .records import ItemProgress, ItemResult, ItemState

__all__ = ["OwnedItem", "OwnedJob"]

# A run at least as long as the longest backoff resets the count of interruptions.
LONG_RUN_SECONDS = MAX_BACKOFF_SECONDS
# Limit per item, since a page of results holds at least one item.
MAX_TEXT_BYTES = 1_000_000
# Limit of the progress of a job's items that is stored: it is written every few
# seconds.
MAX_PROGRESS_BYTES = 500_000
# Room for an item's origin beside its events.
ORIGIN_BYTES = 256


@define(eq=False)
class OwnedItem:
    """An item that has no result yet.

    Parameters
    ----------
    job : OwnedJob
    item : JobItem
    body : bytes

    Attributes
    ----------
    event_texts : list of str
        Data of the events received, in order.
    size : int
        Bytes of the data of these events.
    tried_endpoints : set of str
        Endpoints to which the item was sent.
    last_event : int or None
        Number of the last event received.
    origin : StreamOrigin or None
        What the endpoints have in common that may resume the item; None if it has no
        events, or if that is unknown.
    beginning : StreamBeginning or None
        Where the first of its events came from, while that isn't certain yet.
    failures : int
        Number of runs that an endpoint answered with a failure.
    stored_failures : int
        Failures that are recorded in the store. An item with more is not run, so
        that the next host to claim the job doesn't count from zero.
    stored_events : int
        Number of events in the progress last stored.
    refusals : int
        Consecutive endpoints that refused the item.
    interruptions : int
        Consecutive runs that were interrupted, counted from the last one that was
        at least `LONG_RUN_SECONDS` long.
    not_before : float
        Elapsed time before which the item is not run again.
    endpoint : str
        Name of the endpoint at which the item runs; empty if it doesn't run.
    started_at : float
        Elapsed time of its last start.
    events_at_start : int
        Number of events that it had then.
    trial_at : float or None
        Elapsed time from which the item may run on trial; None if it isn't held back.
    answer_begun_at : float or None
        Elapsed time at which the answer of its last run began.
    answer_seconds : float
        How long after that the last of its events arrived.
    scope : WorkScope
        Regions in which its last run was allowed.
    """

    job = field()
    item = field()
    body = field()
    event_texts = field(factory=list)
    size = field(default=0)
    tried_endpoints = field(factory=set)
    last_event = field(default=None)
    origin = field(default=None)
    beginning = field(default=None)
    failures = field(default=0)
    stored_failures = field(default=0)
    stored_events = field(default=0)
    refusals = field(default=0)
    interruptions = field(default=0)
    not_before = field(default=float("-inf"))
    endpoint = field(default="")
    started_at = field(default=0.0)
    events_at_start = field(default=0)
    trial_at = field(default=None)
    answer_begun_at = field(default=None)
    scope = field(default=ANYWHERE)
    answer_seconds = field(default=0.0)

    def add_event(self, event):
        """Append the next event.

        Raises
        ------
        HTTPReceiveError
            If the event is out of sequence, or its data is not UTF-8.
        HTTPLimitError
            If the item's text exceeds `MAX_TEXT_BYTES`.
        """
        number, data = event.number, event.data
        if number is None:
            raise HTTPReceiveError("An event has no number.", step="receive")
        if self.last_event is not None and number != self.last_event + 1:
            raise HTTPReceiveError(
                f"Event {number} followed event {self.last_event}.", step="receive"
            )
        if self.size + len(data) > MAX_TEXT_BYTES:
            # An engine doesn't generate so much text for one item.
            self.discard_events()
            raise HTTPLimitError("text_bytes", MAX_TEXT_BYTES)
        self.event_texts.append(_decode(data))
        self.size += len(data)
        self.last_event = number
        self.refusals = 0

    def restore_progress(self, progress):
        """Continue after the events of an `ItemProgress`."""
        self.event_texts = list(progress.event_texts)
        self.size = sum(len(text.encode()) for text in self.event_texts)
        self.last_event = progress.last_event
        self.origin = progress.origin
        self.stored_events = progress.count

    def discard_events(self):
        """Discard all events, so that the next run starts anew."""
        self.event_texts.clear()
        self.size = 0
        self.last_event = None
        self.origin = None
        self.beginning = None
        self.stored_events = 0

    def record_interruption(self, now):
        """Count a run that was interrupted at an elapsed time."""
        if now - self.started_at >= LONG_RUN_SECONDS:
            self.interruptions = 0
        self.interruptions += 1

    def delay_until(self, until):
        """Postpone the next run until an elapsed time."""
        self.not_before = until

    def estimate_remaining_seconds(self, pace):
        """Return the seconds that the item has yet to run, by an `ItemPace`."""
        return pace.estimate_remaining_seconds(self.item.tokens, len(self.event_texts))

    def make_progress(self):
        """Return the `ItemProgress` of the item."""
        return ItemProgress(
            self.item.item_id, self.last_event, self.event_texts, self.origin
        )

    def make_result(self, state):
        """Return the `ItemResult` of the item in a final `ItemState`."""
        text = "\n".join(self.event_texts) if state is ItemState.DONE else ""
        return ItemResult(self.item.item_id, state, text)


@define(eq=False)
class OwnedJob:
    """A job that this host has claimed.

    Parameters
    ----------
    manifest : JobManifest
    claim_revision : int
        Store's revision of the claim; 0 once it is known to have lapsed.
    position : int
        Position of the next result to commit.

    Attributes
    ----------
    items : dict of str to OwnedItem
        Items without a result, by id.
    finished : list of ItemResult
        Results that are not committed yet.
    claimed_at : float
        Elapsed time at which this host sent its claim.
    write_after : float
        Elapsed time before which no write is retried.
    refused_writes : int
        Consecutive writes that the store refused.
    """

    manifest = field()
    claim_revision = field()
    position = field(default=0)
    items = field(factory=dict)
    finished = field(factory=list)
    claimed_at = field(default=0.0)
    write_after = field(default=float("-inf"))
    refused_writes = field(default=0)

    @classmethod
    def restore(cls, manifest, parts, claim_revision, results, failures, progress=()):
        """Restore a job from its records in the store.

        Parameters
        ----------
        manifest : JobManifest
        parts : sequence of bytes
            Parts of the input.
        claim_revision : int
        results : list of ItemResult
            Committed results.
        failures : dict of str to int
            Number of failures, by item id.
        progress : iterable of ItemProgress, optional
            Events that items have received at another host.

        Returns
        -------
        OwnedJob
        """
        job = cls(manifest, claim_revision, len(results))
        ended = {result.item_id for result in results}
        for item in manifest.items:
            if item.item_id not in ended:
                body = unpack_body(item, parts)
                owned = OwnedItem(job, item, body)
                owned.failures = failures.get(item.item_id, 0)
                owned.stored_failures = owned.failures
                job.items[item.item_id] = owned
        for item in progress:
            if item.item_id in job.items:
                job.items[item.item_id].restore_progress(item)
        return job

    @property
    def job_id(self):
        """Id of the job."""
        return self.manifest.job_id

    def finish(self, item, state):
        """Record an item's result, to be committed later."""
        self.items.pop(item.item.item_id, None)
        self.finished.append(item.make_result(state))

    def list_ready(self, now):
        """Return the items that may start at an elapsed time."""
        return [
            item
            for item in self.items.values()
            if not item.endpoint
            and item.not_before <= now
            and item.failures == item.stored_failures
        ]

    @property
    def has_new_progress(self):
        """Whether unfinished items have received events that are not stored."""
        items = self.items.values()
        return any(len(item.event_texts) > item.stored_events for item in items)

    def list_progress(self, max_bytes=MAX_PROGRESS_BYTES):
        """Return the `ItemProgress` of the unfinished items, the longest first.

        Items whose software version isn't certain yet are left out.

        Parameters
        ----------
        max_bytes : int, optional
            Items that exceed it, or `MAX_PROGRESS_BYTES`, once they are encoded are
            left out.
        """
        max_bytes = min(max_bytes, MAX_PROGRESS_BYTES)
        items = self.items.values()
        begun = [i for i in items if i.event_texts and i.beginning is None]
        begun.sort(key=lambda item: len(item.event_texts), reverse=True)
        progress, size = [], 0
        for item in begun:
            # Most are too large already before they are encoded.
            if size + item.size > max_bytes:
                break
            made = item.make_progress()
            size += len(made.encode()) + ORIGIN_BYTES
            if size > max_bytes:
                break
            progress.append(made)
        return progress

    @property
    def progress_bytes(self):
        """Approximate size of what `list_progress` returns."""
        size = sum(item.size for item in self.items.values())
        return min(size, MAX_PROGRESS_BYTES)

    def mark_progress_stored(self, progress):
        """Record the `ItemProgress` that has been written to the store."""
        for item in progress:
            if item.item_id in self.items:
                self.items[item.item_id].stored_events = item.count

    def count_failures(self):
        """Return the number of failures by item id, for items that have failed."""
        items = self.items.items()
        return {name: item.failures for name, item in items if item.failures}

    def mark_failures_stored(self, failures):
        """Record the failure counts that have been written to the store."""
        for name, count in failures.items():
            if name in self.items:
                self.items[name].stored_failures = count

    @property
    def has_new_failures(self):
        """Whether there are failures that are not recorded in the store."""
        items = self.items.values()
        return any(item.failures > item.stored_failures for item in items)


def _decode(data):
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise HTTPReceiveError(
            f"An event is not UTF-8: {error}.", step="receive"
        ) from error
