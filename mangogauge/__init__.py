"""Serve online requests and batch jobs fairly on one inference fleet.

The subpackages are the public library: decisions such as limits, routing and
batch ownership are plain classes that take their clock and random source as
arguments and do no input or output; the daemons are thin and call them.
"""

__version__ = "0.1.0"
