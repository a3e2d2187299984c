"""API calls by replicas, the platform and operators (design 2.2, 2.3): access control, and the mapping of calls to operations."""

from __future__ import annotations

import hmac
import secrets
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

from ..runtime import result_codes
from ..runtime.effects import milliseconds
from ..runtime.errors import (
    InvalidCallError,
    MissingKeyError,
    MissingVersionError,
    NotFoundError,
    UnknownKeyError,
    WrongRoleError,
    http_status,
)
from ..runtime.outside_input import is_sent_integer, is_whole_number, parse_json
from ..runtime.result_codes import RESULT_CODES
from ..runtime.settings import API_ROLES
from .asgi import HeaderTable, Receive, Send, bearer_key, read_body, send_json, send_response
from .operator_changes import call_unless_caller_leaves, checked_size

if TYPE_CHECKING:
    from ..server.daemon import Daemon

MAX_VERSION_DIGITS = 18
"""Of numbers in a header, so that they fit into the messages between daemons."""

MAX_WAIT_DIGITS = 9
MAX_CHANGE_ID_LENGTH = 100
MAX_PATH_IN_ERROR = 100
GENERATED_CHANGE_ID_BYTES = 8

CHANGING_OPERATIONS = frozenset(("config-put", "evac", "reopen"))
"""Operations that are cancelled when their caller disconnects (operator_changes.py)."""

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4"


class ApiRequest(NamedTuple):
    """One call of the API."""

    method: str
    path: str
    headers: HeaderTable
    receive: Receive
    send: Send

    @property
    def segments(self) -> list[str]:
        """The non-empty segments of the path."""
        return [segment for segment in self.path.split("/") if segment]

    async def json(self) -> Any:
        """Return the parsed body.

        :raises InvalidInputError: it is not JSON, or has values that are not accepted.
        """
        return parse_json(await read_body(self.receive, self.headers))

    def wait(self) -> tuple[timedelta, ...]:
        """Return how long the caller waits for a response (design 5.4), as a tuple of one time, or empty if it does not state one.

        :raises InvalidCallError: the header is invalid.
        """
        value = self.headers.get("silverglade-wait", "")
        if value and not is_whole_number(value, max_digits=MAX_WAIT_DIGITS):
            raise InvalidCallError("Silverglade-Wait must be a whole number of milliseconds")
        return (milliseconds(int(value)),) if value else ()

    def base_version(self) -> tuple[int, int]:
        """Return the version that a change replaces, as (epoch, number).

        :raises MissingVersionError: the header is missing.
        :raises InvalidCallError: the header is invalid.
        """
        value = self.headers.get("if-match", "").strip().strip('"')
        if not value:
            raise MissingVersionError()
        epoch, _, number = value.partition(".")
        if not all(is_whole_number(part, max_digits=MAX_VERSION_DIGITS) for part in (epoch, number)):
            raise InvalidCallError("If-Match must have the form EPOCH.NUMBER")
        return int(epoch), int(number)

    def change_id(self) -> str:
        """Return the id of the change: the one that the caller gave, or a random one.

        :raises InvalidCallError: it is too long.
        """
        change_id = self.headers.get("silverglade-change", "") or secrets.token_hex(GENERATED_CHANGE_ID_BYTES)
        if len(change_id) > MAX_CHANGE_ID_LENGTH:
            raise InvalidCallError("the change id is too long")
        return change_id


class Operation(NamedTuple):
    """An operation of the daemon's state machine, and its arguments."""

    name: str
    arguments: tuple[Any, ...] = ()


def listed_replicas(raw: Any) -> tuple[tuple[str, int | None, bool], ...]:
    """Return the platform's list of replicas as tuples (id, incarnation or None, leaving).

    :raises InvalidCallError: the document does not have the required form.
    """
    rows = raw.get("replicas") if isinstance(raw, dict) else None
    if not isinstance(rows, list):
        raise InvalidCallError('must be {"replicas": [...]}')
    replicas = []
    for position, row in enumerate(rows):
        if not (
            isinstance(row, dict)
            and isinstance(row.get("id"), str)
            and is_sent_integer(row.get("incarnation", 0))
            and type(row.get("leaving", False)) is bool
        ):
            raise InvalidCallError(f"replicas[{position}]")
        replicas.append((row["id"], row.get("incarnation"), row.get("leaving", False)))
    return tuple(replicas)


def allowed_roles(method: str, segments: list[str]) -> tuple[str, ...]:
    """Return the roles that may make a call (design 8.7)."""
    match segments[:2]:
        case ["v1", "replicas"] if method in ("PUT", "DELETE"):
            return ("replica",)
        case ["v1", "platform"]:
            return ("platform",)
        case ["v1", "regions"]:
            return ("platform", "operator")
    return ("operator",)


def check_access(settings: Mapping[str, Any], method: str, segments: list[str], key: str) -> None:
    """Check that the caller's key belongs to a role that may make the call. If such a role has no key in the settings, the call is open.

    :raises MissingKeyError: the call has no key.
    :raises WrongRoleError: the key belongs to another role.
    :raises UnknownKeyError: the key belongs to no role.
    """
    roles = allowed_roles(method, segments)
    expected_keys = [settings[f"{role}_key"] for role in roles]
    if segments == ["healthz"] or not all(expected_keys) or any(_same_key(key, expected) for expected in expected_keys):
        return
    message = "this call wants the key of " + " or ".join(roles)
    if not key:
        raise MissingKeyError(message)
    is_other_roles = any(settings[f"{role}_key"] and _same_key(key, settings[f"{role}_key"]) for role in API_ROLES)
    raise (WrongRoleError if is_other_roles else UnknownKeyError)(message)


def _same_key(key: str, expected: str) -> bool:
    return hmac.compare_digest(key.encode(), expected.encode())


async def handle(daemon: Daemon, request: ApiRequest) -> None:
    """Handle one call.

    :raises SilvergladeError: the call is rejected before it reaches a component.
    """
    segments = request.segments
    check_access(daemon.settings, request.method, segments, bearer_key(request.headers))
    direct_handler = DIRECT_HANDLERS.get((request.method, tuple(segments)))
    if direct_handler:
        await direct_handler(daemon, request)
        return
    operation = _read_operation(request, segments) or await _write_operation(request, segments)
    if operation.name in CHANGING_OPERATIONS:
        result = await call_unless_caller_leaves(daemon, request.receive, operation.name, operation.arguments)
    else:
        result = await daemon.call(operation.name, operation.arguments)
    if result is not None:
        await _send_result(request, segments, *result)


def _read_operation(request: ApiRequest, segments: list[str]) -> Operation | None:
    """Return the operation of a read-only call, or None for any other call."""
    match request.method, segments:
        case "GET", ["v1", "config"]:
            return Operation("config-get")
        case "GET", ["v1", ("status" | "fleet" | "replicas") as name]:
            return Operation(name)
        case "GET", ["v1", "regions", region, "orders"]:
            return Operation("orders", (region,))
        case "GET", ["v1", "trace", key]:
            return Operation("trace", (key,))
    return None


async def _write_operation(request: ApiRequest, segments: list[str]) -> Operation:
    """Return the operation of a call that changes state.

    :raises NotFoundError: there is no such call.
    """
    match request.method, segments:
        case "PUT", ["v1", "config"]:
            version, change_id = request.base_version(), request.change_id()
            return Operation("config-put", checked_size((version, change_id, await request.json())))
        case ("PUT" | "DELETE") as method, ["v1", "zones", zone, "evacuation"]:
            return Operation("evac", (zone, method == "PUT", request.change_id(), *request.wait()))
        case "PUT", ["v1", "shards", tenant, "reopen"]:
            return Operation("reopen", (tenant, request.change_id(), *request.wait()))
        case "PUT", ["v1", "replicas", replica]:
            return Operation("replica-put", (replica, await request.json()))
        case "DELETE", ["v1", "replicas", replica]:
            return Operation("replica-leave", (replica,))
        case "PUT", ["v1", "platform", "replicas"]:
            return Operation("platform", (listed_replicas(await request.json()),))
    raise NotFoundError(request.path[:MAX_PATH_IN_ERROR])


async def _send_result(request: ApiRequest, segments: list[str], code: int, fields: Mapping[str, Any]) -> None:
    """Send the result of an operation."""
    if code == result_codes.OK:
        headers: tuple[tuple[bytes, bytes], ...] = ()
        if "version" in fields and segments[1] == "config":
            epoch, number = fields["version"]
            headers = ((b"etag", f'"{epoch}.{number}"'.encode()),)
        await send_json(request.send, 200, fields, headers)
        return
    ran = "maybe" if code == result_codes.UNKNOWN_OUTCOME else "no"
    await send_json(request.send, http_status(code), {"code": code, "name": RESULT_CODES[code].name, "ran": ran, **fields})


async def _send_health(daemon: Daemon, request: ApiRequest) -> None:
    """Send the daemon's name, which shows that it is running."""
    await send_json(request.send, 200, {"daemon": daemon.settings["name"]})


async def _send_metrics(daemon: Daemon, request: ApiRequest) -> None:
    """Send the metrics. The metrics library is loaded by the first such call."""
    from .metrics import exposition

    await send_response(request.send, 200, METRICS_CONTENT_TYPE, await exposition(daemon))


DIRECT_HANDLERS: dict[tuple[str, tuple[str, ...]], Callable[[Daemon, ApiRequest], Awaitable[None]]] = {
    ("GET", ("healthz",)): _send_health,
    ("GET", ("metrics",)): _send_metrics,
}
"""Calls that are handled without an operation of the daemon's state machine."""
