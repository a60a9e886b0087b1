"""How far a failed attempt at an endpoint is known to have got."""

import enum

__all__ = ["Progress"]


class Progress(enum.Enum):
    """How far a failed attempt got."""

    NOT_SENT = "not sent"
    NOT_RUN = "sent, certainly not run"
    MAYBE_RUN = "maybe run"
    RUN = "run"

    @property
    def executed(self):
        """Whether the call was executed, as a refusal states it: "no" or "unknown"."""
        return "no" if self in (Progress.NOT_SENT, Progress.NOT_RUN) else "unknown"
