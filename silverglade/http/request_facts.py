"""The facts of a forwarded request that the router decides by, parsed from its head (design 15.2).

Every function has a result for any bytes that a client may send (design 1.6).
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..configuration.schema import key_digest
from ..runtime.outside_input import MAX_COUNT, is_whole_number
from .dialect import Dialect
from .event_stream import ENCODING, ENCODING_ERRORS

MAX_INTEGER_DIGITS = 16
MAX_INTEGER = 2**53

Fields = Mapping[bytes, bytes]
"""Header's name in lower case -> value."""


def parse_integer(value: bytes | None) -> int | None:
    """Return a non-negative integer below `MAX_INTEGER`; None for any other value."""
    if value is None or not is_whole_number(value, max_digits=MAX_INTEGER_DIGITS) or int(value) >= MAX_INTEGER:
        return None
    return int(value)


def parse_count(value: bytes | None) -> int | None:
    """Return a number of tokens, at most `MAX_COUNT` however many the client states; None for any value that is not a number."""
    count = parse_integer(value)
    return None if count is None else min(count, MAX_COUNT)


def parse_prompt_parts(value: bytes | None) -> tuple[tuple[str, int], ...]:
    """Parse the parts of a prompt, ID:TOKENS,..., to pairs of (id, tokens); empty if any part is invalid."""
    parts = []
    for part in value.split(b",") if value else ():
        part_id, _, number = part.strip().rpartition(b":")
        tokens = parse_count(number)
        if not part_id or tokens is None:
            return ()
        parts.append((part_id.decode("latin-1"), tokens))
    return tuple(parts)


def parse_token_counts(value: bytes | None) -> tuple[int, int] | None:
    """Parse IN,OUT: the prompt's number of tokens and the most output tokens; None if invalid."""
    first, _, second = (value or b"").partition(b",")
    tokens_in, tokens_out = parse_count(first.strip()), parse_count(second.strip())
    return None if tokens_in is None or tokens_out is None else (tokens_in, tokens_out)


def parse_key_digest(value: bytes | None, scheme: bytes) -> str | None:
    """Return the digest of the key in a client's credentials, SCHEME KEY; None if there is no key of this scheme."""
    if value is None:
        return None
    given_scheme, _, key = value.strip().partition(b" ")
    key = key.strip()
    return key_digest(key) if key and given_scheme.lower() == scheme else None


def host_name(value: bytes) -> str:
    """Return the host of a `Host` header in lower case, without the port."""
    host = value.decode("latin-1").strip().lower()
    name, _, port = host.rpartition(":")
    return name if name and (port.isdigit() or not port) and not host.endswith("]") else host


def request_facts(*, method: str, target: bytes, fields: Fields, size: int, dialect: Dialect) -> dict[str, Any]:
    """Return the facts of a request that are passed to the router.

    :param size: of the body, in bytes.
    """

    def text(name: bytes) -> str | None:
        return fields[name].decode("latin-1") if name in fields else None

    return {
        "host": host_name(fields.get(b"host", b"")),
        "path": target.partition(b"?")[0].decode("latin-1"),
        "method": method,
        "attempt": text(dialect.attempt) or "",
        "deadline_ms": parse_integer(fields.get(dialect.deadline)),
        "prefix": parse_prompt_parts(fields.get(dialect.prefix)),
        "tokens": parse_token_counts(fields.get(dialect.tokens)),
        "model": text(dialect.model) or "",
        "last_event": fields[dialect.last_event].decode(ENCODING, ENCODING_ERRORS) if dialect.last_event in fields else None,
        "version": text(dialect.version),
        "key": parse_key_digest(fields.get(dialect.credentials), dialect.scheme),
        "size": size,
    }
