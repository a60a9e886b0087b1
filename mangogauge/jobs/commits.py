"""Commit the results of jobs, in as many writes as the store's limits require.

Results that are ready together are written in groups, each as one value at the
position of its first result, one after the other. The last of them closes the job. A
result that is larger than a value is written in pieces first, and the value at its
position then names them.
"""

import uuid

from attrs import define, field
from returns.result import Failure, Success

from ..store import (
    Condition,
    Operation,
    StoreRefusedError,
    StoreUnavailableError,
    Transaction,
)
from ..telemetry import get_logger
from .keys import (
    CLAIM,
    OPEN,
    make_closed_key,
    make_piece_key,
    make_result_key,
    make_work_key,
)
from .records import ItemResult, ResultPieces

__all__ = ["ResultCommits"]

log = get_logger("claims")


@define(eq=False)
class _PendingCommit:
    """Results of a commit that the store has not confirmed yet.

    Retries send the same data, so that a conflict with an earlier attempt can be
    recognized.

    Parameters
    ----------
    position : int
        Position of the first of the results.
    results : list of ItemResult
    data : bytes
        The value that is written at the position.
    pieces : list of Operation, optional
        Writes that come before, of a result that exceeds a value.
    written_pieces : int
    """

    position = field()
    results = field()
    data = field()
    pieces = field(factory=list)
    written_pieces = field(default=0)


class ResultCommits:
    """Commits results under this host's claims.

    Parameters
    ----------
    store : Store
    sizes : WriteSizes
    """

    def __init__(self, store, sizes):
        self._store = store
        self._sizes = sizes
        self._pending = {}

    def discard(self, job):
        """Discard the pending commit of a job whose claim is given up or lost."""
        self._pending.pop(job.job_id, None)

    async def commit(self, job, now):
        """Write the first of a job's finished results; close the job with the last.

        Parameters
        ----------
        job : OwnedJob
        now : float
            Seconds since the Unix epoch.

        Returns
        -------
        returns.result.Result
            ``Success(bool)``: whether the claim is still valid. After a
            ``Failure`` the call must be retried.
        """
        commit = self._pending.get(job.job_id)
        if commit is None:
            commit = self._pending[job.job_id] = self._begin(job)
        answer = await self._write(job, commit, now)
        if isinstance(answer, Failure):
            self._note_failure(job, answer.failure())
            return answer
        outcome = answer.unwrap()
        if not outcome.succeeded:
            return self._resolve_conflict(job, commit, outcome)
        self._apply(job, commit)
        return Success(True)

    def _begin(self, job):
        """Return the `_PendingCommit` of as many results as one value takes."""
        results, rows, size = [], [], 0
        for result in job.finished:
            row = result.encode()
            size += len(row) + 1
            if results and size >= self._sizes.group_bytes:
                break
            results.append(result)
            rows.append(row)
        data = ItemResult.join_group(rows)
        if len(data) <= self._sizes.value_bytes:
            return _PendingCommit(job.position, results, data)
        return self._begin_pieces(job, results[0], data)

    def _begin_pieces(self, job, result, data):
        size = self._sizes.group_bytes
        # Another host may write other pieces for the same position.
        name = uuid.uuid4().hex
        pieces = [
            Operation(
                make_piece_key(job.job_id, name, number), data[start : start + size]
            )
            for number, start in enumerate(range(0, len(data), size))
        ]
        reference = ItemResult(
            result.item_id, result.state, pieces=ResultPieces(name, len(pieces))
        )
        data = ItemResult.encode_group([reference])
        return _PendingCommit(job.position, [result], data, pieces)

    async def _write(self, job, commit, now):
        """Return the outcome of the last write, or of the first that did not succeed.

        Notes
        -----
        A claim may be lost between two of them. Pieces that no value names are
        deleted with the job.
        """
        held_claim = Condition(make_work_key(job.job_id, CLAIM), job.claim_revision)
        while commit.written_pieces < len(commit.pieces):
            number = commit.written_pieces
            piece = Transaction([held_claim], [commit.pieces[number]])
            answer = await self._store.transact(piece)
            if isinstance(answer, Failure) or not answer.unwrap().succeeded:
                return answer
            commit.written_pieces = number + 1
        return await self._store.transact(self._make_transaction(job, commit, now))

    def _make_transaction(self, job, commit, now):
        claim = make_work_key(job.job_id, CLAIM)
        result_key = make_result_key(job.job_id, commit.position)
        conditions = [Condition(claim, job.claim_revision), Condition(result_key, 0)]
        operations = [Operation(result_key, commit.data)]
        if commit.position + len(commit.results) >= len(job.manifest.items):
            operations += [
                Operation(make_work_key(job.job_id, OPEN)),
                Operation(make_closed_key(int(now), job.job_id), b"-"),
                Operation(claim),
            ]
        return Transaction(conditions, operations)

    def _note_failure(self, job, error):
        """Begin anew, with less at once, if the store will never take this commit."""
        self._sizes.note_failure(error)
        if isinstance(error, StoreRefusedError):
            self.discard(job)

    def _resolve_conflict(self, job, commit, outcome):
        current = {item.key: item for item in outcome.current}
        written = current.get(make_result_key(job.job_id, commit.position))
        claim = current.get(make_work_key(job.job_id, CLAIM))
        if written is not None and written.value == commit.data:
            # An earlier attempt took effect, but its answer was lost.
            self._apply(job, commit)
            return Success(True)
        if written is None and claim is None:
            # No other host has claimed the job: this one reclaims it and retries.
            return Failure(StoreUnavailableError("The claim lapsed.", step="commit"))
        log.warning(
            "claim lost",
            extra={
                "job": job.job_id,
                "claimant": claim.value.decode() if claim else "",
                "dropped": len(commit.results),
            },
        )
        self.discard(job)
        return Success(False)

    def _apply(self, job, commit):
        if self._pending.get(job.job_id) is not commit:
            # A call at the same time, such as that of a stop, has applied it.
            return
        self.discard(job)
        job.position = commit.position + len(commit.results)
        job.finished = job.finished[len(commit.results) :]
