"""A store that loses answers, before or after a write took effect."""

import enum

from returns.result import Failure

from mangogauge.store import MemoryStore, StoreLostAnswerError


class Fate(enum.Enum):
    """What happens to one transaction."""

    ANSWERED = "answered"
    LOST_BEFORE = "lost before it took effect"
    LOST_AFTER = "lost after it took effect"
    LATE = "lost, and takes effect later"


class LossyStore(MemoryStore):
    """A `MemoryStore` whose transactions meet the fates in `fates`, in order."""

    def __init__(self, clock):
        super().__init__(clock)
        self.fates = []
        self.late = []

    async def transact(self, transaction):
        fate = self.fates.pop(0) if self.fates else Fate.ANSWERED
        if fate is Fate.LATE:
            self.late.append(transaction)
        if fate in (Fate.LATE, Fate.LOST_BEFORE):
            return Failure(StoreLostAnswerError("lost", step="transact"))
        answer = await super().transact(transaction)
        if fate is Fate.LOST_AFTER:
            return Failure(StoreLostAnswerError("lost", step="transact"))
        return answer

    async def deliver_late(self):
        """Let the transactions under way take effect, if they still can."""
        late, self.late = self.late, []
        for transaction in late:
            await super().transact(transaction)
