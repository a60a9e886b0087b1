"""Plans of loans, messages between borrowers and lenders, a lender's reserve."""

from attrs import evolve, field, frozen

__all__ = ["NO_RESERVE", "LoanGrant", "LoanPlan", "LoanRequest", "Reserve"]


@frozen
class LoanPlan:
    """What to borrow: shares of rate and burst, tokens, and for how many seconds.

    Parameters
    ----------
    rate, burst : float
        Shares of the account's rate and burst.
    tokens : float
    seconds : float
        Duration of the loan.
    demand : float
        Requests per second at the borrower.
    """

    rate = field()
    burst = field()
    tokens = field()
    seconds = field()
    demand = field()


@frozen
class LoanRequest:
    """A borrower's state of a loan and its request for more.

    Parameters
    ----------
    borrower : str
        Name and incarnation.
    sequence : int
        Increases with each request of the borrower.
    held_rate, held_burst : float
        Shares of rate and burst that the borrower holds on this loan; it no longer
        uses any beyond them.
    rate, burst : float
        Further shares of rate and burst that are requested.
    tokens : float
        Tokens that are requested.
    seconds : float
        Requested duration of the loan.
    demand : float
        Requests per second that arrive at the borrower.
    returned : float
        Tokens returned to the lender; the borrower no longer has them.
    room : float
        Tokens that the borrower's bucket can still hold at its present burst.
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
        """Return this request with nothing requested."""
        return evolve(self, rate=0.0, burst=0.0, tokens=0.0)

    def limit(self, seconds, rate):
        """Return this request for at most `seconds` and a share `rate`."""
        return evolve(
            self, seconds=min(self.seconds, seconds), rate=min(self.rate, rate)
        )


@frozen
class LoanGrant:
    """A lender's answer to a `LoanRequest`.

    Parameters
    ----------
    sequence : int
        That of the request.
    rate, burst : float
        Total shares of rate and burst on loan from now on.
    tokens : float
        Tokens transferred with this answer.
    seconds : float
        Duration of the loan, counted from before the request was sent; 0 if the
        end of the loan is unchanged.
    reach : float
        Share of the account's rate that the lender still holds, from which its
        next tokens accrue.
    """

    sequence = field()
    rate = field(default=0.0)
    burst = field(default=0.0)
    tokens = field(default=0.0)
    seconds = field(default=0.0)
    reach = field(default=0.0)


@frozen
class Reserve:
    """Shares of rate and burst, and tokens, that a lender doesn't lend."""

    rate = field(default=0.0)
    burst = field(default=0.0)
    tokens = field(default=0.0)


NO_RESERVE = Reserve()
