"""The operators' configuration (design 8.2): what its fields may be, checked and refused as a whole.

A configuration is kept as a dictionary, as it travels and is stored. Field names are part of the API; those that end in `_ms` are
milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from hashlib import blake2b
from typing import Any

from ..runtime.outside_input import is_header_value
from .validation import (
    LEFT_OUT,
    MAX_NAME_LENGTH,
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
"""A configuration that was checked, with defaults filled in."""

Errors = tuple[tuple[str, str], ...]
"""(path, message) of each error."""

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
        "boot_ms": integer(least=0, most=HOUR_MS),  # from an order until the replica that it adds serves
    },
    default=LEFT_OUT,
)
"""Between which numbers of replicas a service may be ordered in each zone (design 16.5)."""

SERVICE = record(
    {
        "health": text(default="", least=0),
        "conns": integer(default=256, least=1, most=100000),  # connections that one replica takes from all daemons
        "cold_ms": integer(default=0, most=HOUR_MS),  # how long a replica that was started is slow
        "cold_per_s": number(default=0.0, most=1e6),  # requests a second that it bears meanwhile; 0: no bound
        "slots": integer(default=0, most=100000),  # requests at once; 0: as each replica declares
        "keeps": integer(default=0),  # tokens of prompts and answers that a replica's prefix cache holds
        "stride": integer(default=1, least=1, most=100000),  # tokens in one event of a stream
        "scaling": SCALING,  # left out: its replicas are not ordered
    }
)
"""A service that routes lead to (design 15.2)."""

ROUTE = record(
    {
        "name": text(),
        "host": text(most=255),
        "prefix": text(most=2000),
        "kind": one_of("pure", "effectful", "streaming"),
        "due_ms": integer(least=1, most=DAY_MS),
        "aim_ms": number(default=1000.0, least=0.001),  # latency target
        "gap_ms": number(default=0.0),  # longest pause between events of a stream that is in time; 0: none set
        "rank": integer(default=0, most=1000),
        "tries": integer(default=1, least=1, most=100),  # replicas that one arrival may be sent to
        "homes": list_of(text(), default=(), unique=True),  # regions; none: any
        "by_prefix": boolean(default=False),
        "resumable": boolean(default=False),
        "public": omittable(boolean()),  # whether it wants no caller's key; left out: false
        "shares": list_of(record({"service": text(), "weight": number()}), least=1),
    }
)
"""A route of forwarded requests (design 15.2)."""

CLIENT_LIMITS = record(
    {
        "header_bytes": integer(default=16384, least=256, most=MEBIBYTE),
        "body_bytes": integer(default=4 * MEBIBYTE, most=64 * MEBIBYTE),
        "header_ms": integer(default=5000, least=1),
        "idle_ms": integer(default=30000, least=1),
    }
)
"""What clients may send, and how slowly."""

ZONE = record({"region": text(), "least": integer(default=1, least=0, most=10000)})
"""A zone; `least`: how many replicas it must have."""

TENANT = record(
    {
        "homes": list_of(text(), least=1, unique=True),  # zones
        "keys": list_of(text(least=32, most=64), least=1, unique=True),  # digests of its keys
        "classes": mapping_of(REQUEST_CLASS, least=1),
    }
)
"""A tenant."""

CALLER = record(
    {
        "keys": list_of(text(least=32, most=64), default=(), unique=True),  # digests of its keys
        "homes": list_of(text(), default=(), unique=True),  # regions; none: any
        "rank": optional(integer(most=1000)),  # goes before the route's; None: as 0
    }
)
"""A caller: a tenant of forwarded requests, known by its key (design 17)."""

CONFIGURATION = record(
    {
        "number": integer(default=0),  # the operator's own version; 0: it uses control's alone
        "routes": list_of(ROUTE, default=()),
        "services": optional(mapping_of(SERVICE)),
        "limits": optional(CLIENT_LIMITS),
        "zones": mapping_of(ZONE, least=1),
        "tenants": mapping_of(TENANT),
        "callers": omittable(mapping_of(CALLER)),  # left out: routes want no key; empty: every key is unknown
        "body_cap": integer(default=MEBIBYTE, least=1, most=4 * MEBIBYTE),  # bytes of a tenant's request
    }
)
"""The whole configuration."""


def key_digest(key: str | bytes, /) -> str:
    """Digest a key: only its digest is kept, never the key (design 2.1)."""
    return blake2b(key.encode() if isinstance(key, str) else key, digest_size=KEY_DIGEST_BYTES).hexdigest()


def parse_configuration(raw: Any, /) -> tuple[Any, Errors]:
    """Check a configuration and fill in its defaults.

    :param raw: the configuration as an operator sent it, or one that was parsed already.
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
    """Errors between tenants and zones, and keys that two tenants share."""
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
    """Errors between callers and regions, and keys that two callers share (design 17)."""
    caller_by_key: dict[str, str] = {}
    regions = {zone["region"] for zone in configuration["zones"].values()}
    for name, caller in configuration.get("callers", {}).items():
        if not is_header_value(name, max_length=MAX_NAME_LENGTH):
            yield ValidationError(f"callers.{name}", "wants a name that a header can carry")
        for index, home in enumerate(caller["homes"]):
            if home not in regions:
                yield ValidationError(f"callers.{name}.homes[{index}]", f"unknown region {home}")
        for index, key in enumerate(caller["keys"]):
            if caller_by_key.setdefault(key, name) != name:
                yield ValidationError(f"callers.{name}.keys[{index}]", f"also a key of {caller_by_key[key]}")


def _route_errors(configuration: Configuration) -> Iterator[ValidationError]:
    """Errors between routes, services and regions (design 15.2)."""
    route_by_place: dict[tuple[str, str], str] = {}
    regions = {zone["region"] for zone in configuration["zones"].values()}
    for index, route in enumerate(configuration["routes"]):
        path = f"routes[{index}]"
        place = (route["host"].lower(), route["prefix"])
        if not (route["prefix"].startswith("/") and route["prefix"].endswith("/")):
            yield ValidationError(f"{path}.prefix", "wants to begin and end with /")
        if place in route_by_place:
            yield ValidationError(f"{path}.prefix", f"stands at the same place as {route_by_place[place]}")
        route_by_place[place] = route["name"]
        yield from _share_errors(route["shares"], f"{path}.shares", configuration["services"] or {})
        for home_index, home in enumerate(route["homes"]):
            if home not in regions:
                yield ValidationError(f"{path}.homes[{home_index}]", f"unknown region {home}")


def _service_errors(configuration: Configuration) -> Iterator[ValidationError]:
    """Errors within services (design 16.5)."""
    for name, service in (configuration["services"] or {}).items():
        scaling = service.get("scaling")
        if scaling and scaling["least"] > scaling["most"]:
            yield ValidationError(f"services.{name}.scaling.least", "is above most")


def _share_errors(shares: tuple[Mapping[str, Any], ...], path: str, services: Mapping[str, Any]) -> Iterator[ValidationError]:
    """Errors in how a route is divided between services."""
    for index, share in enumerate(shares):
        if share["service"] not in services:
            yield ValidationError(f"{path}[{index}].service", f"unknown service {share['service']}")
    if not sum(share["weight"] for share in shares) > 0:
        yield ValidationError(path, "the weights sum to 0")


def homes_of_tenant(configuration: Mapping[str, Any] | None, tenant: str, /) -> tuple[str, ...]:
    """The zones where a tenant's requests may run; none without a configuration, or when the tenant was taken out of it."""
    if not configuration:
        return ()
    homes: tuple[str, ...] = configuration["tenants"].get(tenant, {"homes": ()})["homes"]
    return homes


def tenant_of_key(configuration: Mapping[str, Any], key: str, /) -> str | None:
    """The tenant that a key belongs to, or None."""
    digest = key_digest(key)
    for name, tenant in configuration["tenants"].items():
        if digest in tenant["keys"]:
            return str(name)
    return None
