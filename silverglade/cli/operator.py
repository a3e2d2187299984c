"""The operator's command line over the whole fleet (design 11.1)."""

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
from .client import Answer, accepted, ask, ask_everywhere

Arguments = argparse.Namespace
Subparsers = Any
"""What `ArgumentParser.add_subparsers` returns."""

CHANGE_WAIT_MS = 7000
"""How long a change waits for its answer; less than the client does."""

CHANGE_ATTEMPTS = 3
CHECK_INTERVAL_S = 0.1
DEFAULT_WAIT_S = 10.0
CHANGE_ID_BYTES = 8
SHARD_ROLE_PREFIX = "shard/"


class ExitCode(IntEnum):
    """What the command ends with."""

    DONE = 0
    PARTIAL = 1
    FAULT = 2
    NOBODY = 3
    UNKNOWN = 4


def table(rows: Sequence[Sequence[object]]) -> str:
    """Return rows of values as text in columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts)]
    return "\n".join("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip() for row in texts)


def print_result(arguments: Arguments, data: object, text: str) -> None:
    """Print a result, as JSON or as text."""
    print(json.dumps(data, indent=1, sort_keys=True) if arguments.json else text)


def version_text(version: Sequence[int] | None) -> str:
    """Return a version as EPOCH.NUMBER."""
    return ".".join(map(str, version)) if version else "-"


def _call(arguments: Arguments, path: str) -> Any:
    """Return the data of a call that changes nothing."""
    return accepted(ask(arguments.at, "GET", path, key=arguments.key))


def fleet(arguments: Arguments) -> ExitCode:
    """Show every daemon: version, view, store and its age; silent ones are named."""
    known, answers = ask_everywhere(arguments.at, "/v1/status", key=arguments.key)
    rows: list[Sequence[object]] = [("DAEMON", "ZONE", "STATE", "VERSION", "VIEW", "PRIMARY", "NEWS", "AGE", "CONFIG", "EMPTIED")]
    rows += [_fleet_row(name, daemon, answers[name]) for name, daemon in sorted(known.items())]
    silent = sorted(name for name, status in answers.items() if status is None)
    print_result(arguments, dict(fleet=known, status=answers, silent=silent), table(rows))
    return ExitCode.PARTIAL if silent else ExitCode.DONE


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
        version_text(status["news"]),
        f"{status['age_ms']}ms" if status["age_ms"] is not None else "none",
        version_text(status["config"]),
        ",".join(status["evacuated"]) or "-",
    )


def load(path: str) -> Any:
    """Return what a JSON file holds.

    :raises InvalidConfigurationError: it cannot be read.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        raise InvalidConfigurationError(f"{path}: {error}") from error


def check_configuration(arguments: Arguments) -> ExitCode:
    """Check a configuration's file."""
    _, faults = parse_configuration(load(arguments.file))
    for path, what in faults:
        print(f"{path}: {what}")
    print("sound" if not faults else f"{len(faults)} faults")
    return ExitCode.FAULT if faults else ExitCode.DONE


def config(arguments: Arguments) -> ExitCode:
    """Show the configuration in force, check or compare a file with it, or put one in its place."""
    if arguments.what == "check":
        return check_configuration(arguments)
    current = _call(arguments, "/v1/config")
    version = version_text(current["version"])
    if arguments.what == "get":
        print_result(arguments, current, f"# version {version}\n{json.dumps(current['config'], indent=1, sort_keys=True)}")
        return ExitCode.DONE
    raw = load(arguments.file)
    parsed, faults = parse_configuration(raw)
    if faults:
        raise InvalidConfigurationError("; ".join(f"{path}: {what}" for path, what in faults))
    if arguments.what == "diff":
        return _print_difference(current["config"], parsed, f"in force {version}", arguments.file)
    return change(arguments, "PUT", "/v1/config", raw, [("If-Match", arguments.version or version)])


def _print_difference(old: object, new: object, old_name: str, new_name: str) -> ExitCode:
    old_lines, new_lines = (json.dumps(each, indent=1, sort_keys=True).splitlines() for each in (old, new))
    lines = list(difflib.unified_diff(old_lines, new_lines, old_name, new_name, lineterm=""))
    print("\n".join(lines) if lines else "no difference")
    return ExitCode.PARTIAL if lines else ExitCode.DONE


def change(arguments: Arguments, method: str, path: str, body: object = None, headers: Sequence[tuple[str, str]] = ()) -> ExitCode:
    """Make a change with an id of its own, asking again by that id while its outcome is unknown."""
    change_id = arguments.change or secrets.token_hex(CHANGE_ID_BYTES)
    all_headers = [*headers, ("Silverglade-Change", change_id), ("Silverglade-Wait", str(CHANGE_WAIT_MS))]
    for _ in range(CHANGE_ATTEMPTS):
        answer = ask(arguments.at, method, path, body, key=arguments.key, headers=all_headers)
        if not _is_unknown(answer):
            break
    else:
        print(f"outcome unknown; ask again with --change {change_id}")
        return ExitCode.UNKNOWN
    version = accepted(answer)["version"]
    print(f"acknowledged as {version_text(version)} (change {change_id})")
    return wait_until_in_force(arguments, version) if arguments.wait else ExitCode.DONE


def _is_unknown(answer: Answer) -> bool:
    return bool(answer.data.get("code") == result_codes.UNKNOWN_OUTCOME)


def wait_until_in_force(arguments: Arguments, version: Sequence[int]) -> ExitCode:
    """Wait until every live daemon holds this version; say when, or who does not."""
    began, behind = time.monotonic(), list[str]()
    while time.monotonic() - began < arguments.wait:
        _, answers = ask_everywhere(arguments.at, "/v1/status", key=arguments.key)
        behind = sorted(name for name, status in answers.items() if status is None or status["news"] < version)
        if not behind:
            print(f"in force at {len(answers)} daemons after {time.monotonic() - began:.2f} s")
            return ExitCode.DONE
        time.sleep(CHECK_INTERVAL_S)
    print(f"not yet at: {', '.join(behind)}")
    return ExitCode.PARTIAL


def zone(arguments: Arguments) -> ExitCode:
    """Empty a zone, or return it."""
    return change(arguments, "PUT" if arguments.what == "empty" else "DELETE", f"/v1/zones/{arguments.zone}/evacuation")


def replicas(arguments: Arguments) -> ExitCode:
    """Show tenants' replicas as declared and measured."""
    known = _call(arguments, "/v1/replicas")["replicas"]
    fields = ("zone", "kind", "state", "used", "cap", "slots", "use", "leaving")
    rows: list[Sequence[object]] = [("REPLICA", *[field.upper() for field in fields], "AGE", "HOMES", "PREFIXES")]
    for name, row in sorted(known.items()):
        values = [row[field] for field in fields]
        rows.append((name, *values, f"{row['age_ms']}ms", ",".join(row["homes"]), ",".join(row["prefixes"])))
    print_result(arguments, known, table(rows))
    return ExitCode.DONE


def shards(arguments: Arguments) -> ExitCode:
    """Show tenants' shards, or reopen one whose claims are lost."""
    if arguments.what == "reopen":
        if not arguments.tenant or not arguments.yes:
            raise InvalidCallError("reopen wants a tenant and --yes: keys that ran before may run again")
        return change(arguments, "PUT", f"/v1/shards/{arguments.tenant}/reopen")
    roles = _call(arguments, "/v1/fleet")["duties"]
    _, answers = ask_everywhere(arguments.at, "/v1/status", key=arguments.key)
    held: dict[str, tuple[str, dict[str, Any]]] = {}
    for daemon, status in answers.items():
        if status:
            held.update({tenant: (daemon, shard) for tenant, shard in status.get("shards", {}).items()})
    rows: list[Sequence[object]] = [("SHARD", "EPOCH", "OWNER", "FOLLOWER", "OPEN", "CLAIMS", "WAITING")]
    for role, (epoch, owner, follower) in sorted(roles.items()):
        if role.startswith(SHARD_ROLE_PREFIX):
            tenant = role.removeprefix(SHARD_ROLE_PREFIX)
            daemon, shard = held.get(tenant, ("", {}))
            is_open = shard.get("open", "?") if daemon == owner else "?"
            rows.append((tenant, epoch, owner, follower or "-", is_open, shard.get("claims", "?"), shard.get("waiting", "?")))
    data = dict(duties=roles, held={tenant: shard for tenant, (_, shard) in held.items()})
    print_result(arguments, data, table(rows))
    return ExitCode.PARTIAL if any(status is None for status in answers.values()) else ExitCode.DONE


def scaler(arguments: Arguments) -> ExitCode:
    """Show replicas wanted and ready by region."""
    configuration = _call(arguments, "/v1/config")["config"] or {"zones": {}}
    regions = sorted({each["region"] for each in configuration["zones"].values()})
    orders = {region: _call(arguments, f"/v1/regions/{region}/orders") for region in regions}
    rows: list[Sequence[object]] = [("REGION", "KIND", "WANTED", "READY", "STARTING", "LEAST", "DAEMONS", "ARRIVALS")]
    for region, order in orders.items():
        for kind, counts in sorted(order["kinds"].items()):
            arrivals = max((part[2] for part in counts["parts"].values()), default=0)
            rows.append(
                (region, kind, counts["wanted"], counts["ready"], counts["starting"], order["least"], len(counts["parts"]), arrivals)
            )
    print_result(arguments, orders, table(rows))
    return ExitCode.DONE


def trace(arguments: Arguments) -> ExitCode:
    """Show what became of one request, by its key or id, at whichever daemons met it."""
    _, answers = ask_everywhere(arguments.at, f"/v1/trace/{arguments.order}", key=arguments.key)
    found = {name: answer["orders"] for name, answer in answers.items() if answer}
    lines = [
        f"{name} {request['order']} {request.get('tenant', '?')}/{request['cls']} +{at_ms}ms {what}"
        for name, requests in sorted(found.items())
        for request in requests
        for at_ms, what in request["steps"]
    ]
    print_result(arguments, found, "\n".join(lines) or "no daemon remembers it")
    return ExitCode.DONE if found else ExitCode.PARTIAL


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
    parser.add_argument("--key", default="", help="the operator's key, where one is set")
    parser.add_argument("--json", action="store_true")
    return parser


def _add_change_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--change", default="", help="the id of a change asked for before")
    parser.add_argument(
        "--wait", type=float, default=DEFAULT_WAIT_S, metavar="SECONDS", help="wait until it is in force everywhere; 0: do not"
    )


def add_parsers(subparsers: Subparsers) -> None:
    """Add the operator's commands to the command line."""
    _add_command(subparsers, "fleet", "every daemon's state")
    parser = _add_command(subparsers, "config", "the configuration in force, and changing it whole")
    parser.add_argument("what", choices=["get", "check", "diff", "put"])
    parser.add_argument("file", nargs="?")
    parser.add_argument("--version", default="", help="the version that is replaced; default: the one read now")
    _add_change_arguments(parser)
    parser = _add_command(subparsers, "zone", "empty a zone or return it")
    parser.add_argument("what", choices=["empty", "return"])
    parser.add_argument("zone")
    _add_change_arguments(parser)
    _add_command(subparsers, "replicas", "replicas as declared and probed")
    parser = _add_command(subparsers, "shards", "tenant shards, owners and followers; reopen one whose claims are lost")
    parser.add_argument("what", nargs="?", choices=["list", "reopen"], default="list")
    parser.add_argument("tenant", nargs="?")
    parser.add_argument("--yes", action="store_true", help="keys that ran before may run again")
    _add_change_arguments(parser)
    _add_command(subparsers, "scaler", "replicas wanted and ready by region")
    parser = _add_command(subparsers, "trace", "what became of one order")
    parser.add_argument("order", help="its idempotency key or its id")


def run(arguments: Arguments) -> ExitCode:
    """Run one of the operator's commands."""
    if arguments.cmd == "config" and arguments.what != "get" and not arguments.file:
        raise InvalidCallError(f"config {arguments.what} wants a file")
    try:
        return COMMANDS[arguments.cmd](arguments)
    except SilvergladeError as error:
        if error.code == result_codes.UNREACHABLE:
            print(f"silverglade: {error}")
            return ExitCode.NOBODY
        raise
