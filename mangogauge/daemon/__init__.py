"""The daemon: wires the library's parts to sockets."""

from .host import Host
from .operators import OperatorPort

__all__ = ["Host", "OperatorPort"]
