"""``mangogauge key``: grant, list and withdraw callers' keys."""

from cyclopts import App

from ..keys import KeyStore
from .output import print_json
from .platform import run_with_records

__all__ = ["app"]

app = App(name="key", help="Grant, list and withdraw callers' keys.")


@app.command
def grant(account: str, *, platform: str, label: str = ""):
    """Grant a key to a client account and print it once.

    Parameters
    ----------
    account
        Name of the client account.
    platform
        Address of the platform's store.
    label
        What the key is for.
    """
    key, record = run_with_records(platform, _grant, account, label)
    print_json({"key": key, "key_id": record.key_id, "account": account})


@app.command(name="list")
def list_keys(*, platform: str):
    """List all keys.

    Parameters
    ----------
    platform
        Address of the platform's store.
    """
    for record in run_with_records(platform, _list):
        print_json(
            {
                "key_id": record.key_id,
                "account": record.account,
                "label": record.label,
                "withdrawn": bool(record.withdrawn_at),
            }
        )


@app.command
def withdraw(key_id: str, *, platform: str):
    """Withdraw a key.

    Parameters
    ----------
    key_id
        As `key list` shows it.
    platform
        Address of the platform's store.
    """
    record = run_with_records(platform, _withdraw, key_id)
    print_json({"key_id": record.key_id, "withdrawn": True})


async def _grant(records, clock, account, label):
    return await KeyStore(records, clock).grant(account, label)


async def _list(records, clock):
    return await KeyStore(records, clock).list_all()


async def _withdraw(records, clock, key_id):
    return await KeyStore(records, clock).withdraw(key_id)
