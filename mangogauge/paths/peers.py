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

    def choose(self, endpoint, count, excluded=(), accepts=None):
        """Return the addresses of up to `count` peers, the preferred one first.

        Parameters
        ----------
        endpoint : FleetEndpoint
        count : int
        excluded : collection of str, optional
            Addresses of peers that aren't chosen.
        accepts : callable, optional
            Returns whether a `FleetMember` may be chosen; by default all may.

        Notes
        -----
        The first is of the endpoint's data centre, where the connection is short.
        The others are of any: the hosts of one data centre may have lost the
        endpoints together.
        """
        peers = [
            member
            for member in self._members.list_others()
            if member.address not in excluded
            and self._report_table.is_reporting(member.name)
            and (accepts is None or accepts(member))
        ]
        self._random.shuffle(peers)
        avoided = {m.address for m in peers if self._is_avoided(m.address, endpoint)}
        peers.sort(key=lambda member: member.address in avoided)
        near = min(
            peers,
            key=lambda member: (
                member.address in avoided,
                member.data_centre != endpoint.data_centre,
            ),
            default=None,
        )
        others = [member for member in peers if member is not near]
        chosen = [near, *others][:count] if peers else []
        return [member.address for member in chosen]

    def note_failure(self, address, endpoint=None):
        """Record that a peer carried no connection.

        Parameters
        ----------
        address : str
        endpoint : FleetEndpoint, optional
            The only endpoint that it doesn't reach; by default it may reach none.
        """
        now = self._clock.read_elapsed()
        self._avoided_until = {
            key: until for key, until in self._avoided_until.items() if now < until
        }
        name = endpoint and endpoint.name
        self._avoided_until[address, name] = now + AVOID_SECONDS

    def note_success(self, address, endpoint):
        """Record that a peer carries a connection."""
        for name in (None, endpoint.name):
            self._avoided_until.pop((address, name), None)

    def _is_avoided(self, address, endpoint):
        now = self._clock.read_elapsed()
        return any(
            now < self._avoided_until.get((address, name), now)
            for name in (None, endpoint.name)
        )
