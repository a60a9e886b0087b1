"""Entries of the store that no process of the platform or of ours would write."""

import orjson

from mangogauge.jobs.keys import CLAIM, OPEN, make_work_key

__all__ = ["make_entry", "make_odd_entries", "read_odd_value"]

MANY_DIGITS = "9" * 5000
MANY = " and 5000 digits"
DEEP = "[" * 100_000 + "]" * 100_000
LARGE = "1" + "0" * 400
BROKEN = "{"
# Texts that are no entry of any kind.
ODD_TEXTS = ("[]", "null", "7", '"text"', "{}", BROKEN, DEEP, LARGE, "\u0000", "")
# Addresses to which no connection can be opened.
ODD_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:" + MANY_DIGITS,
    "127.0.0.1\u0000:80",
    "x" * 5000 + ":80",
    ["127.0.0.1:80"],
)


def make_entry(**changes):
    """Return the text of an endpoint's entry with some fields changed."""
    entry = {
        "service": "llm",
        "address": "192.0.2.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "born": 1,
        "seq": 1,
    }
    return orjson.dumps({**entry, **changes}).decode()


def read_odd_value(text):
    """Return the value that a scenario writes as JSON, or as a text and digits."""
    if text.endswith(MANY):
        return orjson.loads(text.removesuffix(MANY)) + MANY_DIGITS
    return orjson.loads(text)


def make_odd_entries(kind):
    """Return ``{key: text}`` of odd entries, by the words for those around them."""
    return MAKERS[kind]()


def _make_endpoints():
    texts = [
        *ODD_TEXTS,
        *(make_entry(address=address) for address in ODD_ADDRESSES),
        *(make_entry(zone=zone) for zone in (["a"], {}, None, 7)),
        *(make_entry(born=born) for born in ([1], {}, None, "now", 1.5)),
        *(make_entry(version=version) for version in ([1], {}, None)),
        make_entry(slots=2**63),
    ]
    return _number("servers/odd", texts)


def _make_hosts():
    host = {"name": "odd", "incarnation": "1", "data_centre": "a"}
    odd = [
        {**host, "name": ["odd"]},
        {**host, "name": {}},
        {**host, "name": None},
        {**host, "data_centre": []},
        {**host, "extra": 1},
        *({**host, "address": address} for address in (*ODD_ADDRESSES, None, 7, {})),
    ]
    texts = [orjson.dumps(value).decode() for value in odd]
    return _number("members/odd", [*ODD_TEXTS, *texts])


def _make_jobs():
    job = {"job_id": "odd", "account": "desk", "due_at": 0.0, "items": 1}
    odd = [
        {**job, "due_at": "soon"},
        {**job, "due_at": None},
        {**job, "items": []},
        {**job, "extra": 1},
        {**job, "account": []},
    ]
    texts = [*ODD_TEXTS, *(orjson.dumps(value).decode() for value in odd)]
    entries = {
        make_work_key(f"odd{number}", OPEN): text for number, text in enumerate(texts)
    }
    return {
        **entries,
        make_work_key("odd-claim", CLAIM): "\u00ff",
        make_work_key("odd-kind", "other"): "x",
        make_work_key("", OPEN).rstrip("/"): "x",
    }


def _make_records():
    rows = ['["streams 1",7]', '["streams 1",[[1]]]', '["streams 9",[]]', '[["a"]]']
    records = _number("streams/odd", [*ODD_TEXTS, *rows])
    return {**records, "streams-versions": '[["llm"],7,{}]'}


def _number(prefix, texts):
    return {f"{prefix}{number}": text for number, text in enumerate(texts)}


MAKERS = {
    "endpoints": _make_endpoints,
    "hosts": _make_hosts,
    "jobs": _make_jobs,
    "records of streams": _make_records,
}
