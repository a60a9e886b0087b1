"""``mangogauge hosts`` and ``endpoints``: what one host knows of the fleet."""

from .options import SecretFileOption, read_secret
from .output import print_rows
from .ports import AsJSON, HostAddress, ask_host

__all__ = ["endpoints", "hosts"]

STATE = "/state"


def hosts(
    *, operator: HostAddress, secret_file: SecretFileOption = None, json: AsJSON = False
):
    """List the hosts that a host knows, and its own state.

    Parameters
    ----------
    operator
        Address of any host's operator port.
    """
    state = _read_state(operator, secret_file)
    print_rows(state["hosts"], json, title=_describe(state))


def endpoints(
    *, operator: HostAddress, secret_file: SecretFileOption = None, json: AsJSON = False
):
    """List the endpoints as a host sees them.

    Parameters
    ----------
    operator
        Address of any host's operator port.
    """
    state = _read_state(operator, secret_file)
    print_rows(state["endpoints"], json, title=_describe(state))


def _read_state(operator, secret_file):
    return ask_host(operator, "GET", STATE, read_secret(secret_file)).value


def _describe(state):
    ready = "ready" if state["ready"] else "not ready"
    if state["draining"]:
        ready = "draining"
    return (
        f"As host {state['host']} of {state['data_centre']} sees it "
        f"({ready}, configuration {state['configuration_version']})"
    )
