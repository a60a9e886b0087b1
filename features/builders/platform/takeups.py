"""Callers whose streams break off, and who resume them at another host."""

import re
import time

from .deployment import read_answer

__all__ = ["StreamCallers"]

EVENTS = 24
READ_BYTES = 64
# Seen events before a caller's connection breaks off.
MIN_EVENTS = 2
EVENT = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")
TAKE_UP_TRIES = 3


class StreamCallers:
    """Callers that each have a stream, named s1, s2, and so on.

    Parameters
    ----------
    deployment : PlatformDeployment

    Attributes
    ----------
    answers : dict of str to PlatformAnswer
        The last answer of each stream.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._seen = {}
        self.answers = {}

    def ask(self, host, count):
        """Ask for so many streams, one after the other, and read each to its end."""
        for stream in self._name_streams(count):
            self.answers[stream] = self._deployment.ask(host, "/note/1", stream, EVENTS)
            self._seen[stream] = 0

    def begin(self, host, count):
        """Begin so many streams, and break each connection after a few events."""
        names = self._name_streams(count)
        calls = [lambda name=name: self._begin(host, name) for name in names]
        self._deployment.run_together(calls)

    def take_up(self, host, says_which=True):
        """Resume all streams at a host; where refused, a few times, when told to."""
        calls = [
            lambda name=name: self._take_up(host, name, says_which)
            for name in self._seen
        ]
        self._deployment.run_together(calls)

    def list_whole(self):
        """Return the streams whose events have all come, each once."""
        return [
            stream
            for stream, answer in self.answers.items()
            if answer.status == 200
            and answer.whole
            and _list_numbers(answer.body)
            == list(range(self._seen[stream] + 1, EVENTS + 1))
        ]

    def _name_streams(self, count):
        first = len(self._seen) + 1
        return [f"s{number}" for number in range(first, first + count)]

    def _begin(self, host, stream):
        connection = self._deployment.open(host, "/note/1", stream, EVENTS)
        response = connection.getresponse()
        assert response.status == 200, (stream, response.status)
        body = b""
        while len(_list_numbers(body)) < MIN_EVENTS:
            body += response.read1(READ_BYTES)
        response.close()
        connection.close()
        self._seen[stream] = _list_numbers(body)[-1]

    def _take_up(self, host, stream, says_which):
        for number in range(TAKE_UP_TRIES):
            fields = {"Last_Event_Id": self._seen[stream]}
            if says_which:
                fields["Resumes"] = stream
            connection = self._deployment.open(
                host, "/note/1", f"{stream}-{number}", EVENTS, **fields
            )
            answer = self.answers[stream] = read_answer(connection)
            connection.close()
            if answer.status == 200 or number == TAKE_UP_TRIES - 1:
                return
            # Whoever comes back earlier than told may find the host as it was.
            time.sleep(float(answer.headers.get("retry-after", 0)))


def _list_numbers(body):
    return [int(number) for number in EVENT.findall(body)]
