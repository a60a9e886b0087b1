"""Requests in the form in which `h11` writes them."""

import h11

from .errors import HTTPEncodeError

__all__ = ["make_request"]


def make_request(method, target, headers, peer=""):
    """Return the head of a request as an `h11.Request`.

    Parameters
    ----------
    method, target : str
    headers : Headers
        With the field ``Host``.
    peer : str, optional
        Address of the server, for the error.

    Raises
    ------
    HTTPEncodeError
        If HTTP can't carry the target or a header field.

    Examples
    --------
    >>> from .headers import Headers
    >>> make_request("GET", "/x", Headers([("Host", "a.example")])).target
    b'/x'
    """
    try:
        return h11.Request(method=method, target=target, headers=headers.to_raw())
    except (h11.LocalProtocolError, UnicodeError) as error:
        raise HTTPEncodeError(
            f"The request can't be written as HTTP: {error}.", step="send", peer=peer
        ) from error
