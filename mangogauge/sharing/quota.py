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
INITIAL_LEVEL_SHARE = 0.5
# A count that has changed is reported for so long, in several reports; all counts
# are reported as often.
RECENT_SECONDS = 1.0


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
class _HostCounts:
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
    complete = field(default=False)


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
        self._host_counts = {}
        # What other hosts' own reports have added since this host's start.
        self._reported_counts = Counter()
        self._all_reported_at = float("-inf")
        self._data_centre_counts = {}

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
        bucket = self._update_bucket(account, share)
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
        if now >= self._all_reported_at + RECENT_SECONDS:
            self._all_reported_at = now
            return self.count_own(), True
        recent = {
            name: bucket.own_count
            for name, bucket in self._buckets.items()
            if bucket.own_count and bucket.admitted_at > now - RECENT_SECONDS
        }
        return recent, False

    def merge_report(self, report, accounts):
        """Count what another host has admitted since its last report.

        Parameters
        ----------
        report : HostReport
        accounts : PrefixRoutes
            Knows the accounts of the configuration in force.
        """
        known = self._get_host_counts(report)
        for name, count in report.admitted.items():
            increase = count - known.counts.get(name, 0 if known.complete else count)
            known.counts[name] = count
            if increase <= 0:
                continue
            self._reported_counts[name] += increase
            self._charge(name, increase, accounts)
        known.complete = known.complete or report.admitted_complete

    def _get_host_counts(self, report):
        """Return what is known of a reporting host's process."""
        known = self._host_counts.get(report.host)
        if known is None or known.incarnation != report.incarnation:
            # A process that starts while its host is known has admitted nothing yet.
            known = _HostCounts(report.incarnation, complete=known is not None)
            self._host_counts[report.host] = known
        return known

    def merge_totals(self, totals, accounts):
        """Count what the hosts of another data centre have admitted meanwhile.

        Parameters
        ----------
        totals : DataCentreTotals
        accounts : PrefixRoutes
            Knows the accounts of the configuration in force.
        """
        counts = self._data_centre_counts.setdefault(totals.data_centre, MergedCounts())
        for name, increase in counts.merge(totals.incarnation, totals.admitted).items():
            self._charge(name, increase, accounts)

    def count_known(self):
        """Return ``{account: int}``: admitted here, or by hosts that reported it."""
        return dict(self._reported_counts + Counter(self.count_own()))

    def measure_level(self, name):
        """Return the requests of an account that its rate has not yet paid for."""
        bucket = self._buckets.get(name)
        return bucket.level if bucket else 0.0

    def _charge(self, name, count, accounts):
        account = accounts.get_account(name)
        if account is not None and account.rate:
            self._update_bucket(account, 1.0).level += count

    def _update_bucket(self, account, share):
        """Return the account's bucket, emptied by what the rate has paid."""
        now = self._clock.read_elapsed()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            level = INITIAL_LEVEL_SHARE * account.burst
            bucket = self._buckets[account.name] = _Bucket(level, now)
        paid = (now - bucket.updated_at) * account.rate * share
        bucket.level = max(0.0, bucket.level - paid)
        bucket.updated_at = now
        return bucket


def _compute_capacity(account):
    return max(1.0, account.burst) + SPARE_REQUESTS
