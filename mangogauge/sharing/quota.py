"""Rates of client accounts that all hosts keep together.

Every host counts what it admits and reports the totals; each takes the others'
admissions into its own bucket as they become known. A host that does not hear
some of the others leaves them their part of the rate.

The load this answers: an account sends many times its rate through all hosts
at once, while reports are late or hosts are cut off from each other.
"""

from collections import Counter

from attrs import define, field, frozen

from .counters import MergedCounts

__all__ = ["Admission", "SharedQuota"]

# Requests that a bucket holds beyond the account's burst: reports of other
# hosts come a little late, and within rate nobody should be refused for that.
SPARE_REQUESTS = 4.0
# A host that has just started doesn't know what was admitted before.
STARTING_SHARE = 0.5
# A count that has changed is reported for so long, in several reports; all counts
# are reported as often.
NEWS_SECONDS = 1.0


@frozen
class Admission:
    """Whether a request is admitted; if not, when one would be."""

    admitted = field()
    retry_after = field(default=0.0)


@define
class _Bucket:
    """Requests admitted by all hosts that the rate has not yet paid for."""

    level = field()
    updated_at = field()
    own_count = field(default=0)
    admitted_at = field(default=0.0)


@define
class _Known:
    """What another host has reported of its admissions.

    Parameters
    ----------
    incarnation : str
    counts : dict of str to int
        By client account.
    whole : bool
        Whether an account that isn't named had no admissions.
    """

    incarnation = field()
    counts = field(factory=dict)
    whole = field(default=False)


class SharedQuota:
    """Admits requests of client accounts at their rates over all hosts.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> from mangogauge.fleet import Account
    >>> quota = SharedQuota(ManualClock())
    >>> account = Account("a", (), rate=1.0, burst=4.0)
    >>> [quota.admit(account, 1.0).admitted for _ in range(8)]
    [True, True, True, True, True, True, False, False]
    """

    def __init__(self, clock):
        self._clock = clock
        self._buckets = {}
        self._others = {}
        # What other hosts' own reports have added since this host's start.
        self._heard_counts = Counter()
        self._all_reported_at = float("-inf")
        self._far = {}

    def admit(self, account, share):
        """Count a request against its account's rate.

        Parameters
        ----------
        account : Account
        share : float
            Part of the hosts that this one hears, itself included: it may use
            up no more than that part of the rate.

        Returns
        -------
        Admission
        """
        if not account.rate:
            return Admission(True)
        bucket = self._update(account, share)
        missing = bucket.level + 1.0 - _compute_capacity(account)
        if missing > 0:
            return Admission(False, missing / (account.rate * share))
        bucket.level += 1.0
        bucket.own_count += 1
        bucket.admitted_at = self._clock.read_elapsed()
        return Admission(True)

    def count_own(self):
        """Return ``{account: int}``: what this host has admitted so far."""
        return {
            name: bucket.own_count
            for name, bucket in self._buckets.items()
            if bucket.own_count
        }

    def count_recent(self):
        """Return the counts to report now, and whether these are all.

        Returns
        -------
        (dict of str to int, bool)
            What this host has admitted so far, by client account.
        """
        now = self._clock.read_elapsed()
        if now >= self._all_reported_at + NEWS_SECONDS:
            self._all_reported_at = now
            return self.count_own(), True
        news = {
            name: bucket.own_count
            for name, bucket in self._buckets.items()
            if bucket.own_count and bucket.admitted_at > now - NEWS_SECONDS
        }
        return news, False

    def merge_report(self, report, accounts):
        """Count what another host has admitted since its last report.

        Parameters
        ----------
        report : HostReport
        accounts : PrefixRoutes
            Knows the accounts of the configuration in force.
        """
        known = self._recall(report)
        for name, count in report.admitted.items():
            fresh = count - known.counts.get(name, 0 if known.whole else count)
            known.counts[name] = count
            if fresh <= 0:
                continue
            self._heard_counts[name] += fresh
            self._add(name, fresh, accounts)
        known.whole = known.whole or report.admitted_complete

    def _recall(self, report):
        """Return what is known of a reporting host's process."""
        known = self._others.get(report.host)
        if known is None or known.incarnation != report.incarnation:
            # A process that starts while its host is known has admitted nothing yet.
            known = _Known(report.incarnation, whole=known is not None)
            self._others[report.host] = known
        return known

    def merge_totals(self, totals, accounts):
        """Count what the hosts of another data centre have admitted meanwhile.

        Parameters
        ----------
        totals : DataCentreTotals
        accounts : PrefixRoutes
            Knows the accounts of the configuration in force.
        """
        counts = self._far.setdefault(totals.data_centre, MergedCounts())
        for name, fresh in counts.take(totals.incarnation, totals.admitted).items():
            self._add(name, fresh, accounts)

    def count_known(self):
        """Return ``{account: int}``: admitted here, or by hosts that reported it."""
        return dict(self._heard_counts + Counter(self.count_own()))

    def measure_level(self, name):
        """Return the requests of an account that its rate has not yet paid for."""
        bucket = self._buckets.get(name)
        return bucket.level if bucket else 0.0

    def _add(self, name, count, accounts):
        account = accounts.get_account(name)
        if account is not None and account.rate:
            self._update(account, 1.0).level += count

    def _update(self, account, share):
        """Return the account's bucket, emptied by what the rate has paid."""
        now = self._clock.read_elapsed()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            level = STARTING_SHARE * account.burst
            bucket = self._buckets[account.name] = _Bucket(level, now)
        paid = (now - bucket.updated_at) * account.rate * share
        bucket.level = max(0.0, bucket.level - paid)
        bucket.updated_at = now
        return bucket


def _compute_capacity(account):
    return max(1.0, account.burst) + SPARE_REQUESTS
