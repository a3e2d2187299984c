"""Framing of messages between daemons: a four-byte length, then a tuple in msgpack (design 3.1).

The tuple contains the wire version, the sender's name, the id of the sender's process, and the body: a message's kind and its fields.
Large bodies of some kinds are compressed.
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
"""Wire versions that this program can decode. Version 2, whose views had a single backup, is not among them."""

MAX_FRAME_BYTES = 8 * 1024 * 1024

COMPRESSION_THRESHOLD_BYTES = 16 * 1024
"""Bodies of `COMPRESSIBLE_MESSAGES` above this size are compressed (design 3.1): configurations shrink to a tenth or less."""

COMPRESSION_LEVEL = 1

MAX_DECOMPRESSED_BYTES = 4 * MAX_FRAME_BYTES
"""Largest size of a compressed body after decompression."""

FRAME_RESERVE_BYTES = 2 * 1024 * 1024
"""Space reserved in a frame for what is sent with a configuration: role assignments, outcomes, soft state."""

FRAME_HEADER = struct.Struct(">I")
"""The length of the payload, as a big-endian 32-bit integer."""

FRAME_FIELDS = 4
"""Number of fields of the tuple: version, sender, process id, body. Later program versions may append more (design 3.1)."""

COMPRESSED_KIND = "pressed"
"""The kind of a body that contains another, compressed body."""

BULK_MESSAGES = frozenset(("snap", "repl", "items", "news", "copy", "adopted"))
"""Kinds of messages that may be large. They use a separate connection, so small messages may overtake them (design 3.1)."""

COMPRESSIBLE_MESSAGES = BULK_MESSAGES | {"op", "opr"}

CONTAINERS = (list, dict)

PACKING_ERRORS = (TypeError, ValueError, RecursionError)
"""What the msgpack encoder raises for integers over 64 bits, text that is not valid Unicode, and values nested too deeply."""

UNPACKING_ERRORS = (ValueError, TypeError, RecursionError)


def lists_to_tuples(value: Any) -> Any:
    """Return a value in which every list, at any depth, is replaced by a tuple."""
    if isinstance(value, list):
        return tuple([lists_to_tuples(item) if type(item) in CONTAINERS else item for item in value])
    if isinstance(value, dict):
        return {key: lists_to_tuples(item) if type(item) in CONTAINERS else item for key, item in value.items()}
    return value


def encode_frame(*, sender: str, process_id: str, body: Body, max_bytes: int = MAX_FRAME_BYTES, version: int = WIRE_VERSION) -> bytes:
    """Encode a message as a frame.

    :param sender: the sending daemon's name.
    :param process_id: the id of the sending daemon's process.
    :raises MalformedFrameError: the body contains a value that cannot be encoded.
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
    """Encode a value in msgpack.

    :raises MalformedFrameError: it cannot be encoded.
    """
    try:
        return ormsgpack.packb(value)
    except PACKING_ERRORS as error:
        raise MalformedFrameError(f"cannot be encoded: {error}") from error


def fits_in_frame(body: Body) -> bool:
    """Return whether a body fits in one frame, and can be decompressed by the receiver, with `FRAME_RESERVE_BYTES` to spare.

    :raises MalformedFrameError: the body contains a value that cannot be encoded.
    """
    plain = _packed(body)
    if len(plain) <= MAX_FRAME_BYTES - FRAME_RESERVE_BYTES:
        return True
    if len(plain) > MAX_DECOMPRESSED_BYTES - MAX_FRAME_BYTES:
        return False
    return len(zlib.compress(plain, COMPRESSION_LEVEL)) <= MAX_FRAME_BYTES - FRAME_RESERVE_BYTES


def _decompressed_body(compressed: bytes) -> Any:
    """Decompress and unpack a body.

    :raises OversizedFrameError: it is too large after decompression, or it is truncated.
    :raises MalformedFrameError: it is corrupt.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(compressed, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise OversizedFrameError(f"compressed body is truncated or decompresses to more than {MAX_DECOMPRESSED_BYTES} bytes")
        return lists_to_tuples(ormsgpack.unpackb(plain))
    except (zlib.error, *UNPACKING_ERRORS) as error:
        raise MalformedFrameError("compressed body is corrupt") from error


def decode_frame(payload: bytes) -> tuple[str, str, Body]:
    """Decode the payload of one frame.

    :returns: the sender's name, the id of its process, and the body.
    :raises UnsupportedWireVersionError: this program cannot decode the wire version.
    :raises MalformedFrameError: the payload is corrupt or is not a tuple of the expected fields.
    :raises OversizedFrameError: the compressed body is truncated or too large after decompression.
    """
    try:
        fields = lists_to_tuples(ormsgpack.unpackb(payload))
    except UNPACKING_ERRORS as error:
        raise MalformedFrameError("payload is not valid msgpack") from error
    if not isinstance(fields, tuple) or len(fields) < FRAME_FIELDS or type(fields[0]) is not int:
        raise MalformedFrameError("version, sender, process id or body is missing")
    version, sender, process_id, body = fields[:FRAME_FIELDS]
    if version not in READABLE_VERSIONS:
        raise UnsupportedWireVersionError(f"wire version {version}")
    if isinstance(body, tuple) and len(body) == 2 and body[0] == COMPRESSED_KIND and isinstance(body[1], bytes):
        body = _decompressed_body(body[1])
    if not isinstance(sender, str) or not isinstance(process_id, str):
        raise MalformedFrameError("sender or process id is not a string")
    if not isinstance(body, tuple) or not body or not isinstance(body[0], str):
        raise MalformedFrameError("body is not a tuple that starts with a message kind")
    return sender, process_id, body


class FrameSplitter:
    """Splits a byte stream, which may arrive in chunks of any size, into the payloads of its frames.

    :ivar max_bytes: the largest payload that is accepted.
    """

    __slots__ = ("max_bytes", "_buffer")

    def __init__(self, *, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the payloads that are now complete.

        :raises OversizedFrameError: a frame header declares a payload larger than `max_bytes`.
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
