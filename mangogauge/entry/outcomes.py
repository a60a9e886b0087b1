"""Refusals of calls that can't be served, whatever became of earlier attempts.

A status of 429 or 503 promises that no attempt has run the call and that none will.
"""

from ..http import HTTPError
from ..refusals import Refusal, RefusalCode

__all__ = ["include_attempts", "make_refusal", "make_timeout_error"]

RETRY_AFTER_SECONDS = 0.5


def include_attempts(refusal, state):
    """Return a refusal that holds for the attempts of a call too.

    Parameters
    ----------
    refusal : Refusal
        Of the next attempt, which has not run.
    state : DispatchState
    """
    if state.executed == "no":
        return refusal
    return Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        f"An attempt failed ({state.failure.reason}), and none follows:"
        f" {refusal.message}",
        executed=state.executed,
        retry_after=refusal.retry_after,
        step=refusal.step,
    )


def make_refusal(state):
    """Return the refusal of a call whose last attempt has failed."""
    if state.executed == "no":
        return Refusal(
            RefusalCode.NO_ENDPOINT,
            f"No endpoint took the request: {state.failure.reason}.",
            retry_after=RETRY_AFTER_SECONDS,
            step="dispatch",
        )
    return Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        f"The endpoint's answer was lost: {state.failure.reason}.",
        executed=state.executed,
        step="dispatch",
    )


def make_timeout_error(state):
    """Return the error of a call whose deadline has passed."""
    if state.relay.started:
        return HTTPError("The deadline passed within the answer.", step="relay")
    if state.executed == "no":
        return Refusal(
            RefusalCode.OVERLOADED,
            "The deadline passed before an endpoint was free.",
            retry_after=RETRY_AFTER_SECONDS,
            step="dispatch",
        )
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        "The deadline passed before the endpoint answered.",
        executed=state.executed,
        step="dispatch",
    )
