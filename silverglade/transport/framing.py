"""Frames between daemons: a length of four bytes, then a packed tuple (design 3.1).

The tuple holds the wire version, the sender's name, the id of the sender's process, and the body: a message's kind and its fields.
Bodies of some kinds travel compressed once they are large.
"""

from __future__ import annotations

import struct
import zlib
from typing import Any

import ormsgpack

from ..runtime.errors import MalformedFrameError, OversizedFrameError, UnsupportedWireVersionError

Body = tuple[Any, ...]
"""A message: its kind, then its fields (message_schemas.py)."""

WIRE_VERSION = 3

READABLE_VERSIONS = (3,)
"""Wire versions that this program reads. In version 2 a view had one backup."""

MAX_FRAME_BYTES = 8 * 1024 * 1024

COMPRESSION_THRESHOLD_BYTES = 16 * 1024
"""Bodies above this size travel compressed (design 3.1): configurations shrink to a tenth and less."""

COMPRESSION_LEVEL = 1

MAX_DECOMPRESSED_BYTES = 4 * MAX_FRAME_BYTES
"""What a compressed body may grow to."""

FRAME_RESERVE_BYTES = 2 * 1024 * 1024
"""Room in a frame for what travels beside a configuration: role assignments, outcomes, soft state."""

FRAME_HEADER = struct.Struct(">I")
"""The length of the payload that follows."""

FRAME_FIELDS = 4
"""Version, sender, process id, body. A later program may add fields behind them (design 3.1)."""

COMPRESSED_KIND = "pressed"
"""The kind of a body that holds another body, compressed."""

BULK_MESSAGES = frozenset(("snap", "repl", "items", "news", "copy", "adopted"))
"""Kinds that may be large. They have a connection of their own and may be overtaken by small messages (design 3.1)."""

COMPRESSIBLE_MESSAGES = BULK_MESSAGES | {"op", "opr"}

CONTAINERS = (list, dict)

PACKING_ERRORS = (TypeError, ValueError, RecursionError)
"""What the packer raises for numbers over 64 bits, text that is no Unicode, and values nested too deep."""

UNPACKING_ERRORS = (ValueError, TypeError, RecursionError)


def lists_to_tuples(value: Any) -> Any:
    """Return a value with every list in it replaced by a tuple."""
    if isinstance(value, list):
        return tuple([lists_to_tuples(item) if type(item) in CONTAINERS else item for item in value])
    if isinstance(value, dict):
        return {key: lists_to_tuples(item) if type(item) in CONTAINERS else item for key, item in value.items()}
    return value


def encode_frame(*, sender: str, process_id: str, body: Body, max_bytes: int = MAX_FRAME_BYTES, version: int = WIRE_VERSION) -> bytes:
    """Encode a message as a frame.

    :param sender: the sending daemon's name.
    :param process_id: the id of the sending daemon's process.
    :raises MalformedFrameError: the body holds a value that cannot be packed.
    :raises OversizedFrameError: the payload is larger than `max_bytes`.
    """
    payload = _packed((version, sender, process_id, body))
    if len(payload) > COMPRESSION_THRESHOLD_BYTES and body[0] in COMPRESSIBLE_MESSAGES:
        compressed = zlib.compress(ormsgpack.packb(body), COMPRESSION_LEVEL)
        payload = ormsgpack.packb((version, sender, process_id, (COMPRESSED_KIND, compressed)))
    if len(payload) > max_bytes:
        raise OversizedFrameError(f"{len(payload)} bytes")
    return FRAME_HEADER.pack(len(payload)) + payload


def _packed(value: Any) -> bytes:
    """Pack a value.

    :raises MalformedFrameError: it cannot be packed.
    """
    try:
        return ormsgpack.packb(value)
    except PACKING_ERRORS as error:
        raise MalformedFrameError(f"cannot be packed: {error}") from error


def fits_in_frame(body: Body) -> bool:
    """Whether a body can travel in one frame, and be decompressed there, with room for what comes beside it.

    :raises MalformedFrameError: it cannot be sent at all.
    """
    plain = _packed(body)
    if len(plain) <= MAX_FRAME_BYTES - FRAME_RESERVE_BYTES:
        return True
    if len(plain) > MAX_DECOMPRESSED_BYTES - MAX_FRAME_BYTES:
        return False
    return len(zlib.compress(plain, COMPRESSION_LEVEL)) <= MAX_FRAME_BYTES - FRAME_RESERVE_BYTES


def _decompressed_body(compressed: bytes) -> Any:
    """Decompress and unpack a body.

    :raises OversizedFrameError: it grows too large, or it is truncated.
    :raises MalformedFrameError: it is damaged.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(compressed, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise OversizedFrameError(f"more than {MAX_DECOMPRESSED_BYTES} bytes, or cut short")
        return lists_to_tuples(ormsgpack.unpackb(plain))
    except (zlib.error, *UNPACKING_ERRORS) as error:
        raise MalformedFrameError("a compressed body that does not unfold") from error


def decode_frame(payload: bytes) -> tuple[str, str, Body]:
    """Decode the payload of one frame.

    :returns: the sender's name, the id of its process, and the body.
    :raises UnsupportedWireVersionError: a version that this program does not read.
    :raises MalformedFrameError: the payload is damaged or has another form.
    :raises OversizedFrameError: the compressed body grows too large.
    """
    try:
        fields = lists_to_tuples(ormsgpack.unpackb(payload))
    except UNPACKING_ERRORS as error:
        raise MalformedFrameError("not msgpack") from error
    if not isinstance(fields, tuple) or len(fields) < FRAME_FIELDS or type(fields[0]) is not int:
        raise MalformedFrameError("no header")
    version, sender, process_id, body = fields[:FRAME_FIELDS]
    if version not in READABLE_VERSIONS:
        raise UnsupportedWireVersionError(f"version {version}")
    if isinstance(body, tuple) and len(body) == 2 and body[0] == COMPRESSED_KIND and isinstance(body[1], bytes):
        body = _decompressed_body(body[1])
    if not isinstance(sender, str) or not isinstance(process_id, str):
        raise MalformedFrameError("bad sender")
    if not isinstance(body, tuple) or not body or not isinstance(body[0], str):
        raise MalformedFrameError("bad body")
    return sender, process_id, body


class FrameSplitter:
    """Cuts a stream of bytes into the payloads of its frames, however the bytes arrive.

    :ivar max_bytes: the largest payload that is accepted.
    """

    __slots__ = ("max_bytes", "_buffer")

    def __init__(self, *, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Take further bytes and return the payloads that are complete with them.

        :raises OversizedFrameError: a frame announces a larger payload than is accepted.
        """
        buffer = self._buffer
        buffer += data
        payloads = []
        while len(buffer) >= FRAME_HEADER.size:
            length = FRAME_HEADER.unpack_from(buffer)[0]
            if length > self.max_bytes:
                raise OversizedFrameError(f"{length} bytes")
            end = FRAME_HEADER.size + length
            if len(buffer) < end:
                break
            payloads.append(bytes(buffer[FRAME_HEADER.size : end]))
            del buffer[:end]
        return payloads
