"""Spillover of calls to other data centres, and the choice of a host there."""

from ..protocol.routing_pb2 import DataCentreLoad
from .choosers import HostChooser
from .sharing import SUMMARY_ENTRY

__all__ = ["SpillChooser"]

# Requests per slot by which the other data centre must be less loaded, to cover
# the cost of the path and the age of its report.
SPILL_MARGIN = 0.5
MIN_PRESSURE = 1.0


class SpillChooser(HostChooser):
    """Chooses hosts of other data centres; see `HostChooser`."""

    def __init__(self, view, router, random):
        super().__init__(view, router, random)
        self._endpoints = {}

    def set_endpoints(self, endpoints):
        """Replace the endpoints of all data centres by ``{name: Endpoint}``."""
        self._endpoints = dict(endpoints)

    def choose(self, call, excluded=()):
        """Return a `Member` of another data centre that can run `call`, or None."""
        own = self._view.own.data_centre
        suitable = {e.data_centre for e in self._endpoints.values() if call.suits(e)}
        pressures = {
            name: self._read_pressure(name, call.model) for name in suitable - {own}
        }
        for name in sorted(
            pressures, key=lambda n: (pressures[n], self._random.random())
        ):
            member = self._pick(self._view.list_members(name), excluded)
            if member is not None:
                return member
        return None

    def should_spill(self, call):
        """Return whether to forward `call` although it could run locally.

        Notes
        -----
        True with a probability proportional to the gain, so that hosts that use
        the same outdated report don't all forward to the same data centre.
        """
        if not call.model:
            return False
        slots, load = self._router.measure_models().get(call.model, (0, 0))
        own_pressure = load / slots if slots else 0.0
        if own_pressure < MIN_PRESSURE:
            return False
        own = self._view.own.data_centre
        others = {e.data_centre for e in self._endpoints.values() if call.suits(e)} - {
            own
        }
        best_pressure = min(
            (self._read_pressure(name, call.model) for name in others),
            default=float("inf"),
        )
        gain = own_pressure - best_pressure - SPILL_MARGIN
        return gain > 0 and self._random.random() < gain / (2 * own_pressure)

    def _read_pressure(self, data_centre, model):
        """Return requests per slot of a data centre; infinite if not reported."""
        for member in self._view.list_members(data_centre):
            raw = self._view.read(member.name, SUMMARY_ENTRY)
            if raw is None:
                continue
            for row in DataCentreLoad.FromString(raw).models:
                if row.model == model and row.slots:
                    return row.running / row.slots
        return float("inf")
