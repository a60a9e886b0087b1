"""Evidence on the endpoints of one service, from this host and its peers."""

from collections import defaultdict

from .outcomes import NO_EVIDENCE, Evidence

__all__ = [
    "EndpointEvidence",
    "drop_cuts",
    "get_own_evidence",
    "list_link_suspects",
    "merge",
]

# Share of a data centre's endpoints that must be cut off at the same time for its
# link, or this host's own link, to be suspected.
LINK_SHARE = 0.75
MIN_CUTS = 2
# Probability below which this host's own answers contradict the peers' reports.
CONTRADICTION_CHANCE = 0.05


class EndpointEvidence(dict):
    """``{name: Evidence}`` of this host, without cuts that a link may have caused.

    Parameters
    ----------
    own : dict of str to Evidence
        Evidence of this host by endpoint.
    data_centres : dict of str to str
        Data centre of each endpoint of the service.

    Attributes
    ----------
    mean_answered : float
        Mean number of answers that this host had of the service's endpoints.
    """

    def __init__(self, own, data_centres):
        suspects = list_link_suspects(own, data_centres)
        super().__init__(
            (name, drop_cuts(found) if name in suspects else found)
            for name, found in own.items()
        )
        answered = sum(found.answered for found in own.values())
        self.mean_answered = answered / max(1, len(data_centres))


def list_link_suspects(own, data_centres):
    """Return the names of endpoints whose cuts are attributed to a link.

    Notes
    -----
    These are the cut endpoints of a data centre if at least `LINK_SHARE` of its used
    endpoints were cut off, and all cut endpoints if at least that share of all used
    endpoints were cut off.
    """
    used, cut = defaultdict(set), defaultdict(set)
    for name, found in own.items():
        for group in (data_centres[name], None):
            if found.total:
                used[group].add(name)
            if found.cut:
                cut[group].add(name)
    suspects = set()
    for group, names in cut.items():
        if len(names) >= max(MIN_CUTS, LINK_SHARE * len(used[group])):
            suspects |= names
    return suspects


def merge(name, own, reports, peers):
    """Return the combined `Evidence` of all hosts on an endpoint.

    Parameters
    ----------
    name : str
    own : EndpointEvidence
    reports : list of dict of str to Evidence
        The endpoints that failed, by each peer's report and each data centre's
        totals that contain failures.
    peers : int
        Number of other hosts that have reported, or been named in a data centre's
        summary, recently.

    Returns
    -------
    Evidence
        Cuts that only one source reports (this host, a peer, or a data centre's
        totals) count only if there is no other host.

    Notes
    -----
    Hosts that report no failures of the endpoint had answers of it, but don't tell
    how many. They are assumed to have had as many as this host had of the service's
    endpoints on average: dozens of hosts share the requests, so this host alone may
    have had none of an endpoint whose rare failures all hosts together report.
    """
    local = own.get(name, NO_EVIDENCE)
    others = [found[name] for found in reports if name in found]
    if peers and sum(found.cut > 0 for found in (local, *others)) < MIN_CUTS:
        local, others = drop_cuts(local), [drop_cuts(found) for found in others]
    reported = sum(others, NO_EVIDENCE)
    if _is_contradicted(local, reported):
        return local
    silent = max(0, peers - len(others)) * max(local.answered, own.mean_answered)
    return local + reported + Evidence(answered=round(silent))


def get_own_evidence(name, own, peers):
    """Return this host's `Evidence`; cuts count only if there is no other host."""
    local = own.get(name, NO_EVIDENCE)
    return drop_cuts(local) if peers else local


def drop_cuts(found):
    """Return `Evidence` without its cuts."""
    return Evidence(found.answered, found.failed, 0)


def _is_contradicted(local, reported):
    """Return whether this host's answers make the reported failures implausible.

    That is so if at the reported failure share this host would hardly have seen
    no failure at all.
    """
    if local.bad or not reported.bad:
        return False
    return (1 - reported.bad / reported.total) ** local.total < CONTRADICTION_CHANCE
