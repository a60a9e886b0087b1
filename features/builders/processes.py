"""Start real processes, wait on their readiness, and end them by id."""

import os
import signal
import subprocess
import sys
import time

import orjson

READY_SECONDS = 60
END_SECONDS = 30
POLL_SECONDS = 0.02


def wait_until(condition, what, seconds=READY_SECONDS):
    """Wait until `condition()` is true and return its value.

    The bound is generous: it ends a test that would hang, and decides nothing.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"not within {seconds} s: {what}")


class Process:
    """One process of mangogauge.

    Parameters
    ----------
    name : str
    arguments : list of str
        Arguments of the command line.
    folder : pathlib.Path
        Where its log goes.

    Attributes
    ----------
    build : pathlib.Path or None
        Folder of the build that it runs; None for this one.
    module : str
        The module that it runs.
    """

    def __init__(self, name, arguments, folder):
        self.name = name
        self.build = None
        self.module = "mangogauge"
        self.arguments = [str(argument) for argument in arguments]
        self.log_path = folder / f"{name}.log"
        self.ready = {}
        self._popen = None

    @property
    def pid(self):
        return self._popen.pid

    @property
    def is_running(self):
        return self._popen is not None and self._popen.poll() is None

    def start(self):
        """Start it and wait for its line of ports."""
        return self.start_module(self.module, {})

    def start_module(self, module, variables):
        """Start a module as a program and wait for its first line."""
        command = [sys.executable, "-m", module, *self.arguments]
        environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **variables}
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                command,
                stdout=subprocess.PIPE,
                stderr=log,
                env=environment,
                cwd=self.build,
            )
        line = self._popen.stdout.readline()
        if not line:
            raise AssertionError(f"{self.name} did not start: {self.read_log()}")
        self.ready = orjson.loads(line)
        return self

    def kill(self):
        """End it at once."""
        self._signal(signal.SIGKILL)
        self.wait()

    def terminate(self):
        """Ask it to drain."""
        self._signal(signal.SIGTERM)

    def pause(self):
        self._signal(signal.SIGSTOP)

    def resume(self):
        self._signal(signal.SIGCONT)

    def wait(self, seconds=END_SECONDS):
        """Wait for its end and return the exit code."""
        return self._popen.wait(seconds)

    def read_log(self):
        return self.log_path.read_text() if self.log_path.exists() else ""

    def _signal(self, number):
        if self.is_running:
            self._popen.send_signal(number)
