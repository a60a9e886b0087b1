"""Identity of the running machine and its network namespace."""

from pathlib import Path

__all__ = ["read_machine_identity"]

BOOT_FILE = "/proc/sys/kernel/random/boot_id"
NETWORK_NAMESPACE = "/proc/self/ns/net"


def read_machine_identity(addresses):
    """Return an identity of this machine, boot and network namespace.

    Parameters
    ----------
    addresses : iterable of str
        Fixed ``host:port`` addresses that the process listens on.

    Returns
    -------
    str
        Empty if it can't be determined. Addresses can be bound by one process at a
        time, so a process that has bound the same addresses under the same
        identity proves that an earlier one has ended.
    """
    try:
        parts = [Path(BOOT_FILE).read_text().strip()]
        parts.append(str(Path(NETWORK_NAMESPACE).readlink()))
    except OSError:
        return ""
    return "|".join([*parts, *addresses])
