"""``mangogauge key``: grant, list and withdraw callers' keys."""

import curio
import orjson
from cyclopts import App
from returns.result import Failure, Success

from ..distribution import Roster
from ..http import Headers, HTTPError, open_response
from ..keys import KeyStore
from .options import PlatformOption, SecretFileOption, read_secret
from .output import print_json
from .platform import run_with_records
from .waiting import wait_for_hosts

__all__ = ["app"]

REPLICA = "keys"
DEFAULT_WAIT_SECONDS = 15.0
ASK_TIMEOUT = 2.0

app = App(name="key", help="Grant, list and withdraw callers' keys.")


@app.command
def grant(
    account: str,
    *,
    platform: PlatformOption,
    label: str = "",
    wait: bool = False,
    seconds: float = DEFAULT_WAIT_SECONDS,
    secret_file: SecretFileOption = None,
):
    """Grant a key to a client account and print it, this once.

    Parameters
    ----------
    account
        Name of the client account.
    label
        What the key is for.
    wait
        Wait until every host knows it.
    seconds
        How long to wait.
    """
    write = run_with_records(platform, _grant, account, label)
    answer = {"key": write.key, "key_id": write.record.key_id, "account": account}
    _finish(write, answer, platform, wait, seconds, secret_file)


@app.command
def withdraw(
    key_id: str,
    *,
    platform: PlatformOption,
    wait: bool = True,
    seconds: float = DEFAULT_WAIT_SECONDS,
    secret_file: SecretFileOption = None,
):
    """Withdraw a key and say where it has stopped working.

    Exits with 0 if it is withdrawn everywhere (with --no-wait: recorded), 5
    if not recorded, 6 if that is not known, 7 if some hosts have not
    confirmed it: they stop trusting the key within the settings'
    trust_seconds at the latest.

    Parameters
    ----------
    key_id
        As `key list` shows it.
    wait
        Wait until every host has stopped taking it.
    seconds
        How long to wait.
    """
    write = run_with_records(platform, _withdraw, key_id)
    answer = {"key_id": write.record.key_id, "withdrawn": True}
    _finish(write, answer, platform, wait, seconds, secret_file)


@app.command(name="list")
def list_keys(*, platform: PlatformOption, secret_file: SecretFileOption = None):
    """List all keys, one line of JSON each; the last use needs the secret."""
    records, uses = run_with_records(platform, _list, read_secret(secret_file))
    for record in records:
        print_json(
            {
                "key_id": record.key_id,
                "account": record.account,
                "label": record.label,
                "granted_at": record.granted_at,
                "withdrawn_at": record.withdrawn_at,
                "last_used": uses.get(record.key_id, 0.0),
            }
        )


def _finish(write, answer, platform, wait, seconds, secret_file):
    if not wait:
        print_json({**answer, "revision": write.revision})
        return
    secret = read_secret(secret_file)
    wait_for_hosts(platform, secret, REPLICA, write.revision, seconds, answer)


async def _grant(records, clock, account, label):
    return await KeyStore(records, clock).grant(account, label)


async def _withdraw(records, clock, key_id):
    return await KeyStore(records, clock).withdraw(key_id)


async def _list(records, clock, secret):
    found = await KeyStore(records, clock).list_all()
    if isinstance(found, Failure):
        return found
    entries = (await Roster(records).list_all()).value_or([]) if secret else []
    uses = {}
    async with curio.TaskGroup() as group:
        for entry in entries:
            await group.spawn(_add_uses, entry, secret, uses)
    return Success((found.unwrap(), uses))


async def _add_uses(entry, secret, uses):
    headers = Headers([("Authorization", f"Bearer {secret}")])
    try:
        async with curio.timeout_after(ASK_TIMEOUT):
            response = await open_response(
                entry.operator_address, "GET", "/keys/uses", headers
            )
            seen = orjson.loads(await response.read())
    except (HTTPError, curio.TaskTimeout, ValueError):
        return
    for key_id, used_at in seen.items():
        uses[key_id] = max(uses.get(key_id, 0.0), used_at)
