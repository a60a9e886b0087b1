"""Kinds of option values: how each is read from text, and what is allowed."""

import ipaddress
import math
import re
from abc import ABC, abstractmethod

__all__ = [
    "AddressKind",
    "ChoiceKind",
    "FlagKind",
    "IntegerKind",
    "Kind",
    "ListKind",
    "MethodKind",
    "ModelNameKind",
    "NameKind",
    "NumberKind",
    "PathKind",
    "TextKind",
]

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MODEL_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
FLAGS = {"yes": True, "true": True, "on": True, "no": False, "false": False}
FLAGS["off"] = False
PORT_LIMIT = 65_535


class Kind(ABC):
    """A kind of value.

    Attributes
    ----------
    allowed : str
        What may be written, for messages.
    """

    allowed = ""

    @abstractmethod
    def read(self, text):
        """Return the value, or raise ValueError."""


class TextKind(Kind):
    """Any text that is not empty, on one line."""

    allowed = "text that is not empty, on one line"

    def read(self, text):
        """Return the text."""
        if not text or not text.isprintable():
            raise ValueError(text)
        return text


class NameKind(Kind):
    """A name of an account, host, model and the like."""

    allowed = "up to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

    def read(self, text):
        """Return the name."""
        if not NAME_PATTERN.fullmatch(text):
            raise ValueError(text)
        return text


class ModelNameKind(Kind):
    """The name of a model, as callers write it."""

    allowed = (
        "up to 127 letters, digits, '.', '_', ':', '/' and '-', "
        "starting with a letter or digit"
    )

    def read(self, text):
        """Return the name."""
        if not MODEL_NAME_PATTERN.fullmatch(text):
            raise ValueError(text)
        return text


class MethodKind(Kind):
    """An HTTP method."""

    allowed = "one of " + ", ".join(METHODS)

    def read(self, text):
        """Return the method."""
        if text not in METHODS:
            raise ValueError(text)
        return text


class NumberKind(Kind):
    """A number within bounds, with its unit in the message."""

    def __init__(self, low, high, unit=""):
        self._low = low
        self._high = high
        self.allowed = f"a number from {low:.12g} to {high:.12g}"
        if unit:
            self.allowed += f" ({unit})"

    def read(self, text):
        """Return the number."""
        number = float(text)
        if not math.isfinite(number) or not self._low <= number <= self._high:
            raise ValueError(text)
        return number


class IntegerKind(Kind):
    """A whole number within bounds."""

    def __init__(self, low, high, unit=""):
        self._low = low
        self._high = high
        self.allowed = f"a whole number from {low} to {high}"
        if unit:
            self.allowed += f" ({unit})"

    def read(self, text):
        """Return the number."""
        number = int(text)
        if not self._low <= number <= self._high:
            raise ValueError(text)
        return number


class FlagKind(Kind):
    """Yes or no."""

    allowed = "yes or no"

    def read(self, text):
        """Return a bool."""
        try:
            return FLAGS[text.lower()]
        except KeyError:
            raise ValueError(text) from None


class ChoiceKind(Kind):
    """One member of an enumeration, by its value."""

    def __init__(self, enumeration):
        self._enumeration = enumeration
        self.allowed = "one of " + ", ".join(member.value for member in enumeration)

    def read(self, text):
        """Return the member."""
        return self._enumeration(text)


class AddressKind(Kind):
    """An IP number, with a port or without."""

    def __init__(self, with_port=True):
        self._with_port = with_port
        self.allowed = "an IPv4 number"
        if with_port:
            self.allowed += f" and a port from 1 to {PORT_LIMIT}, as 192.0.2.1:8080"

    def read(self, text):
        """Return the address as text."""
        host, port = text, "1"
        if self._with_port:
            host, _, port = text.rpartition(":")
        ipaddress.IPv4Address(host)
        if not port.isdecimal() or not 1 <= int(port) <= PORT_LIMIT:
            raise ValueError(text)
        return text


class PathKind(Kind):
    """The path of a route: starts with a slash, may end with a star."""

    allowed = (
        "a path that starts with '/', with no space, '?' or '#', "
        "and with '*' at its end only"
    )

    def read(self, text):
        """Return the path."""
        if not text.startswith("/") or set(text[:-1]) & set(" ?#*"):
            raise ValueError(text)
        if text[-1] in " ?#":
            raise ValueError(text)
        return text


class ListKind(Kind):
    """Values of another kind, separated by commas or lines.

    Parameters
    ----------
    kind : Kind
    least : int, optional
        Smallest number of values.
    """

    def __init__(self, kind, least=0):
        self._kind = kind
        self._least = least
        self.allowed = f"a list separated by commas, each once, each {kind.allowed}"
        if least:
            self.allowed += f"; at least {least}"

    def read(self, text):
        """Return a tuple."""
        parts = [part.strip() for part in text.replace("\n", ",").split(",")]
        values = tuple(self._kind.read(part) for part in parts if part)
        if len(values) < self._least or len(set(values)) < len(values):
            raise ValueError(text)
        return values
