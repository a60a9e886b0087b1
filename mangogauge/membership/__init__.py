"""Which hosts there are, and what each says of itself."""

from .exchange import MembershipExchange
from .members import Member, new_incarnation
from .view import MembershipView

__all__ = ["Member", "MembershipExchange", "MembershipView", "new_incarnation"]
