"""What a part of a host may offer: calls, operators' paths, settings, tasks."""

import curio

__all__ = ["HostPart"]


class HostPart:
    """A part of a host; each method may be left as it is here."""

    def protocol_methods(self):
        """Return the `Method` objects that peers may call."""
        return []

    def operator_handlers(self):
        """Return handlers of the operators' port: ``{path: async callable}``."""
        return {}

    def take_fleet(self, fleet):
        """Put newer settings in force."""

    async def run(self):
        """Work until cancelled; runs in a task of its own."""
        await curio.Event().wait()

    @property
    def busy(self):
        """Whether work for others runs here that must not be cut off."""
        return False

    def announce_drain(self):
        """Take on no new work: the host is about to drain."""

    async def drain(self):
        """Hand over what this host holds; no request runs here any more."""
