"""Logs evacuations that are probably not meant as they are in force.

A misspelt data centre evacuates nothing, and evacuating the last one refuses all
requests; neither shows in the operator's entry.
"""

from ..telemetry import get_logger

__all__ = ["EvacuationMonitor"]

log = get_logger("eligibility")


class EvacuationMonitor:
    """Compares evacuated data centres with those where endpoints or hosts are.

    Parameters
    ----------
    eligibility : Eligibility
    directory : EndpointDirectory
    members : MemberDirectory
    """

    def __init__(self, eligibility, directory, members):
        self._eligibility = eligibility
        self._directory = directory
        self._members = members
        self._checked = frozenset()
        self._is_nothing_left = False

    def evaluate(self):
        """Log each evacuation of an unknown data centre, and of the last one, once."""
        if not self._directory.loaded or not self._members.loaded:
            # A host that starts doesn't know yet which data centres there are.
            return
        evacuated = self._eligibility.evacuated
        if not evacuated and not self._checked:
            return
        with_endpoints = {e.data_centre for e in self._directory.list_endpoints()}
        unchecked = evacuated - self._checked
        if unchecked:
            self._warn_of_unknown(unchecked - with_endpoints)
        self._checked = evacuated
        is_nothing_left = bool(with_endpoints) and with_endpoints <= evacuated
        if is_nothing_left is not self._is_nothing_left:
            self._is_nothing_left = is_nothing_left
            message = (
                "all data centres evacuated, requests are refused"
                if is_nothing_left
                else "not all data centres are evacuated any more"
            )
            log.warning(message, extra={"evacuated": sorted(evacuated)})

    def _warn_of_unknown(self, data_centres):
        with_hosts = {m.data_centre for m in self._members.list_others()}
        with_hosts.add(self._members.own.data_centre)
        for name in sorted(data_centres - with_hosts):
            log.warning(
                "evacuated data centre has no endpoints and no hosts",
                extra={"evacuated": name},
            )
