"""Which hosts there are, and what each says of itself."""

from .exchange import MembershipExchange
from .members import Member, make_incarnation
from .view import MembershipView

__all__ = ["Member", "MembershipExchange", "MembershipView", "make_incarnation"]
