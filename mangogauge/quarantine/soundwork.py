"""Answers that went on while endpoints crashed elsewhere."""

from collections import deque

__all__ = ["SoundWork"]

MAX_ANSWERS = 1024


class SoundWork:
    """Answers of the last moments, by the shared parts of their prompts.

    Parameters
    ----------
    seconds : float
        How long an answer is remembered.

    Examples
    --------
    >>> work = SoundWork(1.0)
    >>> work.note(("a",), "llm", 5.0)
    >>> work.is_beside("b", "llm", 4.5, 5.5), work.is_beside("a", "llm", 4.5, 5.5)
    (True, False)
    """

    def __init__(self, seconds):
        self._seconds = seconds
        self._answers = deque(maxlen=MAX_ANSWERS)

    def note(self, parts, service, now):
        """Note that an answer of a service went on or ended at an elapsed time."""
        while self._answers and self._answers[0][0] < now - self._seconds:
            self._answers.popleft()
        self._answers.append((now, service, frozenset(parts)))

    def is_beside(self, part, service, since, until):
        """Return whether an answer of a service without a part went on then."""
        return any(
            since < at <= until and service == answered and part not in parts
            for at, answered, parts in self._answers
        )
