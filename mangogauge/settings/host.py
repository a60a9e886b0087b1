"""Settings of one host: its addresses, data centre, platform and peers."""

import ssl
from pathlib import Path

from attrs import field, frozen

from ..tls import HTTP_PROTOCOL, CertificateFiles
from .kinds import AddressKind, IntegerKind, ListKind, NameKind, NumberKind, TextKind
from .problems import Problem, SettingsError
from .sections import SectionReader, make_option

__all__ = [
    "CallerSettings",
    "HostSettings",
    "PeerSettings",
    "PlatformSettings",
    "read_host",
]

PORT = IntegerKind(0, 65_535)
MEGABYTE = 1_048_576
SECONDS = NumberKind(0.1, 3600, "seconds")


@frozen
class PlatformSettings:
    """Where the platform is.

    Parameters
    ----------
    addresses : tuple of str
        Front ends of the platform's store, ``host:port``.
    timeout : float
        Seconds until a call counts as lost.
    host_list : str
        File in which the platform lists hosts; empty for none.
    """

    addresses = make_option(ListKind(AddressKind(), least=1))
    timeout = make_option(NumberKind(0.05, 60, "seconds"), default=2.0)
    host_list = make_option(TextKind(), default="")


@frozen
class PeerSettings:
    """How hosts reach each other.

    Parameters
    ----------
    secret_file : str
        File that holds the operators' secret.
    seeds : tuple of str
        Addresses of some hosts' peer ports, to start from.
    tls_certificate, tls_key, tls_authorities : str
        PEM files for mutual TLS between hosts; empty for none.
    """

    secret_file = make_option(TextKind())
    seeds = make_option(ListKind(AddressKind()), default=())
    tls_certificate = make_option(TextKind(), default="")
    tls_key = make_option(TextKind(), default="")
    tls_authorities = make_option(TextKind(), default="")

    @property
    def certificates(self):
        """`CertificateFiles`, or None without TLS."""
        if not self.tls_certificate:
            return None
        return CertificateFiles(
            self.tls_certificate, self.tls_key, self.tls_authorities
        )


@frozen
class CallerSettings:
    """What callers may ask of one connection.

    Parameters
    ----------
    head_bytes : int
        Largest request head.
    body_bytes : int
        Largest request body, uploads of files excepted.
    head_timeout : float
        Seconds a caller has to send a request head, idle time included.
    body_timeout : float
        Seconds a caller may pause while it sends a body.
    write_timeout : float
        Seconds a caller may leave its receive window full.
    connections : int
        Largest number of connections open at once.
    tls_certificate, tls_key : str
        PEM files for TLS on the callers' port; empty for none.
    """

    head_bytes = make_option(IntegerKind(1024, MEGABYTE, "bytes"), default=32_768)
    body_bytes = make_option(
        IntegerKind(1024, 1024 * MEGABYTE, "bytes"), default=8 * MEGABYTE
    )
    head_timeout = make_option(SECONDS, default=60.0)
    body_timeout = make_option(SECONDS, default=30.0)
    write_timeout = make_option(SECONDS, default=60.0)
    connections = make_option(IntegerKind(1, 1_000_000), default=4096)
    tls_certificate = make_option(TextKind(), default="")
    tls_key = make_option(TextKind(), default="")

    @property
    def certificates(self):
        """`CertificateFiles`, or None without TLS."""
        if not self.tls_certificate:
            return None
        return CertificateFiles(self.tls_certificate, self.tls_key)


@frozen
class HostSettings:
    """One host.

    Parameters
    ----------
    name, data_centre : str
    address : str
        IP number that it listens on.
    advertised : str
        ``host:port`` at which peers reach its peer port, if another.
    callers_port, peer_port, operator_port : int
        Ports; 0 for any free one.
    data_folder : str
        Folder for bulk data; empty on hosts without a disk.
    drain_seconds : float
        How long a shutdown waits for the balancer to notice.
    """

    name = make_option(NameKind())
    data_centre = make_option(NameKind())
    address = make_option(AddressKind(with_port=False))
    advertised = make_option(AddressKind(), default="")
    callers_port = make_option(PORT, default=8080)
    peer_port = make_option(PORT, default=8081)
    operator_port = make_option(PORT, default=8082)
    data_folder = make_option(TextKind(), default="")
    drain_seconds = make_option(NumberKind(0, 600, "seconds"), default=10.0)
    platform = field(default=None)
    peers = field(default=None)
    callers = field(factory=CallerSettings)

    @property
    def peer_address(self):
        """Address that peers are told."""
        return self.advertised or f"{self.address}:{self.peer_port}"


SECTIONS = {
    "host": HostSettings,
    "platform": PlatformSettings,
    "peers": PeerSettings,
    "callers": CallerSettings,
}
TLS_OPTIONS = {
    "callers": ("tls_certificate", "tls_key"),
    "peers": ("tls_certificate", "tls_key", "tls_authorities"),
}
PORT_OPTIONS = ("callers_port", "peer_port", "operator_port")


def read_host(path):
    """Read a host's file.

    Raises
    ------
    SettingsError
        With every mistake in it.
    """
    file = str(path)
    problems = []
    reader = SectionReader(problems)
    sections = reader.read_file(path, SECTIONS)
    values = {
        name: reader.read_values(name, sections.get(name, {}), cls, file)
        for name, cls in SECTIONS.items()
    }
    _check_host(values["host"], file, problems)
    _check_secret(values["peers"], file, problems)
    for section, options in TLS_OPTIONS.items():
        _check_tls(section, values[section], options, file, problems)
    if problems:
        raise SettingsError(problems)
    parts = {n: c(**values[n]) for n, c in SECTIONS.items() if n != "host"}
    return HostSettings(**values["host"], **parts)


def _check_host(values, file, problems):
    seen = {}
    for option in PORT_OPTIONS:
        port = values.get(option)
        if port and port in seen:
            allowed = f"another port than {seen[port]}"
            problems.append(Problem(file, "host", option, str(port), allowed))
        seen.setdefault(port, option)
    folder = values.get("data_folder")
    if folder and not Path(folder).is_dir():
        allowed = "a folder that exists"
        problems.append(Problem(file, "host", "data_folder", folder, allowed))


def _check_secret(values, file, problems):
    path = values.get("secret_file")
    if path is None:
        return
    try:
        if Path(path).read_text("utf-8").strip():
            return
        allowed = "a file with the operators' secret in it"
    except (OSError, UnicodeDecodeError):
        allowed = "a file that can be read"
    problems.append(Problem(file, "peers", "secret_file", path, allowed))


def _check_tls(section, values, options, file, problems):
    given = [option for option in options if values.get(option)]
    if not given:
        return
    missing = [option for option in options if option not in given]
    for option in missing:
        allowed = "a PEM file, since " + ", ".join(given) + " is given"
        problems.append(Problem(file, section, option, "", allowed))
    if missing:
        return
    files = CertificateFiles(*(values[option] for option in options))
    try:
        files.load(ssl.Purpose.CLIENT_AUTH, HTTP_PROTOCOL)
    except OSError as error:
        read = f"{files.certificate} ({error})"
        allowed = "PEM files that can be read, with the key of the certificate"
        problems.append(Problem(file, section, options[0], read, allowed))
