"""A store that goes away at the worst moment, and a batch job in it."""

import curio
from returns.result import Failure

from mangogauge.batch.files import FileStore, UploadRequest
from mangogauge.batch.jobs import Job, JobStore
from mangogauge.batch.keys import make_claim_key
from mangogauge.settings import BatchSettings
from mangogauge.store import MemoryStore, RecordStore, StoreUnavailableError

JOB_ID = "batch_1"
CLAIM_KEY = make_claim_key(JOB_ID, 0)
LINE = b'{"custom_id":"%d","method":"POST","url":"/v1/x","body":{}}\n'


class VanishingStore(MemoryStore):
    """A store that answers nothing more once the first claim is written."""

    away = False
    has_vanished = False

    async def get(self, key):
        return self._answer(await super().get(key))

    async def list_prefix(self, *arguments, **options):
        return self._answer(await super().list_prefix(*arguments, **options))

    async def transact(self, transaction):
        if self.away:
            return _make_away()
        answer = await super().transact(transaction)
        claims = any(o.key == CLAIM_KEY for o in transaction.operations)
        if claims and not self.has_vanished:
            self.away = self.has_vanished = True
        return answer

    def _answer(self, answer):
        return _make_away() if self.away else answer


def _make_away():
    return Failure(StoreUnavailableError("away", step="call", peer="store"))


def make_store(clock, items):
    """Return a `VanishingStore` with one open job of one chunk."""
    store = VanishingStore(clock)
    curio.run(_write_job, RecordStore(store), clock, items)
    return store


async def _write_job(records, clock, items):
    files = FileStore(records, clock)
    request = UploadRequest("desk", "items.jsonl", "batch")
    file = (
        await files.save(lambda: request, _iterate(items), BatchSettings())
    ).unwrap()
    row = (await files.find("desk", file.file_id)).unwrap()
    now = int(clock.read_calendar())
    job = Job(
        job_id=JOB_ID,
        account="desk",
        file_id=file.file_id,
        upload_id=file.upload_id,
        counts=file.counts,
        target="/v1/x",
        window="24h",
        created_at=now,
        due_at=now + 86_400,
        expires_at=now + 172_800,
        fingerprint="f",
    )
    (await JobStore(records).create(job, row, ())).unwrap()


async def _iterate(items):
    for number in range(items):
        yield LINE % number
