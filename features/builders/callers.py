"""A caller: plain HTTP requests with a key, from the standard library."""

import http.client

import orjson
from attrs import define, field

TIMEOUT_SECONDS = 120


@define
class CallerAnswer:
    """An answer, read whole."""

    status = field()
    headers = field()
    body = field()

    @property
    def json(self):
        return orjson.loads(self.body)

    @property
    def code(self):
        """The stable code of a refusal."""
        return self.json["error"]["code"]


class Caller:
    """Sends requests to one host's callers' port.

    Parameters
    ----------
    address : str
        IP number.
    port : int
    key : str, optional
    """

    def __init__(self, address, port, key=""):
        self.address = address
        self.port = port
        self.key = key

    def request(self, method, target, body=b"", headers=None):
        """Send one request and read the whole answer."""
        connection = self.open(method, target, body, headers)
        try:
            response = connection.getresponse()
            data = response.read()
            fields = {n.lower(): v for n, v in response.getheaders()}
            return CallerAnswer(response.status, fields, data)
        finally:
            connection.close()

    def open(self, method, target, body=b"", headers=None):
        """Send one request; the answer is still to be read."""
        connection = http.client.HTTPConnection(
            self.address, self.port, timeout=TIMEOUT_SECONDS
        )
        fields = dict(headers or {})
        if self.key:
            fields.setdefault("Authorization", f"Bearer {self.key}")
        connection.request(method, target, body=body or None, headers=fields)
        return connection

    def chat(self, prompt, model="small", max_tokens=8, stream=False, headers=None):
        """Ask a model."""
        value = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        fields = {"Content-Type": "application/json", **(headers or {})}
        return self.request("POST", "/v1/chat/completions", orjson.dumps(value), fields)

    def control(self, **changes):
        """Change what a stand-in does, and read its counts."""
        return self.request("POST", "/control", orjson.dumps(changes)).json
