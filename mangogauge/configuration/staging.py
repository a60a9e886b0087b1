"""When a host may put a newer version of the configuration in force."""

from attrs import field, frozen

__all__ = ["Staging", "StagedVersion"]

WITNESS_SECONDS = 3.0


@frozen
class StagedVersion:
    """A version that a host has and does not act by yet.

    Parameters
    ----------
    version : int
    fleet : FleetSettings
    from_platform : bool
        Whether the platform itself gave it.
    staged_at : float
        Elapsed time in seconds.
    """

    version = field()
    fleet = field()
    from_platform = field()
    staged_at = field()


class Staging:
    """Holds a version back until another host of the data centre has it.

    A host that acts by a version that it alone has could end, start again
    while the platform is away, and then act by an older one of its peers.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self._clock = clock

    def stage(self, version, fleet, from_platform):
        """Return a `StagedVersion` that begins to wait now."""
        now = self._clock.read_elapsed()
        return StagedVersion(version, fleet, from_platform, now)

    def may_enter(self, staged, peer_positions, starting):
        """Return whether a staged version may be put in force.

        Parameters
        ----------
        staged : StagedVersion
        peer_positions : list of int or None
            Versions of the other live hosts of the data centre; None for one
            that has none yet.
        starting : bool
            Whether this host has no version in force yet.

        Notes
        -----
        After `WITNESS_SECONDS` a version enters all the same: a live peer that
        can't fetch it must not keep it from being in force.
        """
        if not peer_positions:
            return True
        waited = self._clock.read_elapsed() - staged.staged_at
        if waited >= WITNESS_SECONDS:
            return True
        known = [position for position in peer_positions if position is not None]
        if starting and not staged.from_platform:
            # What peers had is only known once all of them have said so.
            return len(known) == len(peer_positions) and staged.version >= max(known)
        return any(position >= staged.version for position in known)
