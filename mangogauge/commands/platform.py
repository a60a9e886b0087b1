"""How commands reach the platform's store."""

import sys

import curio
from returns.result import Failure

from ..clock import SystemClock
from ..store import (
    GatewayStore,
    RecordStore,
    StoreLostAnswerError,
    StoreRefusedError,
)
from .exits import ExitCode
from .output import print_error

__all__ = ["run_with_records"]

EXIT_CODES = {
    StoreLostAnswerError: ExitCode.UNKNOWN,
    StoreRefusedError: ExitCode.REFUSED,
}
OUTCOMES = {
    ExitCode.UNKNOWN: "Whether this was recorded is not known; run it again.",
    ExitCode.REFUSED: "Not recorded.",
    ExitCode.UNAVAILABLE: "Not recorded: the platform's store does not answer.",
}


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
        code = EXIT_CODES.get(type(error), ExitCode.UNAVAILABLE)
        print_error(f"{OUTCOMES[code]} {error}")
        sys.exit(code)
    return result.unwrap()
