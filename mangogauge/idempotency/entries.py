"""Entries of keyed calls in the platform's store."""

import hashlib
import uuid

import zstandard

from ..http import Headers
from ..protocol.idempotency_pb2 import HeaderField, KeyedEntry
from .recording import Recording

__all__ = [
    "BODY_LIMIT_BYTES",
    "compute_fingerprint",
    "is_free",
    "make_answer_entry",
    "make_freed_entry",
    "make_intent_entry",
    "make_key",
    "make_recording",
    "make_unknown_entry",
]

KEYED_PREFIX = "keyed/"
BODY_LIMIT_BYTES = 700_000
REPLAYED_HEADER = "Idempotent-Replayed"


def compute_fingerprint(call):
    """Return a hash of the call's method, target and body."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def make_key(call, fingerprint):
    """Return the store key of a keyed call.

    Notes
    -----
    Calls on a route that needs no key have no client account that tells callers
    apart. There the fingerprint of the request is part of the store key, so that a
    caller can't get another's answer by guessing its idempotency key.
    """
    scope = call.account.encode() or fingerprint
    digest = hashlib.blake2b(digest_size=16)
    for part in (bool(call.account).to_bytes(1, "big"), scope):
        digest.update(len(part).to_bytes(8, "big") + part)
    digest.update(call.idempotency_key.encode())
    return KEYED_PREFIX + digest.hexdigest()


def make_intent_entry(member, fingerprint, ends_at):
    """Return the entry that is written before a call is run.

    Parameters
    ----------
    member : Member
        This host.
    fingerprint : bytes
    ends_at : float
        Deadline of the call, in seconds since the Unix epoch.
    """
    return KeyedEntry(
        token=uuid.uuid4().hex,
        host=member.name,
        incarnation=member.incarnation,
        fingerprint=fingerprint,
        ends_at=ends_at,
    )


def make_answer_entry(intent, recording):
    """Return the entry of a complete answer."""
    entry = KeyedEntry()
    entry.CopyFrom(intent)
    entry.ended = True
    entry.status = recording.status
    entry.headers.extend(HeaderField(name=n, value=v) for n, v in recording.headers)
    entry.body = zstandard.compress(recording.body)
    return entry


def make_unknown_entry(intent):
    """Return the entry of a call whose outcome is unknown."""
    entry = KeyedEntry()
    entry.CopyFrom(intent)
    entry.ended = entry.unknown = True
    return entry


def make_freed_entry(entry):
    """Return the entry that frees the key of a call that may be run again.

    Notes
    -----
    A key that was deleted would be absent again, which is what each intent requires:
    one that lies at a paused host or store could then still be written.
    """
    freed = KeyedEntry()
    freed.CopyFrom(entry)
    freed.ends_at = 0
    freed.ended = freed.unknown = False
    return freed


def is_free(entry):
    """Return whether a call may be run under the key of an entry."""
    return not entry.ended and not entry.ends_at


async def make_recording(entry):
    """Return a `Recording` that replays the complete answer of an entry."""
    recording = Recording(entry.fingerprint)
    headers = Headers((field.name, field.value) for field in entry.headers)
    headers.set(REPLAYED_HEADER, "true")
    await recording.start(entry.status, headers)
    await recording.add(zstandard.decompress(entry.body))
    await recording.end()
    return recording
