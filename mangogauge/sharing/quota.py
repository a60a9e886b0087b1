"""Rate limits of client accounts, enforced over all hosts together.

Every host counts the requests that it admits and reports the totals; each adds the
admissions that others report to its own bucket. A host that gets no reports of some
others uses only its share of the rate and leaves them theirs.

This keeps an account to its rate when it sends many times the rate through all hosts
at once, also while reports are late or hosts are cut off from each other.
"""

from collections import Counter

from attrs import define, field, frozen

from .counters import MergedCounts

__all__ = ["Admission", "SharedQuota"]

# Capacity of a bucket beyond the account's burst: other hosts' reports arrive a
# little late, and no account within its rate should be refused because of that.
SPARE_REQUESTS = 4.0
# Part of the burst that a new bucket is filled to, since a host that has just started
# doesn't know what was admitted before.
INITIAL_LEVEL_SHARE = 0.5
# A changed count is repeated in all reports for this long, in case some are lost.
# It is also the interval of reports of all counts.
RECENT_SECONDS = 1.0


@frozen
class Admission:
    """Decision on a request.

    Parameters
    ----------
    admitted : bool
    retry_after : float, optional
        Seconds until a refused request would be admitted.
    """

    admitted = field()
    retry_after = field(default=0.0)


@define
class _Bucket:
    """Leaky bucket of one account.

    Parameters
    ----------
    level : float
        Requests admitted by all hosts that have not yet leaked out at the rate.
    updated_at : float
        Elapsed time of the level.
    own_count : int, optional
        Requests that this host has admitted since its start.
    admitted_at : float, optional
        Elapsed time at which this host last admitted one.
    """

    level = field()
    updated_at = field()
    own_count = field(default=0)
    admitted_at = field(default=0.0)


@define
class _HostCounts:
    """Admissions that another host has reported.

    Parameters
    ----------
    incarnation : str
        Identifies the process of the host.
    counts : dict of str to int
        By client account.
    complete : bool
        Whether accounts that are missing from `counts` had no admissions.
    """

    incarnation = field()
    counts = field(factory=dict)
    complete = field(default=False)


class SharedQuota:
    """Admits requests of client accounts within their rates over all hosts.

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
        # Increases in other hosts' own reports since this host's start.
        self._reported_counts = Counter()
        self._all_reported_at = float("-inf")
        self._data_centre_counts = {}

    def admit(self, account, share):
        """Admit or refuse a request, and count it against its account's rate.

        Parameters
        ----------
        account : Account
        share : float
            Fraction of the hosts that are reporting here, this one included; it is
            also the fraction of the rate that this host may use.

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
        """Return ``{account: int}`` of the requests that this host has admitted."""
        return {
            name: bucket.own_count
            for name, bucket in self._buckets.items()
            if bucket.own_count
        }

    def count_recent(self):
        """Return the counts to report now, and whether they are complete.

        Returns
        -------
        (dict of str to int, bool)
            Requests that this host has admitted so far, by client account: of all
            accounts once every `RECENT_SECONDS`, else of those with recent admissions.
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
        """Count the requests that another host has admitted since its last report.

        Parameters
        ----------
        report : HostReport
        accounts : PrefixRoutes
            Has the accounts of the configuration in force.
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
        """Return the `_HostCounts` of the process that sent a report."""
        known = self._host_counts.get(report.host)
        if known is None or known.incarnation != report.incarnation:
            # The new process of a host that is already known starts with no admissions.
            known = _HostCounts(report.incarnation, complete=known is not None)
            self._host_counts[report.host] = known
        return known

    def merge_totals(self, totals, accounts):
        """Count what another data centre has admitted since its last totals.

        Parameters
        ----------
        totals : DataCentreTotals
        accounts : PrefixRoutes
            Has the accounts of the configuration in force.
        """
        counts = self._data_centre_counts.setdefault(totals.data_centre, MergedCounts())
        for name, increase in counts.merge(totals.incarnation, totals.admitted).items():
            self._charge(name, increase, accounts)

    def count_known(self):
        """Return ``{account: int}`` admitted by this host and by reporting hosts."""
        return dict(self._reported_counts + Counter(self.count_own()))

    def measure_level(self, name):
        """Return the level of an account's bucket, in requests."""
        bucket = self._buckets.get(name)
        return bucket.level if bucket else 0.0

    def _charge(self, name, count, accounts):
        account = accounts.get_account(name)
        if account is not None and account.rate:
            self._update_bucket(account, 1.0).level += count

    def _update_bucket(self, account, share):
        """Return the account's bucket with its level as of now."""
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
