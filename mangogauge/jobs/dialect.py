"""How batch jobs are written for callers."""

import enum
from abc import ABC, abstractmethod

from attrs import field, frozen

__all__ = ["JobDialect", "JobOperation", "JobTarget"]


class JobOperation(enum.Enum):
    """What a caller wants of a job that it has submitted."""

    READ_RESULTS = "read results"
    READ_BODY = "read body"
    CANCEL = "end"


@frozen
class JobTarget:
    """An operation and the job that it concerns."""

    operation = field()
    job_id = field()


class JobDialect(ABC):
    """Callers' side of batch jobs."""

    @abstractmethod
    def find_target(self, exchange):
        """Return the `JobTarget` of a request, or None if it has none."""

    @abstractmethod
    def read_submission(self, request, data):
        """Return the `Submission` of an `IncomingRequest`'s body.

        Raises
        ------
        Refusal
            If the body is no job.
        """

    @abstractmethod
    def read_position(self, exchange):
        """Return the position from which results are asked for."""

    @abstractmethod
    def read_wait(self, exchange):
        """Return the seconds that a reader will wait for a first result."""

    @abstractmethod
    def read_item_id(self, exchange):
        """Return the id of the item whose body is asked for."""

    @abstractmethod
    def render_results(self, total, position, results):
        """Return the body that tells results from a position on."""
