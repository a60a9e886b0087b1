"""How far an attempt at an endpoint got, as far as is known."""

import enum

__all__ = ["Progress"]


class Progress(enum.Enum):
    """What is known of an attempt that failed."""

    NOT_SENT = "not sent"
    NOT_RUN = "sent, certainly not run"
    MAYBE_RUN = "maybe run"
    RUN = "run"

    @property
    def executed(self):
        """What a refusal may truthfully say: ``"no"`` or ``"unknown"``."""
        return "no" if self in (Progress.NOT_SENT, Progress.NOT_RUN) else "unknown"
