"""What commands print."""

import sys

import orjson

__all__ = ["print_error", "print_json"]


def print_json(value):
    """Print one line of JSON."""
    print(orjson.dumps(value).decode(), flush=True)


def print_error(message):
    """Print to standard error."""
    print(message, file=sys.stderr, flush=True)
