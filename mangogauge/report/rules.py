"""Alerting rules for Prometheus that match the report."""

from .burn import ALERT_WINDOWS
from .measures import MEASURES

__all__ = ["make_rules"]

UNITS = ((86_400, "d"), (3600, "h"), (60, "m"))


def make_rules(objectives):
    """Return the rules file as a plain value; JSON of it is valid YAML."""
    rules = [
        _make_rule(objective, window)
        for objective in objectives
        for window in ALERT_WINDOWS
    ]
    return {"groups": [{"name": "mangogauge-burn", "rules": rules}]}


def _make_rule(objective, window):
    conditions = [
        f"({_make_rate(objective, seconds)}) >= {window.factor:g}"
        for seconds in (window.long, window.short)
    ]
    return {
        "alert": "MangogaugeBudgetBurn",
        "expr": " and ".join(conditions),
        "labels": {
            "severity": window.severity,
            "objective": objective.name,
            "windows": window.name,
        },
        "annotations": {
            "summary": f"{objective.name} burns its budget at {window.factor:g}"
            f" times the rate that it lasts for ({window.name})."
        },
    }


def _make_rate(objective, seconds):
    measure = MEASURES[objective.kind]
    good, total = measure.make_queries(objective, _show_window(seconds))
    return f"(1 - ({good}) / ({total})) / {1 - objective.target:.6g}"


def _show_window(seconds):
    for size, unit in UNITS:
        if seconds % size == 0:
            return f"{seconds // size:.0f}{unit}"
    return f"{seconds:.0f}s"
