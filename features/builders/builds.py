"""Where the two builds are whose processes run side by side."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
OTHER_BUILD = "MANGOGAUGE_OTHER_BUILD"


def find_build(name):
    """Return the folder of the build that is called ``old`` or ``new``."""
    if name == "new":
        return ROOT
    assert name == "old", name
    return Path(os.environ.get(OTHER_BUILD) or ROOT).resolve()


def make_environment(**variables):
    """Return the variables for a process that writes nothing into its build."""
    return {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **variables}


def find_package(build):
    """Return the folder from which a process started in `build` imports."""
    command = [sys.executable, "-c", "import mangogauge; print(mangogauge.__file__)"]
    done = subprocess.run(
        command, cwd=build, env=make_environment(), capture_output=True, text=True
    )
    assert done.returncode == 0, done
    return Path(done.stdout.strip()).resolve().parent


def check_build(process, name):
    """Assert that a running process is of a build."""
    build = find_build(name)
    folder = Path(os.readlink(f"/proc/{process.pid}/cwd"))
    assert folder == build, (process.name, folder, build)
    assert find_package(build) == build / "mangogauge", build
