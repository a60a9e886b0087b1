"""Find the parts of prompts that explain crashes of endpoints.

All requests at an endpoint fail with it, so a single crash accuses the parts of each.
The parts that explain the most crashes are chosen one by one, as in the greedy
algorithm for set cover [1]_. A crash that a chosen part explains accuses no others.

References
----------
.. [1] V. Chvatal, "A Greedy Heuristic for the Set-Covering Problem", Mathematics of
   Operations Research, 1979.
"""

from collections import Counter

from attrs import define, field

__all__ = ["find_culprits"]

# What a crash counts before an answer has begun, and within one, where endpoints crash
# by chance too; and how much one part has to explain: three of the former.
UNBEGUN_WEIGHT = 4
BEGUN_WEIGHT = 3
WEIGHT_TO_CONDEMN = 12
# How many of them may come from one request: retries of a request that was at several
# crashes by chance accuse its parts again and again.
MAX_CRASHES_PER_REQUEST = 2


@define
class _Accusation:
    """Crashes that one part may have caused.

    Parameters
    ----------
    crashes : dict of str to int
        Their weights.
    position : int
        The part's last position in a prompt.
    """

    crashes = field(factory=dict)
    position = field(default=0)

    @property
    def weight(self):
        """What all of them count."""
        return sum(self.crashes.values())


def find_culprits(sightings):
    """Return the parts that crash endpoints.

    Parameters
    ----------
    sightings : iterable of CrashSighting

    Returns
    -------
    frozenset of str

    Notes
    -----
    Of parts that explain equally many crashes, the one that comes last in the prompts
    is chosen: fewer other requests share it.

    Examples
    --------
    >>> from .sightings import CrashSighting
    >>> find_culprits(
    ...     CrashSighting(f"e{n}", f"r{n}", ["a", "b", f"c{n}"], 0.0) for n in range(3)
    ... )
    frozenset({'b'})
    """
    remaining = list(sightings)
    culprits = set()
    while remaining:
        accusations = _collect_accusations(remaining)
        worst = max(accusations, key=lambda part: _rank(part, accusations[part]))
        if accusations[worst].weight < WEIGHT_TO_CONDEMN:
            break
        culprits.add(worst)
        explained = {s.crash for s in remaining if worst in s.parts}
        remaining = [s for s in remaining if s.crash not in explained]
    return frozenset(culprits)


def _collect_accusations(sightings):
    accusations = {}
    crashes_by_request = Counter()
    for sighting in sightings:
        weight = BEGUN_WEIGHT if sighting.answer_seconds else UNBEGUN_WEIGHT
        for position, part in enumerate(sighting.parts):
            accusation = accusations.setdefault(part, _Accusation())
            accusation.position = max(accusation.position, position)
            known = accusation.crashes.get(sighting.crash)
            if known is not None:
                # The longest answer with the part counts.
                accusation.crashes[sighting.crash] = min(known, weight)
                continue
            crashes_by_request[part, sighting.request] += 1
            if crashes_by_request[part, sighting.request] <= MAX_CRASHES_PER_REQUEST:
                accusation.crashes[sighting.crash] = weight
    return accusations


def _rank(part, accusation):
    # The name comes last, so that all hosts choose the same of equal parts.
    return accusation.weight, accusation.position, part
