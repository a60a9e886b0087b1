"""What the engine stand-in's answers must be, and answers read piece by piece."""

import http.client
from concurrent.futures import ThreadPoolExecutor

import orjson
import xxhash
from attrs import define, field

READ_SIZE_BYTES = 512


def make_text(prompt, count):
    """Return the text that any engine answers to `prompt`."""
    numbers = (
        xxhash.xxh3_64_intdigest(f"{index}:{prompt}".encode()) % 10_000
        for index in range(count)
    )
    return "".join(f"w{number} " for number in numbers)


def read_events(body):
    """Return the values of a stream's events; the done mark is None."""
    events = [part for part in body.decode().split("\n\n") if part]
    values = [event.removeprefix("data: ") for event in events]
    return [None if value == "[DONE]" else orjson.loads(value) for value in values]


def join_stream(body):
    """Return a stream's text, or None if it has no end."""
    values = read_events(body)
    if not values or values[-1] is not None:
        return None
    choices = [value["choices"][0] for value in values[:-1] if value["choices"]]
    return "".join(choice["delta"].get("content", "") for choice in choices)


@define
class StreamedAnswer:
    """An answer that may have broken off."""

    status = field(default=0)
    body = field(default=b"")
    whole = field(default=False)


class StreamReader:
    """Reads a chat's stream step by step."""

    def __init__(self, caller, prompt, count, usage=False):
        value = {
            "model": "small",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": count,
            "stream": True,
            "stream_options": {"include_usage": usage},
        }
        self.answer = StreamedAnswer()
        self._connection = caller.open(
            "POST",
            "/v1/chat/completions",
            orjson.dumps(value),
            {"Content-Type": "application/json"},
        )
        self._response = None

    def read_some(self):
        """Read the head and some of the body."""
        self._response = self._connection.getresponse()
        self.answer.status = self._response.status
        self.answer.body += self._response.read1(READ_SIZE_BYTES)

    def read_rest(self):
        """Read until the end, whole or not."""
        try:
            self.answer.body += self._response.read()
            self.answer.whole = True
        except (http.client.IncompleteRead, OSError) as error:
            self.answer.body += getattr(error, "partial", b"")
        finally:
            self._connection.close()
        return self.answer


def run_together(function, arguments, width=8):
    """Call `function` with each argument, several at a time."""
    with ThreadPoolExecutor(width) as pool:
        return list(pool.map(function, arguments))
