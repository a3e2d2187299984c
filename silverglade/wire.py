"""Frames between daemons: length-prefixed ormsgpack tuples (design 3)."""
import struct

import ormsgpack

from .faults import Fault

VERSION = 3
SPOKEN = (3,)          # wire versions this program reads; in 2 a view had one backup
CAP = 8 * 1024 * 1024
HEAD = struct.Struct(">I")

# may be large; they take a connection of their own, and may so be overtaken by what is small (3.1)
BULK = frozenset(("snap", "repl", "items", "news", "copy", "adopted"))

DEEP = (list, dict)


def tupled(x):
    if isinstance(x, list):
        return tuple([tupled(i) if type(i) in DEEP else i for i in x])
    if isinstance(x, dict):
        return {k: tupled(v) if type(v) in DEEP else v for k, v in x.items()}
    return x


def pack(*, frm, life, body, cap=CAP, version=VERSION):
    b = ormsgpack.packb((version, frm, life, body))
    if len(b) > cap:
        raise Fault(602, f"{len(b)} bytes")
    return HEAD.pack(len(b)) + b


def unpack(b):
    """One frame's payload -> (sender, life, body)."""
    try:
        t = tupled(ormsgpack.unpackb(b))
    except (ValueError, TypeError, RecursionError) as e:
        raise Fault(601, "not msgpack") from e
    if not isinstance(t, tuple) or len(t) < 4 or type(t[0]) is not int:
        raise Fault(601, "no header")
    if t[0] not in SPOKEN:
        raise Fault(603, f"version {t[0]}")
    _, frm, life, body = t[:4]
    if not isinstance(frm, str) or not isinstance(life, str):
        raise Fault(601, "bad sender")
    if not isinstance(body, tuple) or not body or not isinstance(body[0], str):
        raise Fault(601, "bad body")
    return frm, life, body


def frames(*, cap=CAP):
    """Generator: send bytes in, get a tuple of whole payloads out."""
    buf, out = bytearray(), ()
    while True:
        buf += (yield out) or b""
        got = []
        while len(buf) >= 4:
            n = HEAD.unpack_from(buf)[0]
            if n > cap:
                raise Fault(602, f"{n} bytes")
            if len(buf) < 4 + n:
                break
            got.append(bytes(buf[4:4 + n]))
            del buf[:4 + n]
        out = tuple(got)
