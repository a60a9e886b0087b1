"""A page that lists every option, made from the classes that read them."""

import enum
import inspect

from attrs import NOTHING, fields

from .fleet import NAMED_SECTIONS, SINGLE_SECTIONS
from .host import HostSettings, PeerSettings, PlatformSettings
from .kinds import TextKind
from .serving import ColdSettings, ServingSettings, StoreSettings

__all__ = ["make_reference"]

HOST_SECTIONS = {
    "host": HostSettings,
    "platform": PlatformSettings,
    "peers": PeerSettings,
}
SERVING_SECTIONS = {
    "host": ServingSettings,
    "store": StoreSettings,
    "cold": ColdSettings,
}
REGIONS = (
    "### [regions]\n\n"
    "One line `DATA CENTRE = REGION` for each data centre whose region is known; a "
    f"region is {TextKind.allowed}.\n"
)
INTRODUCTION = (
    "# Settings\n\n"
    "Made by `mangogauge report settings`; a feature checks that it is up to date.\n"
)


def make_reference():
    """Return the page as Markdown."""
    fleet = {f"{name} NAME": cls for name, (_, cls) in NAMED_SECTIONS.items()}
    parts = [INTRODUCTION, "## Base file and overlays\n"]
    parts += _list_sections({**fleet, **SINGLE_SECTIONS})
    parts.append("## A host's file\n")
    parts += _list_sections(HOST_SECTIONS)
    parts.append("## The file of a host on the platform\n")
    parts += _list_sections(SERVING_SECTIONS)
    parts.append(REGIONS)
    return "\n".join(parts)


def _list_sections(sections):
    return [_make_section(name, cls) for name, cls in sections.items()]


def _make_section(name, cls):
    documented = _read_parameters(cls)
    lines = [
        f"### [{name}]\n",
        "| Option | Allowed | If absent | Meaning |",
        "|---|---|---|---|",
    ]
    for attribute in fields(cls):
        kind = attribute.metadata.get("kind")
        if kind is None:
            continue
        default = _show_default(attribute.default)
        meaning = documented.get(attribute.name, "")
        lines.append(f"| `{attribute.name}` | {kind.allowed} | {default} | {meaning} |")
    return "\n".join([*lines, ""])


def _show_default(default):
    if default is NOTHING:
        return "must be given"
    if isinstance(default, enum.Enum):
        return f"`{default.value}`"
    if isinstance(default, bool):
        return "`yes`" if default else "`no`"
    if default in ("", ()):
        return "empty"
    if isinstance(default, tuple):
        return "`" + ", ".join(map(str, default)) + "`"
    return f"`{default}`"


def _read_parameters(cls):
    """Return the meaning of each parameter from the class's docstring."""
    text = inspect.getdoc(cls) or ""
    meanings = {}
    names = []
    for line in text.partition("Parameters\n----------\n")[2].splitlines():
        if not line.strip():
            break
        if line.startswith(" "):
            for name in names:
                meanings[name] = f"{meanings.get(name, '')} {line.strip()}".strip()
        else:
            names = [name.strip() for name in line.partition(":")[0].split(",")]
    return meanings
