"""Frames between daemons: length-prefixed ormsgpack tuples (design 3)."""

import struct
import zlib

import ormsgpack

from ..runtime.errors import MalformedFrameError, OversizedFrameError, UnsupportedWireVersionError

WIRE_VERSION = 3
SPOKEN = (3,)  # wire versions this program reads; in 2 a view had one backup
MAX_FRAME_BYTES = 8 * 1024 * 1024
PRESS = 16 * 1024  # a body above this travels compressed (3.1): configurations shrink to a tenth and less
WIDE = 4 * MAX_FRAME_BYTES  # what a compressed body may unfold to
ROOM = 2 * 1024 * 1024  # of a frame, kept for what travels beside a configuration: duties, outcomes, soft state
HEAD = struct.Struct(">I")

# may be large; they take a connection of their own, and may so be overtaken by what is small (3.1)
BULK_MESSAGES = frozenset(("snap", "repl", "items", "news", "copy", "adopted"))

PRESSED = BULK_MESSAGES | {"op", "opr"}

DEEP = (list, dict)

# what the packer says of numbers over 64 bits, of text that is no Unicode, and of what is nested too deep
UNPACKABLE = (TypeError, ValueError, RecursionError)


def lists_to_tuples(x):
    if isinstance(x, list):
        return tuple([lists_to_tuples(i) if type(i) in DEEP else i for i in x])
    if isinstance(x, dict):
        return {k: lists_to_tuples(v) if type(v) in DEEP else v for k, v in x.items()}
    return x


def encode_frame(*, frm, life, body, cap=MAX_FRAME_BYTES, version=WIRE_VERSION):
    b = packed((version, frm, life, body))
    if len(b) > PRESS and body[0] in PRESSED:
        b = ormsgpack.packb((version, frm, life, ("pressed", zlib.compress(ormsgpack.packb(body), 1))))
    if len(b) > cap:
        raise OversizedFrameError(f"{len(b)} bytes")
    return HEAD.pack(len(b)) + b


def packed(x):
    try:
        return ormsgpack.packb(x)
    except UNPACKABLE as e:
        raise MalformedFrameError(f"cannot be packed: {e}") from e


def fits_in_frame(body):
    """Can it travel in one frame, and be unfolded there, with room for what comes beside it? Raises for what is never sent."""
    plain = packed(body)
    if len(plain) <= MAX_FRAME_BYTES - ROOM:
        return True
    return len(plain) <= WIDE - MAX_FRAME_BYTES and len(zlib.compress(plain, 1)) <= MAX_FRAME_BYTES - ROOM


def unfolded(b):
    z = zlib.decompressobj()
    try:
        got = z.decompress(b, WIDE)
        if not z.eof:
            raise OversizedFrameError(f"more than {WIDE} bytes, or cut short")
        return lists_to_tuples(ormsgpack.unpackb(got))
    except (zlib.error, ValueError, TypeError, RecursionError) as e:
        raise MalformedFrameError("a compressed body that does not unfold") from e


def decode_frame(b):
    """One frame's payload -> (sender, life, body)."""
    try:
        t = lists_to_tuples(ormsgpack.unpackb(b))
    except (ValueError, TypeError, RecursionError) as e:
        raise MalformedFrameError("not msgpack") from e
    if not isinstance(t, tuple) or len(t) < 4 or type(t[0]) is not int:
        raise MalformedFrameError("no header")
    if t[0] not in SPOKEN:
        raise UnsupportedWireVersionError(f"version {t[0]}")
    _, frm, life, body = t[:4]
    if isinstance(body, tuple) and len(body) == 2 and body[0] == "pressed" and isinstance(body[1], bytes):
        body = unfolded(body[1])
    if not isinstance(frm, str) or not isinstance(life, str):
        raise MalformedFrameError("bad sender")
    if not isinstance(body, tuple) or not body or not isinstance(body[0], str):
        raise MalformedFrameError("bad body")
    return frm, life, body


def frames(*, cap=MAX_FRAME_BYTES):
    """Generator: send bytes in, get a tuple of whole payloads out."""
    buf, out = bytearray(), ()
    while True:
        buf += (yield out) or b""
        got = []
        while len(buf) >= 4:
            n = HEAD.unpack_from(buf)[0]
            if n > cap:
                raise OversizedFrameError(f"{n} bytes")
            if len(buf) < 4 + n:
                break
            got.append(bytes(buf[4 : 4 + n]))
            del buf[: 4 + n]
        out = tuple(got)
