"""Configuration, orders and endpoints, as the platform's store keeps them."""

import orjson
from attrs import evolve

from ..addresses import parse_address
from ..fleet import (
    Account,
    Configuration,
    FleetEndpoint,
    FleetSource,
    OperatorEntry,
    PrefixRoute,
    RequestSemantics,
    RetirementRequest,
    Service,
    ServiceShare,
)
from ..store import Operation
from ..telemetry import get_logger
from .cold import read_cold_milliseconds, read_cold_number

__all__ = ["PlatformSource"]

CONFIGURATION_KEY = "op/config"
RETIREMENT_PREFIX = "op/retire/"
RETIREMENT_REPORT_PREFIX = "status/retire/"
EVACUATION_PREFIX = "op/evacuate/"
# More than any endpoint has; an entry with more is a mistake.
MAX_SLOTS = 65_536
MAX_START_TIME_MS = 2**53
LEAVING_STATES = {"ready": False, "draining": True}
SEMANTICS_BY_KIND = {
    "safe": RequestSemantics.REPEATABLE,
    "unsafe": RequestSemantics.ONCE,
    "stream": RequestSemantics.STREAM,
    "batch": RequestSemantics.BATCH,
}

log = get_logger("platform")


class PlatformSource(FleetSource):
    """Reads items of the operators' and of the endpoints' prefixes."""

    operator_prefix = "op/"
    endpoints_prefix = "servers/"

    def __init__(self):
        # Revisions of the entries whose cold state has been ignored, by endpoint.
        self._invalid = {}

    def read_operator_entry(self, item):
        """Return the `OperatorEntry` of an item."""
        try:
            if item.key == CONFIGURATION_KEY:
                value = orjson.loads(item.value)
                return OperatorEntry(configuration=_read_configuration(value))
            if item.key.startswith(RETIREMENT_PREFIX):
                host = item.key.removeprefix(RETIREMENT_PREFIX)
                seconds = float(orjson.loads(item.value)["duration_s"])
                return OperatorEntry(retirement=RetirementRequest(host, seconds))
            if item.key.startswith(EVACUATION_PREFIX):
                return OperatorEntry(evacuation=_read_evacuation(item.key))
        except (LookupError, TypeError, AttributeError) as error:
            raise ValueError(f"a field is missing or of another type: {error!r}") from (
                error
            )
        return OperatorEntry()

    def read_endpoint(self, item):
        """Return the `FleetEndpoint` of an item, or None."""
        name = self.parse_endpoint_name(item.key)
        try:
            endpoint = _read_endpoint(name, orjson.loads(item.value))
            return self._add_cold(endpoint, item)
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            log.warning(
                "endpoint's entry can't be used",
                extra={"endpoint": name, "reason": repr(error)},
            )
            return None

    def _add_cold(self, endpoint, item):
        """Return an endpoint with what its entry says of its cold state."""
        value = orjson.loads(item.value).get("cold_left_ms")
        if value is None:
            return endpoint
        try:
            seconds = read_cold_milliseconds(value)
        except ValueError as error:
            # Entries are read about once a second.
            if self._invalid.get(endpoint.name) != item.mod_revision:
                self._invalid[endpoint.name] = item.mod_revision
                _log_ignored("cold_left_ms", error, endpoint=endpoint.name)
            return endpoint
        revision = item.mod_revision if seconds else 0
        return evolve(endpoint, cold_left=seconds, cold_revision=revision)

    def parse_endpoint_name(self, key):
        """Return the name of the endpoint that has a key."""
        return key.removeprefix(self.endpoints_prefix)

    def make_retirement_report(self, host, done):
        """Return the `Operation` that tells how far a host is emptied."""
        state = "done" if done else "running"
        key = RETIREMENT_REPORT_PREFIX + host
        return Operation(key, orjson.dumps({"state": state}))


def _read_configuration(value):
    limits = value["limits"]
    return Configuration(
        version=value["version"],
        routes=[_read_route(route) for route in value["routes"]],
        accounts=[_read_account(account) for account in value.get("tenants", ())],
        header_bytes=limits["max_header_bytes"],
        body_bytes=limits["max_body_bytes"],
        header_timeout=limits["header_timeout_ms"] / 1000,
        idle_timeout=limits["idle_timeout_ms"] / 1000,
        services=_read_services(value.get("services")),
    )


def _read_services(values):
    """Return the valid `Service` records; others are logged and left out."""
    if not isinstance(values, list):
        return []
    services = []
    for value in values:
        if not isinstance(value, dict) or type(value.get("name")) is not str:
            _log_ignored("services", f"{value!r:.200} has no name")
            continue
        name = value["name"]
        cold_seconds = _read_cold_field(value, "cold_s", name)
        cold_rate = _read_cold_field(value, "cold_per_s", name)
        services.append(Service(name, cold_seconds, cold_rate))
    return services


def _read_cold_field(value, field_name, service):
    """Return a number of a service; 0 if it is missing or invalid."""
    if value.get(field_name) is None:
        return 0.0
    try:
        return read_cold_number(value[field_name])
    except ValueError as error:
        _log_ignored(field_name, error, service=service)
        return 0.0


def _log_ignored(field_name, reason, **details):
    log.warning(
        "value ignored",
        extra={"field": field_name, "reason": str(reason), **details},
    )


def _read_route(value):
    return PrefixRoute(
        name=value["name"],
        host=value["host"].lower(),
        prefix=value["prefix"],
        semantics=SEMANTICS_BY_KIND[value["kind"]],
        shares=_read_shares(value),
        timeout=value["timeout_ms"] / 1000,
        objective=value["slo_ms"] / 1000,
        gap_objective=value.get("gap_aim_ms", value["slo_ms"]) / 1000,
        attempt_limit=value["max_attempts"],
        priority=value["priority"],
        open=value.get("public", False),
        resumable=value.get("can_resume", False),
        due_after=value.get("due_ms", value["timeout_ms"]) / 1000,
        abandon_after=float(value.get("max_wait_s", value["timeout_ms"] / 1000)),
        # Counts tokens that wait, in spite of its name.
        waiting_token_limit=value.get("max_count", 0),
        allowed_regions=_read_regions(value),
    )


def _read_shares(value):
    if "service" in value:
        return [ServiceShare(value["service"])]
    return [ServiceShare(s["service"], s["weight"]) for s in value["backends"]]


def _read_account(value):
    return Account(
        name=value["name"],
        keys=value["api_keys"],
        rate=value.get("rate_per_s", 0),
        burst=value.get("burst", 0),
        priority=value.get("priority"),
        allowed_regions=_read_regions(value),
    )


def _read_regions(value):
    """Return the regions of a route or an account; None for any."""
    regions = value.get("allowed_regions")
    if regions is None:
        return None
    if type(regions) is not list:
        raise ValueError("allowed_regions must be a list")
    return frozenset(_read_text(r, "allowed_regions") for r in regions) or None


def _read_evacuation(key):
    """Return the data centre that an entry evacuates.

    Notes
    -----
    The value of the entry isn't read: an evacuation must not be missed for a mistake
    in it.
    """
    data_centre = key.removeprefix(EVACUATION_PREFIX)
    if not data_centre:
        raise ValueError("the entry names no data centre")
    return data_centre


def _read_endpoint(name, value):
    parse_address(value["address"])
    return FleetEndpoint(
        name=name,
        service=_read_text(value["service"], "service"),
        address=value["address"],
        data_centre=_read_text(value.get("zone", ""), "zone"),
        slots=_read_number(value["slots"], "slots", 1, MAX_SLOTS),
        leaving=LEAVING_STATES[value["state"]],
        start_time_ms=_read_number(value.get("born", 0), "born", 0, MAX_START_TIME_MS),
        software=_read_text(value.get("version", ""), "version"),
    )


def _read_text(value, name):
    if type(value) is not str:
        raise ValueError(f"{name} must be a text")
    return value


def _read_number(value, name, least, most):
    if type(value) is not int or not least <= value <= most:
        raise ValueError(f"{name} must be a whole number from {least} to {most}")
    return value
