"""The command line."""

from .application import app, main

__all__ = ["app", "main"]
