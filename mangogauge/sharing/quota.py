"""Rate limits of client accounts, enforced over all hosts together.

Every host counts the requests that it admits and reports the totals; each adds the
admissions that others report to its own bucket. A host that gets no reports of some
others uses only its share of the rate and leaves them theirs.

This keeps an account to its rate when it sends many times the rate through all hosts
at once, also while reports are late or hosts are cut off from each other.
"""

import random as random_module
from collections import Counter

from attrs import define, field, frozen

from .bucket import AccountBucket
from .counters import MergedCounts
from .report_table import REPORTING_SECONDS

__all__ = ["Admission", "SharedQuota"]

# Part of the burst that a new bucket is filled to, since a host that has just started
# doesn't know what was admitted before.
INITIAL_LEVEL_SHARE = 0.5
# Time after a host's start in which it doesn't know yet which hosts have requests.
STARTING_SECONDS = 1.0
# A changed count is repeated in all reports for this long, in case some are lost.
# It is also the interval of reports of all counts.
RECENT_SECONDS = 1.0
# A host that has admitted requests of an account within this time, or within that in
# which the rate comes to so many for each host, contends for its budget.
CONTENDING_SECONDS = 5.0
CONTENDING_REQUESTS = 3.0
MAX_CONTENDING_SECONDS = 60.0
# Interval at which the contending hosts are counted.
COUNT_SECONDS = 0.25
# After this time without news of which hosts are reporting, all are taken to be.
SHARE_LIFETIME_SECONDS = 0.3
# Longest time that a caller is told to wait.
MAX_RETRY_SECONDS = 5.0


@frozen
class Admission:
    """Decision on a request.

    Parameters
    ----------
    admitted : bool
    retry_after : float, optional
        Seconds after which a refused request should be sent again: then there is
        budget for it, also after the requests that were refused before.
    """

    admitted = field()
    retry_after = field(default=0.0)


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
    received_at, completed_at : float
        Elapsed times of the last report, and of the last one of all accounts.
    counted_at : dict of str to float
        By client account, elapsed time of the last report that named it since then.
    admitted_at : dict of str to float
        Elapsed time of the report that last had an increase, by client account.
    pruned_at : float
        Elapsed time at which old entries of `admitted_at` were last removed.
    """

    incarnation = field()
    counts = field(factory=dict)
    complete = field(default=False)
    received_at = field(default=float("-inf"))
    completed_at = field(default=float("-inf"))
    counted_at = field(factory=dict)
    admitted_at = field(factory=dict)
    pruned_at = field(default=float("-inf"))

    def get_counted_at(self, name):
        """Return the elapsed time at which an account's count was last known."""
        return self.counted_at.get(name, self.completed_at)

    def note_counted(self, report, now):
        """Note which counts a report has, and forget admissions of long ago."""
        if not report.admitted_complete:
            self.counted_at.update(dict.fromkeys(report.admitted, now))
            return
        self.complete, self.completed_at = True, now
        self.counted_at.clear()
        if now > self.pruned_at + MAX_CONTENDING_SECONDS:
            self.pruned_at, since = now, now - MAX_CONTENDING_SECONDS
            recent = {n: at for n, at in self.admitted_at.items() if at >= since}
            self.admitted_at = recent


class SharedQuota:
    """Admits requests of client accounts within their rates over all hosts.

    Parameters
    ----------
    clock : Clock
    random : random.Random, optional

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> from mangogauge.fleet import Account
    >>> quota = SharedQuota(ManualClock())
    >>> account = Account("a", (), rate=1.0, burst=4.0)
    >>> [quota.admit(account, 1.0).admitted for _ in range(8)]
    [True, True, True, True, True, True, False, False]
    """

    def __init__(self, clock, random=None):
        self._clock = clock
        self._started_at = clock.read_elapsed()
        self._random = random or random_module.Random()
        self._buckets = {}
        self._host_counts = {}
        # Increases in other hosts' own reports since this host's start.
        self._reported_counts = Counter()
        self._all_reported_at = float("-inf")
        self._data_centre_counts = {}
        self._summarized_at = {}
        self._share, self._hosts = 1.0, 1
        self._share_until = float("inf")

    def set_reporting(self, share, hosts):
        """Set which part of the hosts is reporting; see `admit`."""
        self._share, self._hosts = share, hosts
        self._share_until = self._clock.read_elapsed() + SHARE_LIFETIME_SECONDS

    def admit(self, account, share, hosts=1):
        """Admit or refuse a request, and count it against its account's rate.

        Parameters
        ----------
        account : Account
        share : float
            Fraction of the hosts that are reporting here, this one included; it is
            also the fraction of the rate that these hosts may use.
        hosts : int, optional
            Number of these hosts.

        Returns
        -------
        Admission
        """
        if self.try_admit(account, share, hosts):
            return Admission(True)
        return Admission(False, self.promise(account))

    def try_admit(self, account, share, hosts=1, is_retry=False):
        """Admit a request, or return False; see `admit`.

        Parameters
        ----------
        is_retry : bool, optional
            Whether a host has refused it before: then it goes before others.
        """
        if not account.rate:
            return True
        self.set_reporting(share, hosts)
        now = self._clock.read_elapsed()
        bucket = self._update_bucket(account)
        if now >= bucket.contenders_due_at:
            bucket.contenders_due_at = now + COUNT_SECONDS
            bucket.contenders = self._count_contenders(account)
        bucket.pace(account, now, self._random)
        if not bucket.may_take(account, is_retry):
            return False
        bucket.take(account, now)
        return True

    def estimate_wait(self, account, ahead=0, is_retry=False):
        """Return the seconds until a request that was not admitted may be.

        Parameters
        ----------
        account : Account
        ahead : int, optional
            Requests of the account that wait here before it.
        is_retry : bool, optional
        """
        return self._update_bucket(account).estimate_wait(account, ahead, is_retry)

    def describe(self, name):
        """Return what decides on an account's requests here, for the log."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return {}
        return {
            "level": round(bucket.level, 2),
            "share": round(bucket.share, 3),
            "contenders": round(bucket.contenders, 1),
            "credit": round(bucket.credit, 2),
            "paced": bucket.is_paced,
        }

    def promise(self, account):
        """Return the seconds after which a caller that is refused should retry."""
        bucket = self._update_bucket(account)
        now = self._clock.read_elapsed()
        return bucket.promise(account, now, MAX_RETRY_SECONDS, self._random)

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
        now = self._clock.read_elapsed()
        known.received_at = now
        for name, count in report.admitted.items():
            increase = count - known.counts.get(name, 0 if known.complete else count)
            known.counts[name] = count
            if increase > 0:
                known.admitted_at[name] = now
                self._reported_counts[name] += increase
                seconds = now - known.get_counted_at(name)
                is_silent = seconds > RECENT_SECONDS + REPORTING_SECONDS
                self._charge(name, increase, accounts, seconds if is_silent else 0.0)
        known.note_counted(report, now)

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
        name, now = totals.data_centre, self._clock.read_elapsed()
        counts = self._data_centre_counts.setdefault(name, MergedCounts())
        seconds = now - self._summarized_at.get(name, now)
        silent_seconds = seconds if seconds > REPORTING_SECONDS else 0.0
        self._summarized_at[name] = now
        for name, increase in counts.merge(totals.incarnation, totals.admitted).items():
            self._charge(name, increase, accounts, silent_seconds)

    def count_known(self):
        """Return ``{account: int}`` admitted by this host and by reporting hosts."""
        return dict(self._reported_counts + Counter(self.count_own()))

    def measure_level(self, name):
        """Return the level of an account's bucket, in requests."""
        bucket = self._buckets.get(name)
        return bucket.level if bucket else 0.0

    def _charge(self, name, count, accounts, silent_seconds):
        account = accounts.get_account(name)
        if account is None or not account.rate:
            return
        bucket = self._update_bucket(account)
        if 0.0 < silent_seconds < float("inf"):
            bucket.charge_silent(account, count, silent_seconds)
        else:
            bucket.charge(account, count)

    def _update_bucket(self, account):
        """Return the account's bucket with its level as of now."""
        now = self._clock.read_elapsed()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            # Nothing was admitted since this host's start, as far as it is known here.
            level = INITIAL_LEVEL_SHARE * account.burst
            bucket = AccountBucket(level, self._started_at, self._share)
            self._buckets[account.name] = bucket
            if now < self._started_at + STARTING_SECONDS:
                until = self._started_at + STARTING_SECONDS
                bucket.start_paced(until, self._random)
        bucket.update(account, now)
        bucket.share = self._share if now < self._share_until else 1.0
        return bucket

    def _count_contenders(self, account):
        """Estimate how many of the reporting hosts have requests of an account.

        Notes
        -----
        Hosts of other data centres may be known by their sums only; as large a part of
        them as of those that report here is taken to have requests.
        """
        now, hosts = self._clock.read_elapsed(), self._hosts
        if now < self._started_at + STARTING_SECONDS:
            return max(1.0, hosts)
        seconds = max(CONTENDING_SECONDS, CONTENDING_REQUESTS * hosts / account.rate)
        since = now - min(seconds, MAX_CONTENDING_SECONDS)
        others = [
            known
            for known in self._host_counts.values()
            if known.counts and known.received_at >= now - REPORTING_SECONDS
        ]
        contending = sum(
            known.admitted_at.get(account.name, float("-inf")) >= since
            for known in others
        )
        return max(1.0, hosts * (1 + contending) / (1 + len(others)))
