"""Logs as JSON lines, with the fields that tie a line to a request."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs", "get_logger"]

LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"

# What curio says of a time-out that came as the work was done is no news.
LOGGERS = {"mangogauge": logging.NOTSET, "curio": logging.ERROR}


def configure_logs(level="INFO", handler=None, **fields):
    """Write logs as JSON lines.

    Parameters
    ----------
    level : str, optional
    handler : logging.Handler, optional
        Writes the lines; to standard error if absent.
    **fields
        Put into each line, such as ``host`` and ``data_centre``.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(LINE_FORMAT, static_fields=fields))
    for name, least in LOGGERS.items():
        logger = logging.getLogger(name)
        logger.handlers[:] = [handler]
        logger.setLevel(level)
        logger.setLevel(max(logger.level, least))
        logger.propagate = False


def get_logger(name):
    """Return the logger of a part; pass fields by ``extra``."""
    return logging.getLogger(f"mangogauge.{name}")
