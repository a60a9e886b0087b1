"""Choice of the peers that may carry a connection to an endpoint."""

__all__ = ["TunnelPeers"]

# How long a peer that carried no connection is asked last.
AVOID_SECONDS = 2.0


class TunnelPeers:
    """Chooses peers by their reports and by what they did before.

    Parameters
    ----------
    members : MemberDirectory
    report_table : ReportTable
    clock : Clock
    random : random.Random
    """

    def __init__(self, members, report_table, clock, random):
        self._members = members
        self._report_table = report_table
        self._clock = clock
        self._random = random
        self._avoided_until = {}

    def choose(self, endpoint, count):
        """Return the addresses of up to `count` peers, the preferred one first.

        Parameters
        ----------
        endpoint : FleetEndpoint
        count : int

        Notes
        -----
        The first is of the endpoint's data centre, where the connection is short.
        The others are of any: the hosts of one data centre may have lost the
        endpoints together.
        """
        peers = [
            member
            for member in self._members.list_others()
            if self._report_table.is_reporting(member.name)
        ]
        self._random.shuffle(peers)
        peers.sort(key=lambda member: self._is_avoided(member.address))
        near = min(
            peers,
            key=lambda member: (
                self._is_avoided(member.address),
                member.data_centre != endpoint.data_centre,
            ),
            default=None,
        )
        others = [member for member in peers if member is not near]
        chosen = [near, *others][:count] if peers else []
        return [member.address for member in chosen]

    def note_failure(self, address):
        """Record that a peer carried no connection."""
        self._avoided_until[address] = self._clock.read_elapsed() + AVOID_SECONDS

    def note_success(self, address):
        """Record that a peer carries a connection."""
        self._avoided_until.pop(address, None)

    def _is_avoided(self, address):
        until = self._avoided_until.get(address)
        if until is None:
            return False
        if self._clock.read_elapsed() < until:
            return True
        del self._avoided_until[address]
        return False
