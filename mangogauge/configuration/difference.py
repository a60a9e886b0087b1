"""The difference between two configurations, as operators read it."""

import difflib

__all__ = ["describe_difference"]

BASE_NAME = "base.ini"


def describe_difference(old, new):
    """Return unified diffs of all files that differ, as one text.

    Parameters
    ----------
    old, new : ConfigurationDocuments

    Examples
    --------
    >>> from mangogauge.settings import ConfigurationDocuments
    >>> same = ConfigurationDocuments("[limits]")
    >>> describe_difference(same, same)
    ''
    """
    parts = list(_diff_file(BASE_NAME, old.base, new.base))
    for name in sorted({*old.overlays, *new.overlays}):
        before, after = old.overlays.get(name, ""), new.overlays.get(name, "")
        parts.extend(_diff_file(f"{name}.ini", before, after))
    return "\n".join(parts)


def _diff_file(name, before, after):
    return difflib.unified_diff(
        before.splitlines(),
        after.splitlines(),
        f"{name} (before)",
        f"{name} (after)",
        lineterm="",
    )
