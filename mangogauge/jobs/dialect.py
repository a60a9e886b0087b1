"""Interface of the wire formats in which callers submit and read batch jobs."""

import enum
from abc import ABC, abstractmethod

from attrs import field, frozen

__all__ = ["JobDialect", "JobOperation", "JobTarget"]


class JobOperation(enum.Enum):
    """Operations of callers on jobs that they have submitted."""

    READ_RESULTS = "read results"
    READ_BODY = "read body"
    CANCEL = "end"


@frozen
class JobTarget:
    """An operation and the id of the job that it is for."""

    operation = field()
    job_id = field()


class JobDialect(ABC):
    """Reads callers' requests for batch jobs, and renders results."""

    @abstractmethod
    def find_target(self, exchange):
        """Return the `JobTarget` of a request, or None if it is for no job."""

    @abstractmethod
    def read_submission(self, request, data):
        """Return the `Submission` of an `IncomingRequest`'s body.

        Raises
        ------
        Refusal
            If the body is not a valid job.
        """

    @abstractmethod
    def read_position(self, exchange):
        """Return the position of the first result requested."""

    @abstractmethod
    def read_wait(self, exchange):
        """Return the seconds that the caller will wait for a first result."""

    @abstractmethod
    def read_item_id(self, exchange):
        """Return the id of the item whose body is requested."""

    @abstractmethod
    def render_results(self, total, position, results):
        """Return the response body with results from a position on.

        Parameters
        ----------
        total : int
            Number of the job's items.
        position : int
            Position of the first result.
        results : list of ItemResult

        Returns
        -------
        bytes
        """
