"""Burn rates over several windows, and the budget that is left."""

from collections import defaultdict

from attrs import field, frozen

from .measures import MEASURES, Counts

__all__ = [
    "ALERT_WINDOWS",
    "AlertWindow",
    "ObjectiveBurn",
    "WindowBurn",
    "compute_burns",
    "list_missing",
]

MINUTE = 60.0
HOUR = 60 * MINUTE
DAY = 24 * HOUR
MISSING_SECONDS = 5 * MINUTE


@frozen
class AlertWindow:
    """Two windows that must both burn faster than `factor` for an alert.

    Parameters
    ----------
    name : str
    long, short : float
        Seconds.
    factor : float
        Burn rate; 1 uses up the budget in exactly the objective's period.
    severity : str
    """

    name = field()
    long = field()
    short = field()
    factor = field()
    severity = field()


ALERT_WINDOWS = (
    AlertWindow("1h/5m", HOUR, 5 * MINUTE, 14.4, "page"),
    AlertWindow("6h/30m", 6 * HOUR, 30 * MINUTE, 6.0, "page"),
    AlertWindow("3d/6h", 3 * DAY, 6 * HOUR, 1.0, "ticket"),
)


@frozen
class WindowBurn:
    """How fast an objective burns over one pair of windows.

    Parameters
    ----------
    window : AlertWindow
    long_rate, short_rate : float
        Burn rates; 0 where there was nothing to count.
    """

    window = field()
    long_rate = field()
    short_rate = field()

    @property
    def fires(self):
        """Whether the alert fires."""
        return min(self.long_rate, self.short_rate) >= self.window.factor


@frozen
class ObjectiveBurn:
    """What the report says of one objective.

    Parameters
    ----------
    objective : Objective
    counts : Counts
        Over the objective's period, as far as there are snapshots.
    budget_left : float
        Part of the period's budget that is left; below 0 if overdrawn.
    windows : tuple of WindowBurn
    has_data : bool
    """

    objective = field()
    counts = field()
    budget_left = field()
    windows = field(converter=tuple)
    has_data = field(default=True)

    @property
    def fires(self):
        """Whether any alert fires."""
        return any(window.fires for window in self.windows)


def compute_burns(objectives, snapshots, now=None):
    """Return an `ObjectiveBurn` for each objective.

    Parameters
    ----------
    objectives : iterable of Objective
    snapshots : list of Snapshot
        In order of time, of any hosts.
    now : float, optional
        End of all windows; the last snapshot's time if absent.
    """
    if now is None:
        now = snapshots[-1].at if snapshots else 0.0
    by_host = defaultdict(list)
    for snapshot in snapshots:
        if snapshot.at <= now:
            by_host[snapshot.host].append(snapshot)
    return [_compute_burn(objective, by_host, now) for objective in objectives]


def list_missing(snapshots, now, seconds=MISSING_SECONDS):
    """Return hosts whose last snapshot is older than `seconds`, with its age."""
    last = {}
    for snapshot in snapshots:
        last[snapshot.host] = max(snapshot.at, last.get(snapshot.host, 0.0))
    return {host: now - at for host, at in sorted(last.items()) if now - at > seconds}


def _compute_burn(objective, by_host, now):
    counts = _count(objective, by_host, now - objective.period_days * DAY, now)
    allowed = (1 - objective.target) * counts.total
    windows = [
        WindowBurn(
            window,
            _compute_rate(objective, by_host, now - window.long, now),
            _compute_rate(objective, by_host, now - window.short, now),
        )
        for window in ALERT_WINDOWS
    ]
    return ObjectiveBurn(
        objective=objective,
        counts=counts,
        budget_left=1 - counts.bad / allowed if allowed else 1.0,
        windows=windows,
        has_data=counts.total > 0,
    )


def _compute_rate(objective, by_host, start, end):
    counts = _count(objective, by_host, start, end)
    if not counts.total:
        return 0.0
    return counts.bad / counts.total / (1 - objective.target)


def _count(objective, by_host, start, end):
    counts = Counts()
    for snapshots in by_host.values():
        counts += _count_host(objective, snapshots, start, end)
    return counts


def _count_host(objective, snapshots, start, end):
    good = total = 0.0
    measure = MEASURES[objective.kind]
    for before, after in _list_pairs(snapshots, start, end):
        for key, is_good, is_total in measure.list_series(objective, after.samples):
            gained = _measure_increase(before, after, key, start)
            # A series that is neither good nor total counts bad ones, which
            # the series of all has counted as good.
            good += gained * (-1 if is_good is None else is_good)
            total += gained * is_total
    return Counts(good, total)


def _list_pairs(snapshots, start, end):
    """Yield each snapshot in the window with the one before it, or None."""
    before = None
    for snapshot in snapshots:
        if start < snapshot.at <= end:
            yield before, snapshot
        before = snapshot


def _measure_increase(before, after, key, start):
    """Return by how much a counter grew.

    A counter that is lower than before began again at zero. One that was not
    there before counts in full if the host says that it was created within
    the window, or if the host was already being scraped; otherwise nobody
    knows when it grew.
    """
    value = after.samples[key]
    if before is None:
        return value if _read_created(after, key) >= start else 0.0
    earlier = before.samples.get(key, 0.0)
    return value - earlier if value >= earlier else value


def _read_created(snapshot, key):
    name, labels = key
    base = name
    for suffix in ("_total", "_bucket", "_count"):
        base = base.removesuffix(suffix)
    kept = tuple(label for label in labels if label[0] != "le")
    return snapshot.samples.get((f"{base}_created", kept), float("-inf"))
