"""Schema of the operators' configuration (design 8.2), which is accepted or rejected as a whole.

A configuration is kept as a dictionary, in the form in which it is sent and stored. Field names are part of the API; those that end
in `_ms` hold milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from hashlib import blake2b
from typing import Any

from ..runtime.outside_input import is_header_value
from .validation import (
    MAX_NAME_LENGTH,
    OMITTED,
    ValidationError,
    boolean,
    integer,
    list_of,
    mapping_of,
    number,
    omittable,
    one_of,
    optional,
    record,
    text,
    validate,
)

Configuration = dict[str, Any]
"""A valid configuration, with defaults filled in."""

Errors = tuple[tuple[str, str], ...]
"""(path, message) of each error found."""

MEBIBYTE = 1024 * 1024
MINUTE_MS = 60 * 1000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
KEY_DIGEST_BYTES = 16

REQUEST_CLASS = record(
    {
        "kind": text(default="model"),
        "stream": boolean(default=False),
        "resumable": boolean(default=False),
        "aim_ms": integer(least=1),  # latency target
        "due_ms": integer(default=30000, least=1, most=10 * MINUTE_MS),
    }
)
"""A class of a tenant's requests."""

SCALING = record(
    {
        "least": integer(least=0, most=10000),
        "most": integer(least=1, most=10000),
        "boot_ms": integer(least=0, most=HOUR_MS),  # from the order of a replica until it serves requests
    },
    default=OMITTED,
)
"""The least and greatest number of replicas to which a service may be scaled in each zone (design 16.5)."""

SERVICE = record(
    {
        "health": text(default="", least=0),
        "conns": integer(default=256, least=1, most=100000),  # connections that one replica accepts from all daemons together
        "cold_ms": integer(default=0, most=HOUR_MS),  # slow start: how long a replica is slow after it has started
        "cold_per_s": number(default=0.0, most=1e6),  # requests per second that it can serve during slow start; 0: unlimited
        "slots": integer(default=0, most=100000),  # concurrent requests per replica; 0: as declared by the replica
        "keeps": integer(default=0),  # capacity of a replica's prefix cache, in tokens of prompts and answers
        "stride": integer(default=1, least=1, most=100000),  # tokens per event of a stream
        "scaling": SCALING,  # left out: its replicas are not scaled
    }
)
"""A service to which routes forward requests (design 15.2)."""

ROUTE = record(
    {
        "name": text(),
        "host": text(most=255),
        "prefix": text(most=2000),
        "kind": one_of("pure", "effectful", "streaming"),
        "due_ms": integer(least=1, most=DAY_MS),
        "aim_ms": number(default=1000.0, least=0.001),  # latency target
        "gap_ms": number(default=0.0),  # longest pause between events of a stream that is still on time; 0: no limit
        "rank": integer(default=0, most=1000),
        "tries": integer(default=1, least=1, most=100),  # largest number of replicas to which one arriving request is sent
        "homes": list_of(text(), default=(), unique=True),  # regions; empty: any
        "by_prefix": boolean(default=False),
        "resumable": boolean(default=False),
        "public": omittable(boolean()),  # whether requests need no caller's key; left out: false
        "shares": list_of(record({"service": text(), "weight": number()}), least=1),
    }
)
"""A route for forwarded requests (design 15.2)."""

CLIENT_LIMITS = record(
    {
        "header_bytes": integer(default=16384, least=256, most=MEBIBYTE),
        "body_bytes": integer(default=4 * MEBIBYTE, most=64 * MEBIBYTE),
        "header_ms": integer(default=5000, least=1),
        "idle_ms": integer(default=30000, least=1),
    }
)
"""Limits on the size of clients' requests, and on the time that clients may take to send them."""

ZONE = record({"region": text(), "least": integer(default=1, least=0, most=10000)})
"""A zone; `least`: the least number of replicas that it must have."""

TENANT = record(
    {
        "homes": list_of(text(), least=1, unique=True),  # zones
        "keys": list_of(text(least=32, most=64), least=1, unique=True),  # digests of the tenant's keys, in hex
        "classes": mapping_of(REQUEST_CLASS, least=1),
    }
)
"""A tenant, whose requests run in its home zones."""

CALLER = record(
    {
        "keys": list_of(text(least=32, most=64), default=(), unique=True),  # digests of the caller's keys, in hex
        "homes": list_of(text(), default=(), unique=True),  # regions; empty: any
        "rank": optional(integer(most=1000)),  # compared before the route's rank; None: as 0
    }
)
"""A caller: a tenant of forwarded requests, identified by its key (design 17)."""

CONFIGURATION = record(
    {
        "number": integer(default=0),  # the operator's own version number; 0: only control's version is used
        "routes": list_of(ROUTE, default=()),
        "services": optional(mapping_of(SERVICE)),
        "limits": optional(CLIENT_LIMITS),
        "zones": mapping_of(ZONE, least=1),
        "tenants": mapping_of(TENANT),
        "callers": omittable(mapping_of(CALLER)),  # left out: routes need no key; empty: every key is unknown
        "body_cap": integer(default=MEBIBYTE, least=1, most=4 * MEBIBYTE),  # largest body of a tenant's request, in bytes
    }
)
"""A whole configuration."""


def key_digest(key: str | bytes, /) -> str:
    """Return the digest of a key in hex. Only digests of keys are stored, never the keys (design 2.1)."""
    return blake2b(key.encode() if isinstance(key, str) else key, digest_size=KEY_DIGEST_BYTES).hexdigest()


def parse_configuration(raw: Any, /) -> tuple[Any, Errors]:
    """Validate a configuration and fill in its defaults.

    :param raw: a configuration as sent by an operator, or one that has already been parsed.
    :returns: a `Configuration` and no errors, or None and all errors as `ValidationError`s.
    """
    configuration, errors = validate(CONFIGURATION, raw)
    if not errors:
        errors = (
            *_route_errors(configuration),
            *_service_errors(configuration),
            *_tenant_errors(configuration),
            *_caller_errors(configuration),
        )
    return (None, errors) if errors else (configuration, ())


def _tenant_errors(configuration: Configuration) -> Iterator[ValidationError]:
    """Yield homes of tenants that are not zones of the configuration, and keys that two tenants share."""
    tenant_by_key: dict[str, str] = {}
    for name, tenant in configuration["tenants"].items():
        for index, zone in enumerate(tenant["homes"]):
            if zone not in configuration["zones"]:
                yield ValidationError(f"tenants.{name}.homes[{index}]", f"unknown zone {zone}")
        for index, key in enumerate(tenant["keys"]):
            if key in tenant_by_key:
                yield ValidationError(f"tenants.{name}.keys[{index}]", f"also a key of {tenant_by_key[key]}")
            tenant_by_key[key] = name


def _caller_errors(configuration: Configuration) -> Iterator[ValidationError]:
    """Yield unusable names of callers, homes that are not regions of the configuration, and keys that two callers share (design 17)."""
    caller_by_key: dict[str, str] = {}
    regions = {zone["region"] for zone in configuration["zones"].values()}
    for name, caller in configuration.get("callers", {}).items():
        if not is_header_value(name, max_length=MAX_NAME_LENGTH):
            yield ValidationError(f"callers.{name}", "must be a valid value of an HTTP header")
        for index, home in enumerate(caller["homes"]):
            if home not in regions:
                yield ValidationError(f"callers.{name}.homes[{index}]", f"unknown region {home}")
        for index, key in enumerate(caller["keys"]):
            if caller_by_key.setdefault(key, name) != name:
                yield ValidationError(f"callers.{name}.keys[{index}]", f"also a key of {caller_by_key[key]}")


def _route_errors(configuration: Configuration) -> Iterator[ValidationError]:
    """Yield conflicts between routes, and references to unknown services and regions (design 15.2)."""
    route_by_match: dict[tuple[str, str], str] = {}
    regions = {zone["region"] for zone in configuration["zones"].values()}
    for index, route in enumerate(configuration["routes"]):
        path = f"routes[{index}]"
        match_key = (route["host"].lower(), route["prefix"])
        if not (route["prefix"].startswith("/") and route["prefix"].endswith("/")):
            yield ValidationError(f"{path}.prefix", "must begin and end with /")
        if match_key in route_by_match:
            yield ValidationError(f"{path}.prefix", f"has the same host and prefix as {route_by_match[match_key]}")
        route_by_match[match_key] = route["name"]
        yield from _share_errors(route["shares"], f"{path}.shares", configuration["services"] or {})
        for home_index, home in enumerate(route["homes"]):
            if home not in regions:
                yield ValidationError(f"{path}.homes[{home_index}]", f"unknown region {home}")


def _service_errors(configuration: Configuration) -> Iterator[ValidationError]:
    """Yield inconsistent limits of scaling (design 16.5)."""
    for name, service in (configuration["services"] or {}).items():
        scaling = service.get("scaling")
        if scaling and scaling["least"] > scaling["most"]:
            yield ValidationError(f"services.{name}.scaling.least", "must not be greater than most")


def _share_errors(shares: tuple[Mapping[str, Any], ...], path: str, services: Mapping[str, Any]) -> Iterator[ValidationError]:
    """Yield errors in the division of a route's requests between services."""
    for index, share in enumerate(shares):
        if share["service"] not in services:
            yield ValidationError(f"{path}[{index}].service", f"unknown service {share['service']}")
    if not sum(share["weight"] for share in shares) > 0:
        yield ValidationError(path, "the weights sum to 0")


def has_services(configuration: Mapping[str, Any], /) -> bool:
    """Return whether a configuration says which services there are, even if it says that there are none.

    One that leaves them out says nothing of forwarded requests, unless it replaces one that did.
    """
    return configuration.get("services") is not None


def homes_of_tenant(configuration: Mapping[str, Any] | None, tenant: str, /) -> tuple[str, ...]:
    """Return the zones where a tenant's requests may run; empty without a configuration, or if the tenant is not in it."""
    if not configuration:
        return ()
    homes: tuple[str, ...] = configuration["tenants"].get(tenant, {"homes": ()})["homes"]
    return homes


def tenant_of_key(configuration: Mapping[str, Any], key: str, /) -> str | None:
    """Return the tenant to which a key belongs, or None."""
    digest = key_digest(key)
    for name, tenant in configuration["tenants"].items():
        if digest in tenant["keys"]:
            return str(name)
    return None
