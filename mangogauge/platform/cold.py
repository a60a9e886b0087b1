"""Values that say for how long, or how far, an endpoint is cold."""

from math import isfinite

__all__ = ["read_cold_header", "read_cold_milliseconds", "read_cold_number"]

MILLISECONDS = 1000
# A day: a longer time, or a higher rate, is a mistake.
MAX_COLD_SECONDS = 86_400
MAX_COLD_MILLISECONDS = MAX_COLD_SECONDS * MILLISECONDS


def read_cold_number(value, most=MAX_COLD_SECONDS):
    """Return a number of an entry as a float.

    Raises
    ------
    ValueError
        If it is no finite number from 0 to `most`.
    """
    # A logical value is an integer to Python.
    is_number = type(value) in (int, float)
    if not is_number or not isfinite(value) or not 0 <= value <= most:
        raise ValueError(f"{value!r:.100} is no number from 0 to {most}")
    return float(value)


def read_cold_milliseconds(value):
    """Return the seconds of a number of milliseconds; see `read_cold_number`."""
    return read_cold_number(value, MAX_COLD_MILLISECONDS) / MILLISECONDS


def read_cold_header(text):
    """Return the seconds that a header field names.

    Raises
    ------
    ValueError
        If it names no finite number from 0 to `MAX_COLD_MILLISECONDS`.

    Examples
    --------
    >>> read_cold_header("1500")
    1.5
    """
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{text!r:.100} is no number") from None
    return read_cold_milliseconds(value)
