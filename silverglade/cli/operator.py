"""The operator's commands, which show and change the state of the whole fleet (design 11.1)."""

from __future__ import annotations

import argparse
import difflib
import json
import secrets
import time
from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Any

from ..configuration.schema import parse_configuration
from ..runtime import result_codes
from ..runtime.errors import InvalidCallError, InvalidConfigurationError, SilvergladeError
from .client import Response, query_all_daemons, require_success, send_request

Arguments = argparse.Namespace
Subparsers = Any
"""The return type of `ArgumentParser.add_subparsers`."""

CHANGE_WAIT_MS = 7000
"""How long a daemon is asked to wait for the outcome of a change; less than the client's read timeout."""

CHANGE_ATTEMPTS = 3
POLL_INTERVAL_S = 0.1
DEFAULT_WAIT_S = 10.0
CHANGE_ID_BYTES = 8
SHARD_ROLE_PREFIX = "shard/"


class ExitCode(IntEnum):
    """Exit codes of the operator's commands."""

    SUCCESS = 0
    PARTIAL = 1
    ERROR = 2
    DAEMON_UNREACHABLE = 3
    OUTCOME_UNKNOWN = 4


def format_table(rows: Sequence[Sequence[object]]) -> str:
    """Format rows of values as text in aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts)]
    return "\n".join("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip() for row in texts)


def print_result(arguments: Arguments, data: object, text: str) -> None:
    """Print a result, as JSON or as text."""
    print(json.dumps(data, indent=1, sort_keys=True) if arguments.json else text)


def format_version(version: Sequence[int] | None) -> str:
    """Format a version as EPOCH.NUMBER; "-" if there is none."""
    return ".".join(map(str, version)) if version else "-"


def _get(arguments: Arguments, path: str) -> Any:
    """Return the data of a GET request."""
    return require_success(send_request(arguments.at, "GET", path, key=arguments.key))


def fleet(arguments: Arguments) -> ExitCode:
    """Show the state of every daemon: program version, view, store version and age of its proof; unreachable daemons are listed too."""
    members, responses = query_all_daemons(arguments.at, "/v1/status", key=arguments.key)
    rows: list[Sequence[object]] = [("DAEMON", "ZONE", "STATE", "VERSION", "VIEW", "PRIMARY", "NEWS", "AGE", "CONFIG", "EMPTIED")]
    rows += [_fleet_row(name, daemon, responses[name]) for name, daemon in sorted(members.items())]
    unreachable = sorted(name for name, status in responses.items() if status is None)
    print_result(arguments, dict(fleet=members, status=responses, silent=unreachable), format_table(rows))
    return ExitCode.PARTIAL if unreachable else ExitCode.SUCCESS


def _fleet_row(name: str, daemon: dict[str, Any], status: dict[str, Any] | None) -> Sequence[object]:
    if status is None:
        return (name, daemon["zone"], daemon["state"], daemon["version"], "silent", "-", "-", "-", "-", "-")
    return (
        name,
        daemon["zone"],
        status["state"],
        status["version"],
        status["view"][0],
        status["view"][1],
        format_version(status["news"]),
        f"{status['age_ms']}ms" if status["age_ms"] is not None else "none",
        format_version(status["config"]),
        ",".join(status["evacuated"]) or "-",
    )


def load_json(path: str) -> Any:
    """Return the content of a JSON file.

    :raises InvalidConfigurationError: the file cannot be read or is not valid JSON.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        raise InvalidConfigurationError(f"{path}: {error}") from error


def check_configuration(arguments: Arguments) -> ExitCode:
    """Validate a configuration file and print its errors."""
    _, errors = parse_configuration(load_json(arguments.file))
    for path, message in errors:
        print(f"{path}: {message}")
    print("sound" if not errors else f"{len(errors)} faults")
    return ExitCode.ERROR if errors else ExitCode.SUCCESS


def config(arguments: Arguments) -> ExitCode:
    """Show the configuration in force, validate a file, compare it with the one in force, or replace that by it."""
    if arguments.what == "check":
        return check_configuration(arguments)
    current = _get(arguments, "/v1/config")
    version = format_version(current["version"])
    if arguments.what == "get":
        print_result(arguments, current, f"# version {version}\n{json.dumps(current['config'], indent=1, sort_keys=True)}")
        return ExitCode.SUCCESS
    raw = load_json(arguments.file)
    parsed, errors = parse_configuration(raw)
    if errors:
        raise InvalidConfigurationError("; ".join(f"{path}: {message}" for path, message in errors))
    if arguments.what == "diff":
        return _print_difference(current["config"], parsed, f"in force {version}", arguments.file)
    return submit_change(arguments, "PUT", "/v1/config", raw, [("If-Match", arguments.version or version)])


def _print_difference(old: object, new: object, old_name: str, new_name: str) -> ExitCode:
    old_lines, new_lines = (json.dumps(each, indent=1, sort_keys=True).splitlines() for each in (old, new))
    lines = list(difflib.unified_diff(old_lines, new_lines, old_name, new_name, lineterm=""))
    print("\n".join(lines) if lines else "no difference")
    return ExitCode.PARTIAL if lines else ExitCode.SUCCESS


def submit_change(arguments: Arguments, method: str, path: str, body: object = None, headers: Sequence[tuple[str, str]] = ()) -> ExitCode:
    """Send a change with an idempotency key, and retry it with the same key while its outcome is unknown."""
    change_id = arguments.change or secrets.token_hex(CHANGE_ID_BYTES)
    all_headers = [*headers, ("Silverglade-Change", change_id), ("Silverglade-Wait", str(CHANGE_WAIT_MS))]
    for _ in range(CHANGE_ATTEMPTS):
        response = send_request(arguments.at, method, path, body, key=arguments.key, headers=all_headers)
        if not _is_unknown(response):
            break
    else:
        print(f"outcome unknown; retry with --change {change_id}")
        return ExitCode.OUTCOME_UNKNOWN
    version = require_success(response)["version"]
    print(f"acknowledged as {format_version(version)} (change {change_id})")
    return wait_until_in_force(arguments, version) if arguments.wait else ExitCode.SUCCESS


def _is_unknown(response: Response) -> bool:
    return bool(response.data.get("code") == result_codes.UNKNOWN_OUTCOME)


def wait_until_in_force(arguments: Arguments, version: Sequence[int]) -> ExitCode:
    """Wait until every live daemon holds this version; print after how long, or the daemons that do not hold it when the time is over."""
    started_at, outdated = time.monotonic(), list[str]()
    while time.monotonic() - started_at < arguments.wait:
        _, responses = query_all_daemons(arguments.at, "/v1/status", key=arguments.key)
        outdated = sorted(name for name, status in responses.items() if status is None or status["news"] < version)
        if not outdated:
            print(f"in force at {len(responses)} daemons after {time.monotonic() - started_at:.2f} s")
            return ExitCode.SUCCESS
        time.sleep(POLL_INTERVAL_S)
    print(f"not yet in force at: {', '.join(outdated)}")
    return ExitCode.PARTIAL


def zone(arguments: Arguments) -> ExitCode:
    """Evacuate a zone, or return it to service."""
    return submit_change(arguments, "PUT" if arguments.what == "empty" else "DELETE", f"/v1/zones/{arguments.zone}/evacuation")


def replicas(arguments: Arguments) -> ExitCode:
    """Show the replicas that serve tenants' requests, with their declared and measured values."""
    reports = _get(arguments, "/v1/replicas")["replicas"]
    fields = ("zone", "kind", "state", "used", "cap", "slots", "use", "leaving")
    rows: list[Sequence[object]] = [("REPLICA", *[field.upper() for field in fields], "AGE", "HOMES", "PREFIXES")]
    for name, row in sorted(reports.items()):
        values = [row[field] for field in fields]
        rows.append((name, *values, f"{row['age_ms']}ms", ",".join(row["homes"]), ",".join(row["prefixes"])))
    print_result(arguments, reports, format_table(rows))
    return ExitCode.SUCCESS


def shards(arguments: Arguments) -> ExitCode:
    """Show the tenants' shards, or reopen a shard whose idempotency claims are lost."""
    if arguments.what == "reopen":
        if not arguments.tenant or not arguments.yes:
            raise InvalidCallError("reopen needs a tenant and --yes: requests that ran before may run again under their old keys")
        return submit_change(arguments, "PUT", f"/v1/shards/{arguments.tenant}/reopen")
    roles = _get(arguments, "/v1/fleet")["duties"]
    _, responses = query_all_daemons(arguments.at, "/v1/status", key=arguments.key)
    reports: dict[str, tuple[str, dict[str, Any]]] = {}
    for daemon, status in responses.items():
        if status:
            reports.update({tenant: (daemon, shard) for tenant, shard in status.get("shards", {}).items()})
    rows: list[Sequence[object]] = [("SHARD", "EPOCH", "OWNER", "FOLLOWER", "OPEN", "CLAIMS", "WAITING")]
    for role, (epoch, owner, follower) in sorted(roles.items()):
        if role.startswith(SHARD_ROLE_PREFIX):
            tenant = role.removeprefix(SHARD_ROLE_PREFIX)
            daemon, shard = reports.get(tenant, ("", {}))
            is_open = shard.get("open", "?") if daemon == owner else "?"
            rows.append((tenant, epoch, owner, follower or "-", is_open, shard.get("claims", "?"), shard.get("waiting", "?")))
    data = dict(duties=roles, held={tenant: shard for tenant, (_, shard) in reports.items()})
    print_result(arguments, data, format_table(rows))
    return ExitCode.PARTIAL if any(status is None for status in responses.values()) else ExitCode.SUCCESS


def scaler(arguments: Arguments) -> ExitCode:
    """Show the numbers of replicas required and ready, by region and kind."""
    configuration = _get(arguments, "/v1/config")["config"] or {"zones": {}}
    regions = sorted({each["region"] for each in configuration["zones"].values()})
    orders = {region: _get(arguments, f"/v1/regions/{region}/orders") for region in regions}
    rows: list[Sequence[object]] = [("REGION", "KIND", "WANTED", "READY", "STARTING", "LEAST", "DAEMONS", "ARRIVALS")]
    for region, order in orders.items():
        for kind, counts in sorted(order["kinds"].items()):
            arrivals = max((part[2] for part in counts["parts"].values()), default=0)
            rows.append(
                (region, kind, counts["wanted"], counts["ready"], counts["starting"], order["least"], len(counts["parts"]), arrivals)
            )
    print_result(arguments, orders, format_table(rows))
    return ExitCode.SUCCESS


def trace(arguments: Arguments) -> ExitCode:
    """Show the trace of one request, by its idempotency key or id, from every daemon that handled it."""
    _, responses = query_all_daemons(arguments.at, f"/v1/trace/{arguments.order}", key=arguments.key)
    found = {name: response["orders"] for name, response in responses.items() if response}
    lines = [
        f"{name} {request['order']} {request.get('tenant', '?')}/{request['cls']} +{at_ms}ms {what}"
        for name, requests in sorted(found.items())
        for request in requests
        for at_ms, what in request["steps"]
    ]
    print_result(arguments, found, "\n".join(lines) or "no daemon has a trace of this request")
    return ExitCode.SUCCESS if found else ExitCode.PARTIAL


COMMANDS: dict[str, Callable[[Arguments], ExitCode]] = {
    "fleet": fleet,
    "config": config,
    "zone": zone,
    "replicas": replicas,
    "shards": shards,
    "scaler": scaler,
    "trace": trace,
}


def _add_command(subparsers: Subparsers, name: str, about: str) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = subparsers.add_parser(name, help=about)
    parser.add_argument("--at", default="127.0.0.1:8000", help="IP:PORT of any daemon's HTTP address")
    parser.add_argument("--key", default="", help="the operator's key, if the fleet has one")
    parser.add_argument("--json", action="store_true")
    return parser


def _add_change_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--change", default="", help="the id of a change that is retried")
    parser.add_argument(
        "--wait",
        type=float,
        default=DEFAULT_WAIT_S,
        metavar="SECONDS",
        help="wait until the change is in force at every daemon; 0: do not wait",
    )


def add_parsers(subparsers: Subparsers) -> None:
    """Add the operator's commands to the command line."""
    _add_command(subparsers, "fleet", "show the state of every daemon")
    parser = _add_command(subparsers, "config", "show, check, compare or replace the configuration")
    parser.add_argument("what", choices=["get", "check", "diff", "put"])
    parser.add_argument("file", nargs="?")
    parser.add_argument("--version", default="", help="the version to replace; default: the one now in force")
    _add_change_arguments(parser)
    parser = _add_command(subparsers, "zone", "evacuate a zone, or return it to service")
    parser.add_argument("what", choices=["empty", "return"])
    parser.add_argument("zone")
    _add_change_arguments(parser)
    _add_command(subparsers, "replicas", "show replicas as declared and probed")
    parser = _add_command(
        subparsers, "shards", "show tenant shards with their owners and followers, or reopen a shard whose claims are lost"
    )
    parser.add_argument("what", nargs="?", choices=["list", "reopen"], default="list")
    parser.add_argument("tenant", nargs="?")
    parser.add_argument(
        "--yes", action="store_true", help="accept that requests that ran before may run again under the same idempotency key"
    )
    _add_change_arguments(parser)
    _add_command(subparsers, "scaler", "show the replicas required and ready by region")
    parser = _add_command(subparsers, "trace", "show the trace of one request")
    parser.add_argument("order", help="the idempotency key or the id of the request")


def run(arguments: Arguments) -> ExitCode:
    """Run one of the operator's commands and return its exit code."""
    if arguments.cmd == "config" and arguments.what != "get" and not arguments.file:
        raise InvalidCallError(f"config {arguments.what} needs a file")
    try:
        return COMMANDS[arguments.cmd](arguments)
    except SilvergladeError as error:
        if error.code == result_codes.UNREACHABLE:
            print(f"silverglade: {error}")
            return ExitCode.DAEMON_UNREACHABLE
        raise
