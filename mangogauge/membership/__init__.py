"""Gossip of the live hosts and of the entries that each publishes."""

from .exchange import MembershipExchange
from .members import Member, make_incarnation
from .view import MembershipView

__all__ = ["Member", "MembershipExchange", "MembershipView", "make_incarnation"]
