"""Which host of a data centre fills an endpoint with batch work.

Each endpoint is filled by one host, so that batch items leave online requests their
slots. A host that can't connect to an endpoint which others reach doesn't fill it.
"""

import hashlib

from attrs import define, field

from ..protocol.routing_pb2 import HostLoad
from ..routing.sharing import LOAD_ENTRY

__all__ = ["FillerChooser", "choose_host"]

# Longer than peers need to ask an endpoint that is reported as down themselves.
LOSS_SECONDS = 2.0
# Reports that come and go must not move the work with each change.
REGAIN_SECONDS = 5.0


@define
class _DoubtedPath:
    """A host's path to an endpoint that it has reported as down.

    Parameters
    ----------
    down_since : float
    up_since : float or None
        Elapsed time from which it is reported as down no longer.
    is_lost : bool
        Whether it was down for `LOSS_SECONDS` and hasn't been up for
        `REGAIN_SECONDS` since.
    """

    down_since = field()
    up_since = field(default=None)
    is_lost = field(default=False)

    def note(self, is_down, now, factor):
        """Take in the host's latest report.

        Parameters
        ----------
        is_down : bool
        now : float
            Elapsed time in seconds.
        factor : float
            By which hosts ask endpoints less often in a large data centre.
        """
        if not is_down:
            self.up_since = now if self.up_since is None else self.up_since
            return
        self.up_since = None
        self.is_lost = self.is_lost or now - self.down_since >= LOSS_SECONDS * factor

    def is_sound(self, now, factor):
        """Return whether nothing is left to be doubted."""
        if self.up_since is None:
            return False
        return not self.is_lost or now - self.up_since >= REGAIN_SECONDS * factor


class FillerChooser:
    """Chooses the host that fills each endpoint, by what hosts report of them.

    Parameters
    ----------
    view : MembershipView
    """

    def __init__(self, view):
        self._view = view
        self._members = ()
        # By host: its report as it came, and {endpoint: whether it is down}.
        self._parsed = {}
        self._reports = {}
        self._paths = {}
        self._has_heard_peers = False
        self._is_alone = False

    def refresh(self, members):
        """Read the latest reports.

        Parameters
        ----------
        members : iterable of Member
            Hosts that may fill endpoints.
        """
        self._members = members
        live = self._view.list_members(self._view.own.data_centre)
        self._is_alone = len(live) == 1
        self._has_heard_peers = self._has_heard_peers or not self._is_alone
        names = [member.name for member in live]
        self._parsed = {name: self._read(name) for name in names}
        self._reports = {name: down for name, (_, down) in self._parsed.items()}
        self._follow_paths(self._view.read_now(), self._view.interval_factor)

    def choose(self, endpoint):
        """Return the name of the host that fills an endpoint; empty if none does.

        Notes
        -----
        A host that has lost the endpoint is chosen only if all have. One that
        hears no peer any more can't know, and leaves the endpoint to those that
        it has heard before.
        """
        if self._is_cut_off(endpoint.name):
            return ""
        return choose_host(endpoint, self._members, self._has_lost)

    def is_handed_over(self, endpoint):
        """Return whether items for an endpoint are to be left to another host.

        It is if this host can't connect to it and the one that fills it does: an
        endpoint that nobody reaches is waited for where its items are.
        """
        own, name = self._view.own.name, endpoint.name
        path = self._paths.get((own, name))
        if path is None or not path.is_lost or path.up_since is not None:
            return False
        filler = self.choose(endpoint)
        if filler == own or self._has_lost(filler, name):
            return False
        return not filler or self._reports.get(filler, {}).get(name) is False

    def list_lost(self, host):
        """Return names of endpoints that a host can't connect to."""
        return {n for (h, n), path in self._paths.items() if h == host and path.is_lost}

    def _read(self, host):
        """Return a host's report, and which endpoints it has as down by name."""
        raw = self._view.read(host, LOAD_ENTRY)
        if raw is None:
            return raw, {}
        known = self._parsed.get(host)
        if known is not None and known[0] == raw:
            return known
        rows = HostLoad.FromString(raw).reports
        return raw, {row.endpoint: row.down for row in rows}

    def _follow_paths(self, now, factor):
        down = {
            (host, name)
            for host, rows in self._reports.items()
            for name, is_down in rows.items()
            if is_down
        }
        paths = {key: p for key, p in self._paths.items() if key[0] in self._reports}
        for key in down - set(paths):
            paths[key] = _DoubtedPath(now)
        for key, path in paths.items():
            path.note(key in down, now, factor)
        self._paths = {
            key: p for key, p in paths.items() if not p.is_sound(now, factor)
        }

    def _has_lost(self, host, endpoint):
        path = self._paths.get((host, endpoint))
        return path is not None and path.is_lost

    def _is_cut_off(self, endpoint):
        """Return whether this host reaches neither an endpoint nor its peers."""
        if not self._is_alone or not self._has_heard_peers:
            return False
        return self._has_lost(self._view.own.name, endpoint)


def choose_host(endpoint, members, has_lost=lambda host, endpoint: False):
    """Return the name of the host that fills an endpoint with batch work.

    One of the hosts in the endpoint's data centre, by rendezvous hashing; one
    of all if there is none. If hosts disagree for a while, each sees the
    other's items in the endpoint's report and leaves them their slots.

    Parameters
    ----------
    endpoint : Endpoint
    members : iterable of Member
    has_lost : callable, optional
        Whether a host can't connect to an endpoint, by their names. Such hosts
        are chosen only if all are.
    """
    near = [m.name for m in members if m.data_centre == endpoint.data_centre]
    names = near or [m.name for m in members]
    names = [n for n in names if not has_lost(n, endpoint.name)] or names
    return min(names, key=lambda name: _rank(endpoint.name, name), default="")


def _rank(endpoint, host):
    return hashlib.blake2b(f"{endpoint}\0{host}".encode(), digest_size=8).digest()
