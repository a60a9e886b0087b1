"""TLS with certificates in files that are read again when they change."""

import ssl
from pathlib import Path

import curio
from attrs import field, frozen
from curio.ssl import CurioSSLContext

from .telemetry import get_logger

__all__ = ["HTTP_PROTOCOL", "PEER_PROTOCOL", "CertificateFiles", "TLSContext"]

HTTP_PROTOCOL = "http/1.1"
PEER_PROTOCOL = "h2"
HANDSHAKE_SECONDS = 10.0

log = get_logger("tls")


@frozen
class CertificateFiles:
    """Where a side's certificates are, in PEM.

    Parameters
    ----------
    certificate : str
        This side's certificate and those that lead from it to an authority.
    key : str
        The certificate's private key.
    authorities : str, optional
        Authorities that the other side's certificate must come from; without
        it, the other side needs none.
    """

    certificate = field()
    key = field()
    authorities = field(default="")

    def load(self, purpose, protocol):
        """Return an `ssl.SSLContext`.

        Parameters
        ----------
        purpose : ssl.Purpose
            ``CLIENT_AUTH`` to accept connections, ``SERVER_AUTH`` to open them.
        protocol : str
            Name of the protocol within, as ALPN calls it.

        Raises
        ------
        OSError
            If a file can't be read, or key and certificate don't match.
        """
        context = ssl.create_default_context(purpose, cafile=self.authorities or None)
        context.load_cert_chain(self.certificate, self.key)
        context.set_alpn_protocols([protocol])
        if self.authorities:
            context.verify_mode = ssl.CERT_REQUIRED
        return context

    def read_stamps(self):
        """Return what tells a changed file from the one that was read."""
        paths = filter(None, (self.certificate, self.key, self.authorities))
        found = [Path(path).stat() for path in paths]
        return tuple((f.st_mtime_ns, f.st_size, f.st_ino) for f in found)


class TLSContext:
    """A context that follows its files.

    Parameters
    ----------
    files : CertificateFiles
    purpose : ssl.Purpose
    protocol : str

    Notes
    -----
    Files are looked at for each new connection. While a certificate has been
    replaced and its key has not, the two don't match; the old context is kept
    until they do. Connections that are open stay as they are.
    """

    def __init__(self, files, purpose, protocol):
        self._files = files
        self._purpose = purpose
        self._protocol = protocol
        self._stamps = files.read_stamps()
        self._context = files.load(purpose, protocol)

    def get(self):
        """Return the `ssl.SSLContext` for a new connection."""
        try:
            stamps = self._files.read_stamps()
            if stamps != self._stamps:
                self._context = self._files.load(self._purpose, self._protocol)
                self._stamps = stamps
                log.info("certificates read again", extra={"step": "reload"})
        except OSError as error:
            log.error("certificates kept", extra={"reason": repr(error)})
        return self._context

    async def wrap(self, sock):
        """Return the accepted `sock` after the handshake of a server.

        Raises
        ------
        OSError
            If the handshake fails or takes too long; the socket is closed.
        """
        wrapped = await CurioSSLContext(self.get()).wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        try:
            async with curio.timeout_after(HANDSHAKE_SECONDS):
                await wrapped.do_handshake()
        except curio.TaskTimeout:
            await wrapped.close()
            raise ConnectionAbortedError("The handshake takes too long.") from None
        except BaseException:
            await wrapped.close()
            raise
        return wrapped
