"""How commands reach the platform's store."""

import sys

import curio
from returns.result import Failure

from ..clock import SystemClock
from ..platform import GatewayStore, RecordStore, StoreLostAnswerError
from .exits import ExitCode
from .output import print_error

__all__ = ["run_with_records"]


def run_with_records(platform, function, *arguments):
    """Run an async function with a `RecordStore`; return its result's value.

    The process ends with a message if the result is a failure.
    """

    async def run():
        store = GatewayStore([platform])
        try:
            records = RecordStore(store)
            return await function(records, SystemClock(), *arguments)
        finally:
            await store.close()

    result = curio.run(run)
    if isinstance(result, Failure):
        error = result.failure()
        print_error(str(error))
        lost = isinstance(error, StoreLostAnswerError)
        sys.exit(ExitCode.UNKNOWN if lost else ExitCode.UNAVAILABLE)
    return result.unwrap()
