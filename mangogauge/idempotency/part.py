"""The components that handle keyed calls on one host."""

import curio

from ..daemon.parts import HostPart
from .dispatcher import KeyedDispatcher
from .grouping import GroupWriter
from .writing import FleetWriter

__all__ = ["KeyedCalls"]

FINISH_SECONDS = 30.0
FINISH_POLL_SECONDS = 0.02


class KeyedCalls(HostPart):
    """Runs calls with an idempotency key once across the fleet.

    Parameters
    ----------
    dispatcher : Dispatcher
    records : RecordStore
    view : MembershipView
    channels : ChannelPool
    clock : Clock

    Attributes
    ----------
    dispatcher : KeyedDispatcher
        Dispatches callers' requests.
    """

    def __init__(self, dispatcher, records, view, channels, clock):
        self._group_writer = GroupWriter(records, clock, view.own.name)
        self._writer = FleetWriter(view, channels, self._group_writer)
        self.dispatcher = KeyedDispatcher(
            dispatcher, records, self._writer, view, clock
        )

    def protocol_methods(self):
        """Return the RPC method that other hosts call."""
        return self._writer.protocol_methods()

    def take_fleet(self, fleet):
        """Apply newer fleet settings."""
        self._group_writer.interval = fleet.idempotency.group_seconds
        self._group_writer.retention_seconds = fleet.idempotency.retention_seconds

    async def run(self):
        """Send grouped writes until cancelled."""
        await self._group_writer.run()

    async def finish(self):
        """Wait until the outcomes of all calls are recorded, for a limited time."""
        async with curio.ignore_after(FINISH_SECONDS):
            while self.dispatcher.running_count:
                await curio.sleep(FINISH_POLL_SECONDS)
