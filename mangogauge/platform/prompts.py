"""Parts of prompts, as the platform's clients name them."""

__all__ = ["read_shared_parts"]

SEPARATOR = ","
SIZE_MARK = ":"
# Parts of one prompt that are kept; further ones would cost memory at each request.
MAX_PARTS = 16


def read_shared_parts(text):
    """Return the names of the parts that a prompt may share with others, in order.

    The last part is left out: it is the request's own. The value is forwarded to the
    endpoint as it is, so a malformed one is no error here.

    Parameters
    ----------
    text : str
        Comma-separated ``NAME:TOKENS`` entries.

    Returns
    -------
    tuple of str

    Examples
    --------
    >>> read_shared_parts("5c1e:800, 91bd:410,e440:250")
    ('5c1e', '91bd')
    """
    entries = text.split(SEPARATOR)[:-1][:MAX_PARTS]
    names = (entry.partition(SIZE_MARK)[0].strip().lower() for entry in entries)
    return tuple(name for name in names if name)
