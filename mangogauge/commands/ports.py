"""How commands ask a host: its callers' port with a key, or its operator port."""

import os
import ssl
import sys
from pathlib import Path
from typing import Annotated

import curio
import orjson
from attrs import field, frozen
from cyclopts import Parameter

from ..http import Headers, HTTPConnectError, HTTPError, open_response
from .exits import ExitCode
from .output import print_error

__all__ = [
    "AsJSON",
    "HostAddress",
    "KeyFile",
    "PortAnswer",
    "ask_host",
    "read_key",
]

TLS_SCHEME = "https://"
KEY_VARIABLE = "MANGOGAUGE_KEY"
ANSWER_SECONDS = 120

AsJSON = Annotated[
    bool, Parameter(name="--json", negative="", help="Print lines of JSON.")
]
HostAddress = Annotated[
    str,
    Parameter(help="Address of a host's port: IP:PORT, or https://IP:PORT for TLS."),
]
KeyFile = Annotated[
    Path | None,
    Parameter(help=f"File with the caller's key; else {KEY_VARIABLE} is taken."),
]


@frozen
class PortAnswer:
    """An answer of a host, read whole."""

    status = field()
    headers = field()
    body = field()

    @property
    def value(self):
        """The body as JSON."""
        return orjson.loads(self.body)


def read_key(key_file):
    """Return the caller's key, or end the process."""
    if key_file is not None:
        return _read_file(key_file)
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        _end(ExitCode.USAGE, f"A key is needed: --key-file or {KEY_VARIABLE}.")
    return key


def ask_host(address, method, target, token, body=b"", headers=()):
    """Send a request and return its `PortAnswer`.

    The process ends with a message and a documented exit code if there is no
    answer, or a refusal.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of a host.
    method, target : str
    token : str
        A caller's key or the operators' secret; empty for none.
    body : bytes, optional
    headers : iterable of (str, str), optional
    """
    _check_address(address.removeprefix(TLS_SCHEME))
    fields = Headers(headers)
    if token:
        fields.add("Authorization", f"Bearer {token}")
    try:
        answer = curio.run(_ask, address, method, target, fields, body)
    except HTTPConnectError as error:
        _end(ExitCode.UNAVAILABLE, str(error))
    except (HTTPError, curio.TaskTimeout) as error:
        lost = ExitCode.UNAVAILABLE if method == "GET" else ExitCode.UNKNOWN
        _end(lost, f"No whole answer, so it may have been done: {error}")
    if answer.status >= 400:
        _end_refused(answer)
    return answer


def _check_address(address):
    """End the process if an address has no host or no port."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        _end(ExitCode.USAGE, f"Not an address of the form IP:PORT: {address}")


async def _ask(address, method, target, headers, body):
    tls = None
    if address.startswith(TLS_SCHEME):
        # SSL_CERT_FILE names the authorities if the system's won't do.
        tls = ssl.create_default_context()
    address = address.removeprefix(TLS_SCHEME)
    async with curio.timeout_after(ANSWER_SECONDS):
        response = await open_response(address, method, target, headers, body, tls)
        return PortAnswer(response.status, response.headers, await response.read())


def _end_refused(answer):
    error = _read_error(answer)
    code = ExitCode.REFUSED
    if error.get("executed") == "unknown":
        code = ExitCode.UNKNOWN
    elif answer.status >= 500 or answer.status == 429:
        code = ExitCode.UNAVAILABLE
    parts = [error.get("message", ""), f"[{answer.status} {error.get('code', '')}]"]
    if "retry_after" in error:
        parts.append(f"Try again in {error['retry_after']} s.")
    _end(code, " ".join(parts))


def _read_error(answer):
    try:
        error = answer.value["error"]
    except (ValueError, KeyError, TypeError):
        return {}
    return error if isinstance(error, dict) else {"message": str(error)}


def _read_file(path):
    try:
        return Path(path).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        _end(ExitCode.USAGE, f"{path}: {error}")


def _end(code, message):
    print_error(message)
    sys.exit(code)
