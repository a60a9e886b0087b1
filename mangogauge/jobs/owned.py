"""A job that this host runs, and how far its items are."""

from attrs import define, field

from ..http import HTTPLimitError, HTTPReceiveError
from .backoff import MAX_BACKOFF_SECONDS
from .packing import unpack_body
from .records import ItemResult, ItemState

__all__ = ["OwnedItem", "OwnedJob"]

# A run that lasted as long as the longest pause needs none for what came before.
LONG_RUN_SECONDS = MAX_BACKOFF_SECONDS
# An item that has so many events is taken to need half of its time still.
HALVING_EVENTS = 100
# Text of one item: a page of results holds at least one of them.
MAX_TEXT_BYTES = 1_000_000


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
        Data of the events that have come, in order.
    size : int
        Bytes of all of them.
    tried_endpoints : set of str
        Endpoints that it was sent to.
    last_event : int or None
        Number of the last of them.
    failures : int
        Endpoints' answers that it failed.
    stored_failures : int
        Those of them that the store knows of; an item with more isn't run, so
        that the host that runs the job next doesn't start to count anew.
    refusals : int
        Endpoints in a row that did not take it.
    interruptions : int
        Runs in a row that broke off, none of them after long.
    not_before : float
        Elapsed time before which it is not run again.
    endpoint : str
        Where it runs; empty if it doesn't.
    started_at : float
        Elapsed time of its last start.
    """

    job = field()
    item = field()
    body = field()
    event_texts = field(factory=list)
    size = field(default=0)
    tried_endpoints = field(factory=set)
    last_event = field(default=None)
    failures = field(default=0)
    stored_failures = field(default=0)
    refusals = field(default=0)
    interruptions = field(default=0)
    not_before = field(default=float("-inf"))
    endpoint = field(default="")
    started_at = field(default=0.0)

    def add_event(self, event):
        """Take the next event.

        Raises
        ------
        HTTPReceiveError
            If it is not the one that follows, or none that an engine would send.
        """
        number, data = event.number, event.data
        if number is None:
            raise HTTPReceiveError("An event has no number.", step="receive")
        if self.last_event is not None and number != self.last_event + 1:
            raise HTTPReceiveError(
                f"Event {number} followed event {self.last_event}.", step="receive"
            )
        if self.size + len(data) > MAX_TEXT_BYTES:
            self._reset()
            raise HTTPLimitError("text_bytes", MAX_TEXT_BYTES)
        self.event_texts.append(_decode(data))
        self.size += len(data)
        self.last_event = number
        self.refusals = 0

    def _reset(self):
        """Forget what has come: it can't all be an engine's text."""
        self.event_texts.clear()
        self.size = 0
        self.last_event = None

    def record_interruption(self, now):
        """Note that a run broke off, at an elapsed time."""
        if now - self.started_at >= LONG_RUN_SECONDS:
            self.interruptions = 0
        self.interruptions += 1

    def delay_until(self, until):
        """Let it rest until an elapsed time."""
        self.not_before = until

    def estimate_remaining_seconds(self, seconds_per_token):
        """Return the seconds that it will still run, at a pace for all its tokens.

        Notes
        -----
        How many events it will have is not known beforehand, so the estimate
        shrinks with those that have come but never reaches nothing.
        """
        seconds = max(1, self.item.tokens) * seconds_per_token
        return seconds / (1 + len(self.event_texts) / HALVING_EVENTS)

    def make_result(self, state):
        """Return its `ItemResult`."""
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
        Position of the next result.

    Attributes
    ----------
    items : dict of str to OwnedItem
        Items without a result, by id.
    finished : list of ItemResult
        Results that are not committed yet.
    claimed_at : float
        Elapsed time at which this host asked for its claim.
    write_after : float
        Elapsed time before which nothing is written again.
    """

    manifest = field()
    claim_revision = field()
    position = field(default=0)
    items = field(factory=dict)
    finished = field(factory=list)
    claimed_at = field(default=0.0)
    write_after = field(default=float("-inf"))

    @classmethod
    def restore(cls, manifest, parts, claim_revision, results, failures):
        """Build from what the store has.

        Parameters
        ----------
        manifest : JobManifest
        parts : sequence of bytes
            Input.
        claim_revision : int
        results : list of ItemResult
            Those that are committed.
        failures : dict of str to int
            By item, how often it has failed.
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
        return job

    @property
    def job_id(self):
        """Its id."""
        return self.manifest.job_id

    def finish(self, item, state):
        """Note that an item has its result, yet to be committed."""
        self.items.pop(item.item.item_id, None)
        self.finished.append(item.make_result(state))

    def list_ready(self, now):
        """Return the items that may be run now."""
        return [
            item
            for item in self.items.values()
            if not item.endpoint
            and item.not_before <= now
            and item.failures == item.stored_failures
        ]

    def count_failures(self):
        """Return ``{item id: int}`` of the items that have failed."""
        items = self.items.items()
        return {name: item.failures for name, item in items if item.failures}

    def mark_failures_stored(self, failures):
        """Note what the store knows of."""
        for name, count in failures.items():
            if name in self.items:
                self.items[name].stored_failures = count

    @property
    def has_new_failures(self):
        """Whether an item has failed that the store doesn't know of."""
        items = self.items.values()
        return any(item.failures > item.stored_failures for item in items)


def _decode(data):
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise HTTPReceiveError(f"An event is no text: {error}.", step="receive") from (
            error
        )
