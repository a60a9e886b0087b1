"""What the platform keeps of a keyed call."""

import hashlib
import uuid

import zstandard

from ..http import Headers
from ..protocol.idempotency_pb2 import HeaderField, KeyedEntry
from .recording import Recording

__all__ = [
    "BODY_LIMIT_BYTES",
    "compute_fingerprint",
    "make_answer_entry",
    "make_intent_entry",
    "make_key",
    "make_recording",
    "make_unknown_entry",
]

KEYED_PREFIX = "keyed/"
BODY_LIMIT_BYTES = 700_000
REPLAYED_HEADER = "Idempotent-Replayed"


def compute_fingerprint(call):
    """Return a hash of what was asked for."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def make_key(call, fingerprint):
    """Return where a keyed call is kept.

    Notes
    -----
    On a route that is open to all there is no client account to tell callers
    apart, so there the request itself is part of the identity: nobody gets
    another's answer by guessing a key.
    """
    scope = call.account.encode() or fingerprint
    digest = hashlib.blake2b(digest_size=16)
    for part in (bool(call.account).to_bytes(1, "big"), scope):
        digest.update(len(part).to_bytes(8, "big") + part)
    digest.update(call.idempotency_key.encode())
    return KEYED_PREFIX + digest.hexdigest()


def make_intent_entry(member, fingerprint, ends_at):
    """Return the entry that is recorded before a call is run."""
    return KeyedEntry(
        token=uuid.uuid4().hex,
        host=member.name,
        incarnation=member.incarnation,
        fingerprint=fingerprint,
        ends_at=ends_at,
    )


def make_answer_entry(intent, recording):
    """Return the entry of a whole answer."""
    entry = KeyedEntry()
    entry.CopyFrom(intent)
    entry.ended = True
    entry.status = recording.status
    entry.headers.extend(HeaderField(name=n, value=v) for n, v in recording.headers)
    entry.body = zstandard.compress(recording.body)
    return entry


def make_unknown_entry(intent):
    """Return the entry of a call whose outcome was lost."""
    entry = KeyedEntry()
    entry.CopyFrom(intent)
    entry.ended = entry.unknown = True
    return entry


async def make_recording(entry):
    """Return the `Recording` of a whole answer."""
    recording = Recording(entry.fingerprint)
    headers = Headers((field.name, field.value) for field in entry.headers)
    headers.set(REPLAYED_HEADER, "true")
    await recording.start(entry.status, headers)
    await recording.add(zstandard.decompress(entry.body))
    await recording.end()
    return recording
