"""The paths from one host to all endpoints, as its connections have shown them."""

from .states import NEXT_ON_FAILED_CONNECTION, PathState

__all__ = ["PathTable"]

# None stands for an endpoint that is reached directly.
USABLE_STATES = (None, PathState.TUNNELLED)


class PathTable:
    """State of the path to each endpoint.

    Parameters
    ----------
    clock : Clock

    Notes
    -----
    While any endpoint isn't reached directly, those that haven't answered since are
    unverified: the same network fault may affect them.

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> paths = PathTable(ManualClock())
    >>> paths.note_failed_connection("e")
    >>> paths.get("e").value
    'suspected'
    >>> paths.note_tunnel("e")
    >>> paths.get("e").value
    'tunnelled'
    >>> paths.note_failed_direct("e")
    >>> paths.get("e").value
    'tunnelled'
    """

    def __init__(self, clock):
        self._clock = clock
        self._indirect = {}
        self._contacted_at = {}
        self._indirect_since = None

    def get(self, name):
        """Return the `PathState` of an endpoint."""
        return self._indirect.get(name, PathState.DIRECT)

    def is_usable(self, name):
        """Return whether requests can be sent to an endpoint."""
        return self._indirect.get(name) in USABLE_STATES

    def is_tunnelled(self, name):
        """Return whether an endpoint is reached through peers only."""
        return self._indirect.get(name) is PathState.TUNNELLED

    def list_indirect(self):
        """Return the names of the endpoints that aren't reached directly."""
        return list(self._indirect)

    def is_unverified(self, name):
        """Return whether there was no contact since another path failed."""
        if self._indirect_since is None:
            return False
        return self._contacted_at.get(name, float("-inf")) < self._indirect_since

    def note_failed_connection(self, name):
        """Record that a connection could not be made, by the path in use."""
        if self._indirect_since is None:
            self._indirect_since = self._clock.read_elapsed()
        self._indirect[name] = NEXT_ON_FAILED_CONNECTION[self.get(name)]

    def note_failed_direct(self, name):
        """Record that a direct connection could not be made.

        Notes
        -----
        It may have been begun before another path was found.
        """
        if not self.is_tunnelled(name):
            self.note_failed_connection(name)

    def note_connection(self, name):
        """Record that a direct connection was made."""
        self._indirect.pop(name, None)
        self._note_contact(name)

    def note_tunnel(self, name):
        """Record that a peer reaches an endpoint to which the direct path is lost."""
        self._indirect[name] = PathState.TUNNELLED
        self._note_contact(name)

    def note_loss(self, name):
        """Record that no peer reaches the endpoint either."""
        self._indirect[name] = PathState.LOST

    def note_answer(self, name):
        """Record an answer, which shows nothing of the direct path if it is lost."""
        if not self.is_tunnelled(name):
            self._indirect.pop(name, None)
        self._note_contact(name)

    def forget(self, name):
        """Remove an endpoint that no longer exists."""
        self._indirect.pop(name, None)
        self._contacted_at.pop(name, None)
        self._update_indirect_since()

    def _note_contact(self, name):
        self._contacted_at[name] = self._clock.read_elapsed()
        self._update_indirect_since()

    def _update_indirect_since(self):
        if not self._indirect:
            self._indirect_since = None
