"""Read INI text into attrs classes, collecting every mistake on the way."""

import configparser
import difflib

from attrs import NOTHING, field, fields

from .problems import Problem

__all__ = ["SectionReader", "make_option", "parse_text"]


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
    """Return ``{section: {option: text}}``; note what can't be parsed."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0", delimiters=("=",)
    )
    parser.optionxform = str
    try:
        parser.read_string(text, source=file)
    except configparser.DuplicateSectionError as error:
        problems.append(
            Problem(file, error.section, "", error.section, "each section once")
        )
    except configparser.DuplicateOptionError as error:
        problems.append(
            Problem(file, error.section, error.option, error.option, "each option once")
        )
    except configparser.MissingSectionHeaderError as error:
        read = error.line.strip()
        problems.append(Problem(file, "", "", read, "a [section] before any option"))
    except configparser.ParsingError as error:
        for _, line in error.errors:
            read = line.strip("'\\n")
            problems.append(
                Problem(file, "", "", read, "lines of the form: option = value")
            )
    return {name: dict(parser[name]) for name in parser.sections()}


class SectionReader:
    """Read the options of sections.

    Parameters
    ----------
    file : str
        Name of the file, for messages.
    problems : list of Problem
        Where mistakes are collected.
    """

    def __init__(self, file, problems):
        self._file = file
        self._problems = problems

    def read(self, section, options, cls, **given):
        """Return an instance of `cls`, or None if there are mistakes.

        Parameters
        ----------
        section : str
        options : dict of str to str
        cls : type
            An attrs class whose fields are made by `make_option`.
        **given
            Values of further fields.
        """
        known = {a.name: a for a in fields(cls) if "kind" in a.metadata}
        before = len(self._problems)
        self._check_known(section, options, known)
        values = {}
        for name, attribute in known.items():
            if name in options:
                values[name] = self._read_option(section, options, attribute)
            elif attribute.default is NOTHING:
                allowed = attribute.metadata["kind"].allowed
                self.note(section, name, "", f"{allowed}; this option is needed")
        if len(self._problems) > before:
            return None
        return cls(**values, **given)

    def note(self, section, option, read, allowed):
        """Add a problem."""
        self._problems.append(Problem(self._file, section, option, read, allowed))

    def check_section(self, section, known):
        """Note a section that is not among `known`."""
        allowed = "a known section" + _suggest(section, known)
        self._problems.append(Problem(self._file, section, "", section, allowed))

    def _check_known(self, section, options, known):
        for name in options:
            if name not in known:
                allowed = "a known option" + _suggest(name, known)
                self.note(section, name, name, allowed)

    def _read_option(self, section, options, attribute):
        kind = attribute.metadata["kind"]
        text = options[attribute.name].strip()
        try:
            return kind.read(text)
        except ValueError:
            self.note(section, attribute.name, text, kind.allowed)
            return None


def _suggest(name, known):
    near = difflib.get_close_matches(name, list(known), n=1)
    if near:
        return f"; did you mean {near[0]!r}?"
    return "; one of " + ", ".join(sorted(known))
