"""Certificates of a made-up authority."""

import trustme


class Authority:
    """An authority and the files of what it certifies.

    Parameters
    ----------
    folder : pathlib.Path
    name : str
    """

    def __init__(self, folder, name="authority"):
        self._authority = trustme.CA()
        self._folder = folder
        self.path = folder / f"{name}.pem"
        self._authority.cert_pem.write_to_path(str(self.path))

    def certify(self, name, address):
        """Write certificate and key for an IP number; return their paths."""
        made = self._authority.issue_cert(address)
        certificate = self._folder / f"{name}.crt"
        key = self._folder / f"{name}.key"
        certificate.write_bytes(b"".join(p.bytes() for p in made.cert_chain_pems))
        made.private_key_pem.write_to_path(str(key))
        return certificate, key
