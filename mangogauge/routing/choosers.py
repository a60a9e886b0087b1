"""Base of the choices of a host to forward calls to."""

from abc import ABC, abstractmethod

__all__ = ["HostChooser"]


class HostChooser(ABC):
    """Chooses hosts to forward calls to.

    Parameters
    ----------
    view : MembershipView
    router : BalancedRouter
    random : random.Random
    """

    def __init__(self, view, router, random):
        self._view = view
        self._router = router
        self._random = random

    @abstractmethod
    def choose(self, call, excluded=()):
        """Return a `Member` to forward `call` to, or None.

        Parameters
        ----------
        call : Call
        excluded : collection of str
            Names of hosts that were tried already.
        """

    def _pick(self, members, excluded):
        """Return any of the members that aren't excluded, or None."""
        left = [member for member in members if member.name not in excluded]
        return self._random.choice(left) if left else None
