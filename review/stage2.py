"""A small deployment for the cases: store, workers, hosts and a record.

The store and the hosts' settings come from the project's own builders; the workers
are `worker2.py`. Every address is a loopback one.
"""

import os
import shutil
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import orjson
from attrs import define, field

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from features.builders.platform import PlatformDeployment  # noqa: E402
from features.builders.world import World  # noqa: E402

__all__ = ["BROKEN", "HELD", "NOT_RUN", "Stage", "has_trouble", "main", "wait_for"]

HELD, BROKEN, NOT_RUN = 0, 1, 2
WORKER = Path(__file__).with_name("worker2.py")
POLL_SECONDS = 0.05


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def wait_for(condition, seconds):
    """Return whether `condition()` became true within so many seconds."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(POLL_SECONDS)
    return False


@define
class WorkerProcess:
    """One worker: its arguments and its process."""

    address = field()
    arguments = field()
    popen = field(default=None)

    def start(self):
        """Start it and wait until it listens."""
        self.popen = subprocess.Popen(
            [sys.executable, str(WORKER), self.address, *self.arguments],
            stdout=subprocess.PIPE,
        )
        if not self.popen.stdout.readline():
            raise RuntimeError("a worker did not start")

    def kill(self):
        """End it at once, as a crash does."""
        self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()
        self.popen.stdout.close()


class Stage:
    """The deployment of one case.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case; ``record.txt`` is written there.
    """

    def __init__(self, folder):
        self.world = World("review")
        self.platform = PlatformDeployment(self.world)
        self.workers = {}
        self._began_at = time.time()
        self._lock = threading.Lock()
        self._record = (folder / "record.txt").open("w")
        self._journal = self.world.folder / "runs.jsonl"
        self._journal.touch()

    def note(self, text):
        """Write a line to the record."""
        with self._lock:
            line = f"{time.time() - self._began_at:8.3f} {text}\n"
            self._record.write(line)
            self._record.flush()

    def start_worker(self, name, framing="chunked", version="v1", **entry):
        """Register a worker, as it would itself, and start it."""
        address = f"{self.world.address}:{self.world.take_port()}"
        self.platform.endpoints[name] = address
        arguments = [name, str(self._journal), framing]
        self.workers[name] = WorkerProcess(address, arguments)
        self.restart_worker(name, version, **entry)

    def register_worker(self, name, version, **entry):
        """Write a worker's entry with a new start."""
        born = int(time.time() * 1000)
        self.platform.write_entry(name, version=version, born=born, **entry)

    def restart_worker(self, name, version="v1", registers=True, **entry):
        """Start a worker under its id; it registers before it listens."""
        if registers:
            self.register_worker(name, version, **entry)
        worker = self.workers[name]
        worker.arguments = [*worker.arguments[:3], version]
        worker.start()
        self.note(f"worker {name} starts, version {version}")

    def kill_worker(self, name):
        """Crash a worker."""
        self.workers[name].kill()
        self.note(f"worker {name} is killed")

    def read_runs(self):
        """Return what the workers ran, in order."""
        lines = self._journal.read_bytes().splitlines()
        return [orjson.loads(line) for line in lines]

    def note_runs(self):
        """Write what the workers ran to the record."""
        for row in self.read_runs():
            at = row["at"] - self._began_at
            self.note(
                f"at {at:.3f} worker {row['worker']} {row['version']}: "
                f"{row['what']} {row['id']}, last event {row['last']}"
            )

    def close(self):
        """End every process and remove the temporary folder."""
        for worker in self.workers.values():
            if worker.popen is not None and worker.popen.poll() is None:
                worker.kill()
        for process in self.world.processes.values():
            if process.is_running:
                process.kill()
        shutil.rmtree(self.world.folder, ignore_errors=True)
        self._record.close()


def main(file, play):
    """Play a case and end with its status.

    Parameters
    ----------
    file : str
        The case's program.
    play : callable
        Takes a `Stage`; returns HELD or BROKEN.
    """
    status = NOT_RUN
    # The processes are ended also if this one is told to end.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    stage = Stage(Path(file).resolve().parent)
    try:
        status = play(stage)
    except Exception as error:
        stage.note(f"the case could not run: {error!r}")
    finally:
        stage.note({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[status])
        stage.close()
    sys.exit(status)
