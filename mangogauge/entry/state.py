"""State of one call while it is dispatched."""

from attrs import define, field

__all__ = ["DispatchState", "HeldSlot"]


class HeldSlot:
    """The slot that an attempt holds at its endpoint.

    Parameters
    ----------
    slots : SlotQueue
    endpoint : FleetEndpoint
    clock : Clock
    """

    def __init__(self, slots, endpoint, clock):
        self._slots = slots
        self._endpoint = endpoint
        self._clock = clock
        self._began_at = clock.read_elapsed()
        self._is_held = True

    async def release(self):
        """Release it, unless that has been done."""
        if not self._is_held:
            return
        self._is_held = False
        seconds = self._clock.read_elapsed() - self._began_at
        await self._slots.release(self._endpoint, seconds)


@define(eq=False)
class DispatchState:
    """State of one call's dispatch.

    Attributes
    ----------
    excluded : set of str
        Names of endpoints that the next attempt must not use.
    contacted : set of str
        Names of endpoints that the call was sent to.
    possible_runs : int
        Number of attempts that may have run the call.
    may_be_running : bool
        Whether any endpoint may be running the call.
    failure : AttemptFailure or None
        Failure of the last attempt.
    endpoint : FleetEndpoint or None
        Endpoint of the last attempt.
    slot : HeldSlot or None
        The slot that the last attempt held there.
    diagnoses : list of curio.Task
        Each returns whether an attempt crashed its endpoint.
    successor : FleetEndpoint or None
        Endpoint that goes on with a silent endpoint's answer; a slot is held there.
    connected : str
        Name of the endpoint to which a connection has just been made.
    connected_at : float
        Elapsed time at which the connection of the last attempt was made.
    """

    call = field()
    relay = field()
    excluded = field(factory=set)
    contacted = field(factory=set)
    attempts = field(default=0)
    possible_runs = field(default=0)
    may_be_running = field(default=False)
    failure = field(default=None)
    endpoint = field(default=None)
    slot = field(default=None)
    diagnoses = field(factory=list)
    successor = field(default=None)
    connected = field(default="")
    connected_at = field(default=0.0)

    @property
    def executed(self):
        """Whether an attempt may have run the call, as `Refusal` tells the caller."""
        return "unknown" if self.may_be_running or self.possible_runs else "no"

    def note_sending(self):
        """Note that the first byte is about to be sent to an endpoint."""
        self.may_be_running = True

    def needs_new_connection(self, endpoint):
        """Return whether the next attempt must not use an open connection.

        Notes
        -----
        What has broken one connection may have broken all that were open. A late
        duplicate of an endpoint's earlier answer has the request's id.
        """
        is_retry = self.may_be_running and endpoint.name != self.connected
        return is_retry or endpoint.name in self.contacted
