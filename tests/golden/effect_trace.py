"""One hash over all that leaves the daemons of a simulation: effects in order, with their simulated times.

What a daemon keeps to itself is no part of it: log lines, events between its parts, the tokens by which it tells its writes apart.
Neither are names that only the code has: each kind of effect stands as a number that is fixed here.
`canonical` alone knows how the program represents effects.
"""

import hashlib
import zlib
from datetime import timedelta

import ormsgpack

from silverglade.transport import framing as wire

HEADER_LENGTH = 4
MICROSECOND = timedelta(microseconds=1)

MESSAGE, DISK_WRITE, DISPATCH, ABORT, REPLICA_PROBE, RESULT, REPLY, MAY_END, FLOW, PEER_ADDRESS = range(1, 11)
FORWARD_TRY, FORWARD_PASS, FORWARD_DROP, FORWARD_ANSWER, FORWARD_BREAK = range(20, 25)
FORGET_CONNECTIONS, RENEW_CONNECTIONS, READ_LIST, ASK_LOAD, REACH, LIMITS = range(30, 36)
LIFE, STORED = 50, 51

OPERATIONS = {"put": 1, "del": 2, "wipe": 3}
RESULTS = {"key": 1, "whole": 2, "piece": 3, "done": 4, "fault": 5, "end": 6}
DISPATCH_FIELDS = ("tenant", "cls", "stream", "prefix", "kind", "due")
TRY_FIELDS = (
    "replica",
    "addr",
    "service",
    "expect",
    "urgency",
    "deadline_ms",
    "last_event",
    "resume",
    "connect",
    "patience",
    "pause",
    "cap",
    "stream",
)


def plain(value):
    """A value as the packer takes it: durations as whole microseconds, all else as it is."""
    if isinstance(value, timedelta):
        return value // MICROSECOND
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    return value


def packed(*values):
    return ormsgpack.packb(plain(values))


def frame(sender, life, body):
    """The bytes of a message on the wire; a compressed one unfolded, since other versions of the compressor give other bytes."""
    payload = wire.encode_frame(sender=sender, process_id=life, body=body)[HEADER_LENGTH:]
    if len(payload) < wire.COMPRESSION_THRESHOLD_BYTES and b"pressed" not in payload[:200]:
        return payload
    content = ormsgpack.unpackb(payload)[3]
    if content[0] == "pressed":
        return b"compressed" + packed(sender, life) + zlib.decompress(content[1])
    return payload


def operation(row):
    """One change of a stored row."""
    kind, table, *rest = row
    return (OPERATIONS[kind], table, *rest)


def canonical(effect, sender, life):
    """An effect of a daemon as bytes that do not depend on the names in the code; None for what does not leave the daemon."""
    match effect:
        case ("post" | "cast" | "due" | "log", *_):
            return None
        case ("send", to, body):
            return packed(MESSAGE, to) + frame(sender, life, body)
        case ("disk", _, operations):
            return packed(DISK_WRITE, [operation(row) for row in operations])
        case ("dispatch", dispatch, replica, address, headers, body):
            return packed(DISPATCH, dispatch, replica, address, [headers[name] for name in DISPATCH_FIELDS], body)
        case ("abort", dispatch):
            return packed(ABORT, dispatch)
        case ("probe", replica, incarnation, address):
            return packed(REPLICA_PROBE, replica, incarnation, address)
        case ("result", request, kind, *rest):
            return packed(RESULT, request, RESULTS[kind], rest)
        case ("reply", call, code, fields):
            return packed(REPLY, call, code, fields)
        case ("released",):
            return packed(MAY_END)
        case ("peer", name, address):
            return packed(PEER_ADDRESS, name, address)
        case ("ease", request, on):
            return packed(FLOW, request, on)
        case ("try", request, number, description):
            if description.keys() != set(TRY_FIELDS):
                raise ValueError(f"a field of a try that is not recorded: {sorted(description)}")
            return packed(FORWARD_TRY, request, number, [description[name] for name in TRY_FIELDS])
        case ("pass", request, number):
            return packed(FORWARD_PASS, request, number)
        case ("drop", request, number):
            return packed(FORWARD_DROP, request, number)
        case ("answer", request, status, wait, code):
            return packed(FORWARD_ANSWER, request, status, wait, code)
        case ("break", request):
            return packed(FORWARD_BREAK, request)
        case ("forget", replica):
            return packed(FORGET_CONNECTIONS, replica)
        case ("renew", replica):
            return packed(RENEW_CONNECTIONS, replica)
        case ("list",):
            return packed(READ_LIST)
        case ("ask", replica, address):
            return packed(ASK_LOAD, replica, address)
        case ("reach", replica, address, wait):
            return packed(REACH, replica, address, wait)
        case ("limits", limits):
            return packed(LIMITS, limits)
    raise ValueError(f"an effect that is not recorded: {str(effect)[:200]}")


class EffectTrace:
    """The hash of what has left the daemons so far."""

    def __init__(self):
        self.digest, self.count = hashlib.sha256(), 0

    def add(self, now, sender, entry):
        head = packed(now, sender, len(entry))
        self.digest.update(head + entry)
        self.count += 1

    def effects(self, now, sender, life, effects):
        for effect in effects:
            entry = canonical(effect, sender, life)
            if entry is not None:
                self.add(now, sender, entry)

    def life(self, now, sender, life):
        """A daemon has started."""
        self.add(now, sender, packed(LIFE, life))

    def stored(self, now, sender, tables):
        """All rows on a daemon's disk, in the order of their keys."""
        rows = sorted((table, key, ormsgpack.packb(value)) for table, held in tables.items() for key, value in held.items())
        self.add(now, sender, packed(STORED, rows))

    def result(self):
        return {"entries": self.count, "sha256": self.digest.hexdigest()}
