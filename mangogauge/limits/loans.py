"""Messages between borrowers and lenders, and what a lender keeps."""

from attrs import evolve, field, frozen

__all__ = ["NO_RESERVE", "LoanGrant", "LoanRequest", "Reserve"]


@frozen
class LoanRequest:
    """What a borrower holds of a lender, and what more it asks for.

    Parameters
    ----------
    borrower : str
        Name and incarnation.
    sequence : int
        Grows with each request.
    held_rate, held_burst : float
        Parts that the borrower holds; it has given up all above.
    rate, burst, tokens : float
        Further parts and tokens that it asks for.
    seconds : float
        How long it asks for them.
    demand : float
        Requests a second that come to it.
    returned : float
        Tokens that it gives back and no longer holds.
    room : float
        Tokens that fit at the borrower without more burst.
    """

    borrower = field()
    sequence = field()
    held_rate = field(default=0.0)
    held_burst = field(default=0.0)
    rate = field(default=0.0)
    burst = field(default=0.0)
    tokens = field(default=0.0)
    seconds = field(default=1.0)
    demand = field(default=0.0)
    returned = field(default=0.0)
    room = field(default=0.0)

    def decline(self):
        """Return this request without what it asks for."""
        return evolve(self, rate=0.0, burst=0.0, tokens=0.0)

    def limit(self, seconds, rate):
        """Return this request for at most so many seconds and so much rate."""
        return evolve(
            self, seconds=min(self.seconds, seconds), rate=min(self.rate, rate)
        )


@frozen
class LoanGrant:
    """A lender's answer.

    Parameters
    ----------
    sequence : int
    rate, burst : float
        Whole parts on loan from now on.
    tokens : float
        Tokens that come with this answer.
    seconds : float
        End of the loan, counted from before the request was sent; 0 if the
        end stays as it was.
    reach : float
        Part of the account's rate from which the lender's next tokens come.
    """

    sequence = field()
    rate = field(default=0.0)
    burst = field(default=0.0)
    tokens = field(default=0.0)
    seconds = field(default=0.0)
    reach = field(default=0.0)


@frozen
class Reserve:
    """What a lender keeps: parts of rate and burst, and tokens."""

    rate = field(default=0.0)
    burst = field(default=0.0)
    tokens = field(default=0.0)


NO_RESERVE = Reserve()
