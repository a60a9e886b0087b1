"""Start and end a process with as little processor time as its work allows.

The load this answers: days of trouble on which each host is started several times,
and a start costs as much as half a minute of an idle host.
"""

import gc
import os
import sys
from importlib import import_module

__all__ = ["run_process"]


def run_process(module):
    """Import a program, run it, and end the process.

    Parameters
    ----------
    module : str
        Its ``main`` returns the exit status.

    Notes
    -----
    What a program imports stays until it ends: the collector needn't look for garbage
    in it, and the interpreter needn't take it apart at the end. Nothing that is to
    happen at the exit may be left to the interpreter.
    """
    gc.disable()
    main = import_module(module).main
    gc.freeze()
    gc.enable()
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
