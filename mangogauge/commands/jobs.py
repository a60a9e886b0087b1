"""``mangogauge job``: submit batch jobs and look after them, as a caller."""

import sys
import time
import uuid
from pathlib import Path

import orjson
from cyclopts import App

from .exits import EXIT_HELP, ExitCode
from .output import make_progress, print_error, print_json, print_rows
from .ports import AsJSON, HostAddress, KeyFile, ask_host, read_key

__all__ = ["app"]

app = App(
    name="job",
    help="Submit batch jobs and look after them, with a caller's key.",
    help_epilogue=EXIT_HELP,
)

FILES = "/v1/files"
BATCHES = "/v1/batches"
CHATS = "/v1/chat/completions"
POLL_SECONDS = 0.5
ENDED = frozenset({"completed", "failed", "cancelled", "expired"})
COLUMNS = ("id", "status", "total", "completed", "failed", "input", "output", "errors")


@app.command
def submit(
    file: Path,
    *,
    host: HostAddress,
    key_file: KeyFile = None,
    endpoint: str = CHATS,
    window: str = "24h",
    idempotency_key: str = "",
    wait: bool = False,
    json: AsJSON = False,
):
    """Upload a JSONL file of items and submit it as a job.

    Parameters
    ----------
    file
        One item a line, each with a custom_id, method, url and body.
    endpoint
        Path that the items are for.
    window
        Time within which the job is to be finished.
    idempotency_key
        Name of this submission: sent again, it makes no second job.
    wait
        Wait until the job has ended.
    """
    key = read_key(key_file)
    token = idempotency_key or uuid.uuid4().hex
    try:
        data = file.read_bytes()
    except OSError as error:
        print_error(str(error))
        sys.exit(ExitCode.USAGE)
    body, content_type = _make_upload(file.name, data)
    fields = [("Content-Type", content_type)]
    uploaded = ask_host(host, "POST", FILES, key, body, fields).value
    request = {
        "input_file_id": uploaded["id"],
        "endpoint": endpoint,
        "completion_window": window,
    }
    fields = [("Content-Type", "application/json"), ("Idempotency-Key", token)]
    job = ask_host(host, "POST", BATCHES, key, orjson.dumps(request), fields).value
    if wait:
        job = _wait(host, key, job["id"])
    _show(job, json)


@app.command(name="list")
def list_jobs(*, host: HostAddress, key_file: KeyFile = None, json: AsJSON = False):
    """List the client account's jobs."""
    jobs = ask_host(host, "GET", BATCHES, read_key(key_file)).value["data"]
    print_rows([_flatten(job) for job in jobs], json, COLUMNS)


@app.command
def status(
    job: str,
    *,
    host: HostAddress,
    key_file: KeyFile = None,
    wait: bool = False,
    json: AsJSON = False,
):
    """Show one job.

    Parameters
    ----------
    job
        The job's id.
    wait
        Wait until the job has ended.
    """
    key = read_key(key_file)
    found = _wait(host, key, job) if wait else _read(host, key, job)
    _show(found, json)


@app.command
def results(
    job: str,
    *,
    host: HostAddress,
    key_file: KeyFile = None,
    output: Path | None = None,
):
    """Print a job's results as JSONL, those of failed items last.

    Parameters
    ----------
    job
        The job's id.
    output
        File to write to; standard output if not given.
    """
    key = read_key(key_file)
    found = _read(host, key, job)
    files = [found.get("output_file_id"), found.get("error_file_id")]
    if not any(files):
        print_error(f"The job is {found['status']} and has no results yet.")
        sys.exit(ExitCode.FAILED)
    data = b"".join(
        ask_host(host, "GET", f"{FILES}/{name}/content", key).body
        for name in files
        if name
    )
    if output is None:
        sys.stdout.buffer.write(data)
        return
    output.write_bytes(data)
    print_json({"file": str(output), "results": len(data.splitlines())})


@app.command
def cancel(
    job: str, *, host: HostAddress, key_file: KeyFile = None, json: AsJSON = False
):
    """Cancel a job; results that are there stay readable.

    Parameters
    ----------
    job
        The job's id.
    """
    answer = ask_host(host, "POST", f"{BATCHES}/{job}/cancel", read_key(key_file))
    _show(answer.value, json)


def _read(host, key, job):
    return ask_host(host, "GET", f"{BATCHES}/{job}", key).value


def _wait(host, key, job):
    """Return the job once it has ended; show how far it is meanwhile."""
    with make_progress() as progress:
        bar = progress.add_task(job, total=None)
        while True:
            found = _read(host, key, job)
            counts = found["request_counts"]
            done = counts["completed"] + counts["failed"]
            progress.update(bar, completed=done, total=counts["total"] or None)
            if found["status"] in ENDED:
                return found
            time.sleep(POLL_SECONDS)


def _show(job, as_json):
    print_rows([job if as_json else _flatten(job)], as_json, COLUMNS)
    if job["status"] in ("failed", "expired"):
        sys.exit(ExitCode.FAILED)


def _flatten(job):
    return {
        "id": job["id"],
        "status": job["status"],
        **job["request_counts"],
        "input": job["input_file_id"],
        "output": job.get("output_file_id"),
        "errors": job.get("error_file_id"),
    }


def _make_upload(name, data):
    """Return the multipart body of an upload and its content type."""
    boundary = uuid.uuid4().hex
    plain = "".join(c for c in name if c.isalnum() or c in "._-") or "items.jsonl"
    head = (
        f'--{boundary}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\n'
        f"batch\r\n--{boundary}\r\n"
        f'Content-Disposition: form-data; name="file"; filename="{plain}"\r\n'
        "Content-Type: application/jsonl\r\n\r\n"
    )
    body = head.encode() + data + f"\r\n--{boundary}--\r\n".encode()
    return body, f"multipart/form-data; boundary={boundary}"
