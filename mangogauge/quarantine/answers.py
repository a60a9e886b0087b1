"""Answers that show parts of prompts to be sound: whole ones, and those that went on.

A request that crashes endpoints does so at about the same time in its answer. An
answer that has merely begun proves nothing, therefore, but one that went on for much
longer than another had when its endpoint crashed shows that their common parts didn't
cause that crash.
"""

from collections import OrderedDict

from attrs import field, frozen

__all__ = ["PartAnswer", "PartAnswers", "WHOLE", "outlasts"]

# What stands for the length of an answer that is whole: it outlasts any other.
WHOLE = float("inf")
# How long an answer keeps its parts from being accused. A part that turned harmful
# later is accused only after this time.
ANSWER_LIFETIME_SECONDS = 10.0
MAX_ANSWERED_PARTS = 8192
# An answer outlasts another if it is longer by this factor and this time.
OUTLAST_FACTOR = 1.5
OUTLAST_SECONDS = 0.5


def outlasts(seconds, answer_seconds):
    """Return whether an answer shows that its parts didn't crash another's endpoint.

    Parameters
    ----------
    seconds : float
        How long the answer went on; `WHOLE` if it is.
    answer_seconds : float
        How long the other answer had gone on at the crash; 0 if it hadn't begun.

    Examples
    --------
    >>> outlasts(0.7, 0.2), outlasts(0.8, 0.2), outlasts(WHOLE, 60.0)
    (False, True, True)
    """
    return seconds >= answer_seconds * OUTLAST_FACTOR + OUTLAST_SECONDS


@frozen
class PartAnswer:
    """The last answer with a part.

    Parameters
    ----------
    seconds : float
        How long it went on; `WHOLE` if it is.
    at : float
        Elapsed time when it was seen last.
    """

    seconds = field()
    at = field()


class PartAnswers:
    """The last answers by the parts of their prompts, whole ones before others.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> answers = PartAnswers(ManualClock())
    >>> answers.note("a", PartAnswer(4.0, 0.0))
    True
    >>> answers.clears("a", 2.0), answers.clears("a", 3.0)
    (True, False)
    """

    def __init__(self, clock):
        self._clock = clock
        self._answers = OrderedDict()

    def get(self, part):
        """Return the `PartAnswer` of a part, or None if there was none lately."""
        answer = self._answers.get(part)
        return answer if answer is not None and self._is_recent(answer) else None

    def note(self, part, answer):
        """Note a `PartAnswer`; return whether it shows more than what is known."""
        known = self.get(part)
        if not self._is_recent(answer) or not _shows_more(answer, known):
            return False
        self._answers[part] = answer
        self._answers.move_to_end(part)
        if len(self._answers) > MAX_ANSWERED_PARTS:
            self._answers.popitem(last=False)
        return True

    def clears(self, part, answer_seconds):
        """Return whether a part didn't cause a crash so long into an answer."""
        answer = self.get(part)
        return answer is not None and outlasts(answer.seconds, answer_seconds)

    def _is_recent(self, answer):
        return answer.at > self._clock.read_elapsed() - ANSWER_LIFETIME_SECONDS


def _shows_more(answer, known):
    if known is None or answer.seconds > known.seconds:
        return True
    return answer.seconds == known.seconds and answer.at > known.at
