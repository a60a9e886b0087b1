"""Which hosts there are."""

from .members import Member, new_incarnation

__all__ = ["Member", "new_incarnation"]
