"""Names of a package that are imported when they are first used.

A host on a small machine starts faster, and stays smaller, without the
libraries that it never calls.
"""

from importlib import import_module

__all__ = ["attach_lazily"]


def attach_lazily(package, modules):
    """Return the ``__getattr__`` of a package.

    Parameters
    ----------
    package : str
        The package's ``__name__``.
    modules : dict of str to tuple of str
        By submodule, the names that it provides.

    Returns
    -------
    callable
    """
    homes = {name: module for module, names in modules.items() for name in names}

    def find(name):
        if name not in homes:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{homes[name]}"), name)

    return find
