"""Evidence on the endpoints of one service: this host's and what others report."""

from collections import defaultdict

from .outcomes import NO_EVIDENCE, Evidence

__all__ = ["EndpointEvidence", "get_own_evidence", "list_link_suspects", "merge"]

# Part of a data centre's endpoints that must be cut off at once for its link,
# or this host's own, to be suspected.
LINK_SHARE = 0.75
MIN_CUTS = 2
# Chance below which this host's own answers speak against what others tell.
CONTRADICTION_CHANCE = 0.05


class EndpointEvidence(dict):
    """``{name: Evidence}`` of this host, without what its links may have caused.

    Parameters
    ----------
    own : dict of str to Evidence
    data_centres : dict of str to str
        Where each of the endpoints is.
    """

    def __init__(self, own, data_centres):
        suspects = list_link_suspects(own, data_centres)
        super().__init__(
            (name, _drop_cuts(found) if name in suspects else found)
            for name, found in own.items()
        )


def list_link_suspects(own, data_centres):
    """Return the endpoints whose cuts are put down to a link.

    Notes
    -----
    Those of a data centre of which nearly all that were used were cut off, and all
    of them if nearly all that were used anywhere were.
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
    """Return the `Evidence` on an endpoint from all hosts together.

    Parameters
    ----------
    name : str
    own : EndpointEvidence
    reports : list of dict of str to Evidence
        Of each other source: only endpoints that failed there.
    peers : int
        How many other hosts are heard.

    Returns
    -------
    Evidence
        Cuts that one host alone has seen count only if there is no other host. The
        hosts that report nothing are taken to have had as many answers as this one.
    """
    local = own.get(name, NO_EVIDENCE)
    others = [found[name] for found in reports if name in found]
    if peers and sum(found.cut > 0 for found in (local, *others)) < MIN_CUTS:
        local, others = _drop_cuts(local), [_drop_cuts(found) for found in others]
    reported = sum(others, NO_EVIDENCE)
    if _is_contradicted(local, reported):
        return local
    silent = max(0, peers - len(others)) * local.answered
    return local + reported + Evidence(answered=silent)


def get_own_evidence(name, own, peers):
    """Return the `Evidence` of this host; its cuts only if there is no other host."""
    local = own.get(name, NO_EVIDENCE)
    return _drop_cuts(local) if peers else local


def _drop_cuts(found):
    return Evidence(found.answered, found.failed, 0)


def _is_contradicted(local, reported):
    """Return whether this host would hardly have had none of others' failures."""
    if local.bad or not reported.bad:
        return False
    return (1 - reported.bad / reported.total) ** local.total < CONTRADICTION_CHANCE
