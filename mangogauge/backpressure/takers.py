"""Which hosts may send to a limited endpoint.

A few hosts tell each other within milliseconds what each sends, so all of them may send
to each endpoint. With hundreds, that would cost more than the requests do, and an even
part of a limit would be a request in a minute. So each limited endpoint is left to a
dozen hosts. All hosts derive them from the registered hosts, without an election.
"""

from heapq import nsmallest

import xxhash

__all__ = ["MAX_ENTRIES", "Takers"]

# Hosts of callers, and hosts that run items, to which a limited endpoint is left.
MAX_ENTRIES = 12
MAX_RUNNERS = 4


class Takers:
    """Ranks the registered hosts for each endpoint.

    Parameters
    ----------
    members : MemberDirectory
    is_direct : callable
        Returns whether each host sends its reports to all others.
    """

    def __init__(self, members, is_direct):
        self._members = members
        self._is_direct = is_direct

    @property
    def version(self):
        """Object that is another one once the registered hosts have changed."""
        return self._members.list_others()

    def list_names(self, endpoint):
        """Return the names of the hosts that may send to an endpoint.

        Parameters
        ----------
        endpoint : FleetEndpoint

        Returns
        -------
        frozenset of str

        Notes
        -----
        Hosts of the endpoint's own data centre come first: they hear each other
        soonest, and if the data centre is cut off, the endpoint is cut off with them.
        """
        hosts = [self._members.own, *self._members.list_others()]
        if self._is_direct():
            return frozenset(host.name for host in hosts)

        def rank(host):
            is_remote = host.data_centre != endpoint.data_centre
            digest = xxhash.xxh3_64_intdigest(f"{endpoint.name}/{host.name}".encode())
            return is_remote, digest

        entries = [host for host in hosts if host.serves_callers]
        runners = [host for host in hosts if host.runs_batch]
        chosen = nsmallest(MAX_ENTRIES, entries, key=rank)
        chosen += nsmallest(MAX_RUNNERS, runners, key=rank)
        return frozenset(host.name for host in chosen)
