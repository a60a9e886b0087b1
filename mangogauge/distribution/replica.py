"""A host's copy of something that the platform keeps for the whole fleet."""

from abc import ABC, abstractmethod

__all__ = ["CHANGES_PREFIX", "Replica"]

# A write to anything that is replicated also writes its key under this
# prefix, so that one cheap call tells a relay whether anything has changed.
CHANGES_PREFIX = "changes/"


class Replica(ABC):
    """A copy that only ever moves forward.

    Attributes
    ----------
    name : str
        Names the copy among a host's published entries and under
        ``changes/`` at the platform.
    """

    name = ""

    @property
    @abstractmethod
    def position(self):
        """How far this copy is; a number that never falls."""

    @property
    def in_force(self):
        """How far what this host acts by is; never beyond `position`."""
        return self.position

    def settle(self, peer_positions):
        """Put in force what waited for a peer to have it too.

        Parameters
        ----------
        peer_positions : list of int or None
            Positions that the other live hosts of this data centre publish;
            None for one that has published none.

        Returns
        -------
        bool
            Whether anything was put in force.
        """
        return False

    @property
    @abstractmethod
    def loaded(self):
        """Whether the copy has been filled at least once."""

    @abstractmethod
    async def read_platform(self, changed_at):
        """Bring the copy up to the platform's state.

        Parameters
        ----------
        changed_at : int
            Revision of the store at which the platform's value last changed;
            0 if it never was written.

        Returns
        -------
        returns.result.Result
            ``Success(None)``, or ``Failure(StoreError)``.
        """

    @abstractmethod
    async def fetch(self, channel):
        """Bring the copy up to a peer's state.

        Raises
        ------
        ChannelError, CallError
        """

    @abstractmethod
    def protocol_methods(self):
        """Return the `Method` objects by which peers fetch."""
