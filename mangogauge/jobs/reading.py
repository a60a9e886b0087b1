"""Read a job's results and bodies, at any host.

Results are append-only, so results that have been read are cached and not read
again, and the first read may come from a copy of the store that may be stale.
Later reads ask the store itself for results beyond the cached ones.
"""

from collections import OrderedDict

from attrs import define, field
from returns.result import Failure

from ..refusals import Refusal, RefusalCode
from ..store import StoreCompactedError
from .keys import (
    CANCELLED,
    make_input_key,
    make_manifest_key,
    make_piece_key,
    make_results_prefix,
    make_work_key,
)
from .packing import unpack_body
from .records import ItemResult, JobManifest

__all__ = ["JobReader"]

RETRY_AFTER_SECONDS = 0.5
MAX_CACHED_JOBS = 64
MAX_CACHED_TEXT_BYTES = 24_000_000


@define(eq=False)
class _CachedJob:
    """Manifest and results that this host has read of a job.

    Parameters
    ----------
    manifest : JobManifest
    revision : int
        Store's revision up to which all results are known; at first that of the
        manifest, since results are written after it.
    results : list of ItemResult
    last_key : str
        Key of the last results read.
    text_bytes : int
        Size of the results, as they are stored.
    copy_read : bool
        Whether a copy of the store has been read.
    """

    manifest = field()
    revision = field()
    results = field(factory=list)
    last_key = field(default="")
    text_bytes = field(default=0)
    copy_read = field(default=False)

    @property
    def is_complete(self):
        """Whether every item has a result."""
        return len(self.results) >= len(self.manifest.items)


class JobReader:
    """Reads jobs from the store, through a bounded cache.

    Parameters
    ----------
    store : Store
    feed : ChangeFeed
    clock : Clock
    """

    def __init__(self, store, feed, clock):
        self._store = store
        self._feed = feed
        self._clock = clock
        self._jobs = OrderedDict()

    async def read_results(self, job_id, account, position, wait_seconds):
        """Return the job's manifest and its results from a position on.

        Parameters
        ----------
        job_id, account : str
        position : int
            Position of the first result to return.
        wait_seconds : float
            How long to wait for a first result.

        Returns
        -------
        JobManifest, list of ItemResult

        Raises
        ------
        Refusal
            If the account has no such job, or the store is unavailable.
        """
        job = await self._find(job_id, account)
        if position < len(job.results) or job.is_complete:
            return job.manifest, job.results[position:]
        if not job.copy_read:
            await self._read_copy(job)
        if position >= len(job.results) and not wait_seconds:
            await self._read_more(job)
        if position >= len(job.results) and wait_seconds and not job.is_complete:
            await self._wait_for_more(job, wait_seconds)
        return job.manifest, job.results[position:]

    async def read_body(self, job_id, account, item_id):
        """Return the body of an item of a job that is not cancelled.

        Raises
        ------
        Refusal
            If there is no such item, or the store is unavailable.
        """
        job = await self._find(job_id, account)
        found = [item for item in job.manifest.items if item.item_id == item_id]
        cancelled_mark = (
            await self._get(make_work_key(job_id, CANCELLED)) if found else None
        )
        if not found or cancelled_mark is not None:
            raise _make_not_found_refusal("There is no such item.")
        item = found[0]
        part = await self._get_constant(make_input_key(job_id, item.part))
        if part is None:
            raise _make_not_found_refusal("The job has been forgotten.")
        return unpack_body(item, {item.part: part.value})

    async def check_job(self, job_id, account):
        """Raise a `Refusal` unless the account has such a job."""
        await self._find(job_id, account)

    async def _find(self, job_id, account):
        job = self._jobs.get(job_id)
        if job is None:
            item = await self._get_constant(make_manifest_key(job_id))
            if item is None:
                raise _make_not_found_refusal("There is no such job.")
            manifest = JobManifest.from_bytes(item.value)
            job = self._jobs[job_id] = _CachedJob(manifest, item.mod_revision)
            self._evict_oldest()
        self._jobs.move_to_end(job_id)
        if job.manifest.account != account:
            raise _make_not_found_refusal("There is no such job.")
        return job

    async def _read_copy(self, job):
        """Read results from a copy of the store, which may be stale."""
        prefix = make_results_prefix(job.manifest.job_id)
        answer = await self._feed.read_copy(prefix)
        if isinstance(answer, Failure):
            raise _make_unavailable_refusal(answer.failure())
        items = answer.unwrap().items
        job.copy_read = True
        await self._add(job, items)
        # The copy's age is unknown, so only the revisions of its results count.
        job.revision = max([job.revision, *(item.mod_revision for item in items)])

    async def _read_more(self, job):
        """Read the results beyond the cached ones from the store."""
        prefix = make_results_prefix(job.manifest.job_id)
        answer = await self._feed.read_snapshot(prefix, job.last_key)
        if isinstance(answer, Failure):
            raise _make_unavailable_refusal(answer.failure())
        snapshot = answer.unwrap()
        await self._add(job, snapshot.items)
        job.revision = snapshot.revision

    async def _wait_for_more(self, job, wait_seconds):
        """Wait in one call to the store for results written since the last read."""
        prefix = make_results_prefix(job.manifest.job_id)
        answer = await self._feed.read_changes(prefix, job.revision, wait_seconds)
        if isinstance(answer, Failure):
            if not isinstance(answer.failure(), StoreCompactedError):
                raise _make_unavailable_refusal(answer.failure())
            await self._read_more(job)
            return
        changes = answer.unwrap()
        await self._add(job, [e for e in changes.events if e.value is not None])
        job.revision = changes.revision

    async def _add(self, job, items):
        for item in items:
            if item.key <= job.last_key:
                continue
            data = item.value
            results = ItemResult.decode_group(data)
            pieces = results[0].pieces
            if pieces is not None:
                data = await self._join_pieces(job, pieces)
                results = ItemResult.decode_group(data)
            # Another reader may have added them meanwhile.
            if item.key <= job.last_key:
                continue
            job.results += results
            job.last_key = item.key
            job.text_bytes += len(data)

    async def _join_pieces(self, job, pieces):
        """Return the group of a result that is larger than a value of the store."""
        joined = b""
        for number in range(pieces.count):
            key = make_piece_key(job.manifest.job_id, pieces.name, number)
            piece = await self._get_constant(key)
            if piece is None:
                raise _make_not_found_refusal("The job has been forgotten.")
            joined += piece.value
        return joined

    def _evict_oldest(self):
        size = sum(job.text_bytes for job in self._jobs.values())
        while len(self._jobs) > 1 and (
            len(self._jobs) > MAX_CACHED_JOBS or size > MAX_CACHED_TEXT_BYTES
        ):
            _, job = self._jobs.popitem(last=False)
            size -= job.text_bytes

    async def _get_constant(self, key):
        answer = await self._store.get_constant(key)
        if isinstance(answer, Failure):
            raise _make_unavailable_refusal(answer.failure())
        return answer.unwrap()

    async def _get(self, key):
        answer = await self._store.get(key)
        if isinstance(answer, Failure):
            raise _make_unavailable_refusal(answer.failure())
        return answer.unwrap()


def _make_not_found_refusal(message):
    return Refusal(RefusalCode.NOT_FOUND, message, step="read job")


def _make_unavailable_refusal(error):
    return Refusal(
        RefusalCode.PLATFORM_AWAY,
        f"The platform's store can't be asked: {error}.",
        retry_after=RETRY_AFTER_SECONDS,
        step="read job",
    )
