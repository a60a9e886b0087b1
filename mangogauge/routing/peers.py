"""Choice of a host of the own data centre that reaches what this one can't."""

from ..protocol.routing_pb2 import HostLoad
from .choosers import HostChooser
from .sharing import LOAD_ENTRY

__all__ = ["PeerChooser"]


class PeerChooser(HostChooser):
    """Chooses hosts of this data centre; see `HostChooser`."""

    def choose(self, call, excluded=()):
        """Return a `Member` that reports a suitable endpoint as up, or None."""
        own = self._view.own
        members = [
            member
            for member in self._view.list_members(own.data_centre)
            if member.name != own.name and self._has_reached(member, call)
        ]
        return self._pick(members, excluded)

    def _has_reached(self, member, call):
        raw = self._view.read(member.name, LOAD_ENTRY)
        if raw is None:
            return False
        for row in HostLoad.FromString(raw).reports:
            state = self._router.get_state(row.endpoint)
            is_open = not (row.down or row.leaving)
            if is_open and state is not None and call.suits(state.endpoint):
                return True
        return False
