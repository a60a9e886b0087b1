"""Read INI text into attrs classes, collecting every mistake on the way."""

import configparser
import difflib
from pathlib import Path

from attrs import NOTHING, field, fields, frozen

from .problems import Problem, SettingsError

__all__ = ["OptionText", "SectionReader", "make_option", "parse_text", "suggest_name"]

# A line that begins with braces is a section of a template that nobody has filled in:
# what it would hold is absent.
COMMENT_PREFIXES = ("#", ";", "{{")


@frozen
class OptionText:
    """What was written for an option, and in which file."""

    text = field()
    file = field()


def make_option(kind, default=NOTHING):
    """Return an attrs field that is read from the option of its name.

    Parameters
    ----------
    kind : Kind
    default : object, optional
        Value where the option is absent; without one it must be given.
    """
    return field(default=default, metadata={"kind": kind})


def parse_text(text, file, problems):
    """Return ``{section: {option: OptionText}}``; note what can't be parsed.

    Notes
    -----
    `configparser` stops at its first error. The lines at fault are blanked
    and the rest is read again, so that later mistakes are found too.
    """
    lines = text.splitlines()
    while True:
        parser = configparser.ConfigParser(
            interpolation=None,
            default_section="\0",
            delimiters=("=",),
            comment_prefixes=COMMENT_PREFIXES,
        )
        parser.optionxform = str
        try:
            parser.read_string("\n".join(lines), source=file)
        except configparser.Error as error:
            _blank_mistakes(error, lines, file, problems)
            continue
        return {name: _locate(parser[name], file) for name in parser.sections()}


class SectionReader:
    """Read the options of sections.

    Parameters
    ----------
    problems : list of Problem
        Where mistakes are collected.
    """

    def __init__(self, problems):
        self._problems = problems

    def read_file(self, path, known):
        """Return the sections of a file; note those that are not `known`.

        Raises
        ------
        SettingsError
            If the file can't be read at all.
        """
        file = str(path)
        try:
            text = Path(path).read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            problem = Problem(file, read=str(error), allowed="a UTF-8 file to be read")
            raise SettingsError([problem]) from error
        sections = parse_text(text, file, self._problems)
        for section in sections:
            if section not in known:
                self.check_section(file, section, known)
        return sections

    def read(self, section, options, cls, file, **given):
        """Return an instance of `cls`, or None if there are mistakes.

        Parameters
        ----------
        section : str
        options : dict of str to OptionText
        cls : type
            An attrs class whose fields are made by `make_option`.
        file : str
            File to name where an option is missing.
        **given
            Values of further fields.
        """
        before = len(self._problems)
        values = self.read_values(section, options, cls, file)
        if len(self._problems) > before:
            return None
        return cls(**values, **given)

    def read_values(self, section, options, cls, file):
        """Return the values that are right, defaults included, by option."""
        known = {a.name: a for a in fields(cls) if "kind" in a.metadata}
        misspelt = self._check_known(section, options, known)
        values = {}
        for name, attribute in known.items():
            kind = attribute.metadata["kind"]
            if name in options:
                self._read_option(section, name, options[name], kind, values)
            elif attribute.default is NOTHING and name not in misspelt:
                allowed = f"{kind.allowed}; this option is needed"
                self._note(file, section, name, "", allowed)
            elif attribute.default is not NOTHING:
                values[name] = attribute.default
        return values

    def read_mapping(self, section, options, kind):
        """Return the values of a section whose options may have any name.

        Parameters
        ----------
        section : str
        options : dict of str to OptionText
        kind : Kind
            Kind of all values.
        """
        values = {}
        for name, option in options.items():
            self._read_option(section, name, option, kind, values)
        return values

    def check_section(self, file, section, known):
        """Note a section that is not among `known`."""
        first = section.partition(" ")[0]
        allowed = "a known section" + suggest_name(first, known)
        self._note(file, section, "", section, allowed)

    def _check_known(self, section, options, known):
        """Note unknown options; return the known ones that they resemble."""
        misspelt = set()
        for name, option in options.items():
            if name not in known:
                allowed = "a known option" + suggest_name(name, known)
                self._note(option.file, section, name, name, allowed)
                misspelt.update(_find_near(name, known))
        return misspelt

    def _read_option(self, section, name, option, kind, values):
        text = option.text.strip()
        try:
            values[name] = kind.read(text)
        except ValueError:
            self._note(option.file, section, name, text, kind.allowed)

    def _note(self, file, section, option, read, allowed):
        self._problems.append(Problem(file, section, option, read, allowed))


def suggest_name(name, known):
    """Return the part of a message that leads from `name` to a known one."""
    near = _find_near(name, known)
    if near:
        return f"; did you mean {near[0]!r}?"
    return "; one of " + (", ".join(sorted(known)) or "none that exist")


def _find_near(name, known):
    return difflib.get_close_matches(name, list(known), n=1)


def _locate(options, file):
    return {name: OptionText(text, file) for name, text in options.items()}


def _blank_mistakes(error, lines, file, problems):
    if isinstance(error, configparser.DuplicateSectionError):
        problems.append(
            Problem(file, error.section, "", error.section, "each section once")
        )
        _blank_section(lines, error.lineno - 1)
    elif isinstance(error, configparser.DuplicateOptionError):
        read = lines[error.lineno - 1].strip()
        problems.append(
            Problem(file, error.section, error.option, read, "each option once")
        )
        lines[error.lineno - 1] = ""
    elif isinstance(error, configparser.MissingSectionHeaderError):
        read = lines[error.lineno - 1].strip()
        problems.append(Problem(file, "", "", read, "a [section] before any option"))
        lines[error.lineno - 1] = ""
    else:
        for number, _ in error.errors:
            read = lines[number - 1].strip()
            allowed = f"lines of the form: option = value (line {number})"
            section = _find_header(lines, number)
            problems.append(Problem(file, section, "", read, allowed))
            lines[number - 1] = ""


def _find_header(lines, number):
    """Return the section that a line belongs to."""
    headers = [line for line in lines[:number] if line.startswith("[")]
    return headers[-1].strip().strip("[]") if headers else ""


def _blank_section(lines, start):
    """Blank a repeated section up to the next one."""
    lines[start] = ""
    for number in range(start + 1, len(lines)):
        if lines[number].startswith("["):
            return
        lines[number] = ""
