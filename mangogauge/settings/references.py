"""Checks of settings against each other: names, kinds, addresses and paths."""

from .fleet import EndpointKind, RouteKind
from .problems import Problem
from .sections import suggest_name

__all__ = ["check_references"]

# Paths that the host serves itself.
RESERVED_PATHS = ("/v1/files", "/v1/batches", "/v1/models")
REFERENCES = (
    ("routes", "route", "accounts", "accounts"),
    ("routes", "route", "endpoints", "endpoints"),
    ("models", "model", "accounts", "accounts"),
    ("endpoints", "endpoint", "models", "models"),
    ("endpoints", "endpoint", "data_centre", "data_centres"),
    ("objectives", "objective", "account", "accounts"),
)


def check_references(values, sections, find_file, problems):
    """Note what does not fit together.

    Parameters
    ----------
    values : dict
        By plural and name, the options that were read without mistake.
    sections : dict
        By section, the `OptionText` of its options.
    find_file : callable
        Returns the file that a section begins in.
    problems : list of Problem
        Where mistakes are collected.
    """
    notes = _Notes(sections, find_file, problems)
    for plural, kind, option, target in REFERENCES:
        for name, options in values[plural].items():
            _check_names(notes, f"{kind} {name}", option, options, values[target])
    for name, options in values["routes"].items():
        _check_route(notes, f"route {name}", options, values["endpoints"])
    for name, options in values["endpoints"].items():
        _check_endpoint(notes, f"endpoint {name}", options)
    _check_unique(notes, "endpoint", "address", values["endpoints"])
    _check_unique(notes, "route", "path", values["routes"])


class _Notes:
    """Adds problems that name the file in which an option was written."""

    def __init__(self, sections, find_file, problems):
        self._sections = sections
        self._find_file = find_file
        self._problems = problems

    def is_written(self, section, option):
        """Return whether the option is given rather than its default."""
        return option in self._sections[section]

    def add(self, section, option, allowed, read=None):
        """Add a problem; what was read is the option's text if not given."""
        written = self._sections[section].get(option)
        file = written.file if written else self._find_file(section)
        if read is None:
            read = written.text.strip() if written else ""
        self._problems.append(Problem(file, section, option, read, allowed))


def _check_names(notes, section, option, options, known):
    names = options.get(option, ())
    for name in (names,) if isinstance(names, str) else names:
        # An option that may be left out names nothing when it is.
        if name and name not in known:
            allowed = "a name that has a section" + suggest_name(name, known)
            notes.add(section, option, allowed, read=name)


def _check_route(notes, section, options, endpoints):
    kind = options.get("kind")
    if kind is RouteKind.SERVICE:
        _check_service_route(notes, section, options, endpoints)
    if kind is RouteKind.MODEL and options.get("endpoints"):
        notes.add(section, "endpoints", "none: a model's engines are found by its name")
    if options.get("open") and options.get("accounts"):
        notes.add(section, "accounts", "none: the route is open to all")
    if options.get("path", "").startswith(RESERVED_PATHS):
        allowed = "a path that the host does not serve itself: not "
        notes.add(section, "path", allowed + ", ".join(RESERVED_PATHS))
    methods = options.get("methods")
    if methods and notes.is_written(section, "repeatable"):
        for method in options.get("repeatable", ()):
            if method not in methods:
                allowed = "methods that the route passes on"
                notes.add(section, "repeatable", allowed, read=method)


def _check_service_route(notes, section, options, endpoints):
    if options.get("endpoints") == ():
        allowed = "at least one endpoint: this is a service's route"
        notes.add(section, "endpoints", allowed)
    for name in options.get("endpoints", ()):
        if endpoints.get(name, {}).get("kind") is EndpointKind.ENGINE:
            notes.add(section, "endpoints", "endpoints of the kind service", name)


def _check_endpoint(notes, section, options):
    kind, models = options.get("kind"), options.get("models")
    if kind is EndpointKind.ENGINE and models == ():
        notes.add(section, "models", "at least one model: this is an engine")
    if kind is EndpointKind.SERVICE and models:
        notes.add(section, "models", "none: this is a plain service")


def _check_unique(notes, kind, option, values):
    seen = {}
    for name, options in values.items():
        value = options.get(option)
        if value is None:
            continue
        if value in seen:
            allowed = f"another than that of [{kind} {seen[value]}]"
            notes.add(f"{kind} {name}", option, allowed)
        seen.setdefault(value, name)
