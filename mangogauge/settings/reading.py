"""Read the base file and the overlays into settings of the fleet."""

from .fleet import NAMED_SECTIONS, SINGLE_SECTIONS, FleetSettings
from .kinds import ModelNameKind, NameKind
from .problems import Problem, SettingsError
from .references import check_references
from .sections import SectionReader, parse_text, suggest_name

__all__ = ["read_fleet"]

BASE_FILE = "base.ini"
PLAIN_NAME = NameKind()
NAME_KINDS = {"model": ModelNameKind()}
SECTIONS = (*NAMED_SECTIONS, *SINGLE_SECTIONS)


def read_fleet(documents, data_centre, version=0):
    """Read base and overlay into settings.

    Parameters
    ----------
    documents : ConfigurationDocuments
    data_centre : str
        Whose overlay applies; the base alone if it has none.
    version : int, optional

    Returns
    -------
    FleetSettings

    Raises
    ------
    SettingsError
        With every mistake in the base and in all overlays, each once.

    Notes
    -----
    What is checked is what each data centre would see. The base alone is
    checked only for data centres without an overlay, so it may leave to the
    overlays what differs everywhere.
    """
    problems = []
    base = parse_text(documents.base, BASE_FILE, problems)
    overlays = {
        name: parse_text(text, f"{name}.ini", problems)
        for name, text in sorted(documents.overlays.items())
    }
    names = _list_data_centres(base, overlays)
    _check_overlays(names, overlays, problems)
    views = {
        name: _read_view(base, overlays.get(name, {}), f"{name}.ini", problems)
        for name in [*names, *overlays]
    }
    settings = views.get(data_centre)
    if settings is None:
        # A data centre that is not declared, or only the check is wanted.
        settings = _read_view(base, {}, BASE_FILE, [] if views else problems)
    if problems:
        raise SettingsError(dict.fromkeys(problems))
    return FleetSettings(version=version, **settings)


def _list_data_centres(base, overlays):
    """Return the names that have a section in the base or in any overlay."""
    texts = [base, *overlays.values()]
    words = [section.partition(" ") for text in texts for section in text]
    names = [name.strip() for kind, _, name in words if kind == "data_centre"]
    return [name for name in dict.fromkeys(names) if name]


def _check_overlays(names, overlays, problems):
    for name in overlays:
        if name not in names:
            allowed = "an overlay named after a data centre" + suggest_name(name, names)
            problems.append(Problem(f"{name}.ini", "", "", name, allowed))


def _read_view(base, overlay, overlay_file, problems):
    """Return the fields of `FleetSettings` as one data centre sees them."""
    sections = dict(base)
    for section, options in overlay.items():
        sections[section] = {**base.get(section, {}), **options}
    view = _View(problems, base, overlay_file)
    for section, options in sections.items():
        view.read(section, options)
    check_references(view.values, sections, view.find_file, problems)
    return view.settings


class _View:
    """Sections as one data centre sees them, read one after another.

    Attributes
    ----------
    settings : dict
        Fields of `FleetSettings`; sections with mistakes are left out.
    values : dict
        By plural and name, the options that are right; every section that
        is there has an entry, so that one mistake does not cause others.
    """

    def __init__(self, problems, base, overlay_file):
        self._problems = problems
        self._reader = SectionReader(problems)
        self._base = base
        self._overlay_file = overlay_file
        self.values = {plural: {} for plural, _ in NAMED_SECTIONS.values()}
        self.settings = {plural: {} for plural in self.values}

    def find_file(self, section):
        """Return the file that a section begins in."""
        return BASE_FILE if section in self._base else self._overlay_file

    def read(self, section, options):
        """Read one section."""
        kind, _, name = section.partition(" ")
        file = self.find_file(section)
        if kind in NAMED_SECTIONS:
            self._read_named(kind, name.strip(), section, options, file)
        elif section in SINGLE_SECTIONS:
            cls = SINGLE_SECTIONS[section]
            value = self._reader.read(section, options, cls, file)
            if value is not None:
                self.settings[section] = value
        else:
            self._reader.check_section(file, section, SECTIONS)

    def _read_named(self, kind, name, section, options, file):
        plural, cls = NAMED_SECTIONS[kind]
        name_kind = NAME_KINDS.get(kind, PLAIN_NAME)
        try:
            name_kind.read(name)
        except ValueError:
            allowed = f"[{kind} NAME], NAME {name_kind.allowed}"
            self._problems.append(Problem(file, section, "", name, allowed))
            return
        before = len(self._problems)
        values = self._reader.read_values(section, options, cls, file)
        self.values[plural][name] = values
        if len(self._problems) == before:
            self.settings[plural][name] = cls(name=name, **values)
