"""What is wrong with settings, collected over all files before it is raised."""

from attrs import field, frozen

from ..errors import MangogaugeError

__all__ = ["Problem", "SettingsError"]


@frozen
class Problem:
    """One mistake.

    Parameters
    ----------
    file, section, option : str
        Where it is; empty where that does not apply.
    read : str
        What was read.
    allowed : str
        What is allowed there.
    """

    file = field()
    section = field(default="")
    option = field(default="")
    read = field(default="")
    allowed = field(default="")

    def __str__(self):
        place = self.file
        if self.section:
            place += f" [{self.section}]"
        if self.option:
            place += f" {self.option}"
        return f"{place}: read {self.read!r}; allowed: {self.allowed}"


class SettingsError(MangogaugeError):
    """The settings have mistakes; all of them are in `problems`."""

    def __init__(self, problems):
        self.problems = list(problems)
        lines = "\n".join(str(problem) for problem in self.problems)
        super().__init__(f"The settings have mistakes:\n{lines}", step="read settings")
