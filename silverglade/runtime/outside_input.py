"""Parsing of untrusted input: each function returns a typed value or raises `InvalidInputError`, and no other exception.

Clients, operators, replicas, the platform and files may supply any bytes. All external input passes through these functions before it
reaches a component, so that no component has to handle, for example, a number field that is not a number (docs/proof.md lists the
trust boundaries). Python's own functions accept more than the protocols allow: `str.isdigit` is true for "²", `int` accepts "١" and
"1_0", `json.loads` accepts NaN, unbounded numbers and text that is not valid Unicode, none of which daemons can send to each other.
"""

from __future__ import annotations

import json
import math
import re
import socket
from typing import Any, TypeGuard

from .errors import InvalidInputError, MalformedJsonError

MAX_INTEGER, MIN_INTEGER = 2**63 - 1, -(2**63)
"""Integers outside this range cannot be sent between daemons."""

MAX_SENT_INTEGER = 2**62
"""Largest absolute value of an integer in a message between daemons: the next one, which may be calculated from it, can be sent too."""

MAX_INTEGER_DIGITS = 19
"""Most digits of an integer in JSON, not counting the sign."""

MAX_COUNT = 2**31 - 1
"""Largest number of tokens, requests or slots that is calculated with; a larger one is treated like it."""

MAX_MILLISECONDS = 2**53
"""Longest duration in milliseconds, about 285,000 years: well within the range of a timedelta, also if some are added."""

MAX_PORT, MAX_PORT_DIGITS = 65535, 5

MAX_LENGTH_DIGITS = 20
"""Most digits of a declared body length; the HTTP library refuses longer ones."""

MAX_DEPTH = 64
"""Most levels of nested arrays and objects in JSON."""

SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")
"""A \\u escape of a surrogate in JSON; an unpaired surrogate cannot be encoded in UTF-8."""

VISIBLE_ASCII = re.compile(r"[\x21-\x7e]+(?:[ \t]+[\x21-\x7e]+)*")
"""A header value that can be forwarded: visible ASCII characters, with spaces or tabs only between them."""


def is_whole_number(text: str | bytes, *, max_digits: int) -> bool:
    """Return whether a text is a non-negative integer in ASCII digits."""
    return text.isascii() and text.isdigit() and len(text) <= max_digits


def is_sent_integer(value: Any) -> TypeGuard[int]:
    """Return whether a value is an integer that may occur in a message between daemons."""
    return type(value) is int and -MAX_SENT_INTEGER <= value <= MAX_SENT_INTEGER


def bounded_integer(value: Any, *, least: int = 0, most: int = MAX_COUNT) -> int:
    """Return the integer within the bounds that is nearest to a number of a JSON document, rounded towards 0.

    :raises InvalidInputError: the value is not a number.
    """
    return int(bounded_number(value, least=least, most=most))


def bounded_number(value: Any, *, least: float = 0, most: float = MAX_COUNT) -> float:
    """Return the number within the bounds that is nearest to a number of a JSON document.

    :raises InvalidInputError: the value is not a number.
    """
    if type(value) not in (int, float) or value != value:  # NaN differs from itself
        raise InvalidInputError("must be a number")
    nearest: float = min(max(value, least), most)
    return nearest


def is_address(text: str) -> bool:
    """Return whether a text is IP:PORT; an IPv6 address may be in brackets."""
    ip, _, port = text.rpartition(":")
    if not is_whole_number(port, max_digits=MAX_PORT_DIGITS) or not 0 < int(port) <= MAX_PORT:
        return False
    if ip.startswith("[") and ip.endswith("]"):
        ip = ip[1:-1]
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in ip else socket.AF_INET, ip)
    except (OSError, ValueError):
        return False
    return True


def is_header_value(text: str, *, max_length: int) -> bool:
    """Return whether a text is a header value that can be forwarded; an empty text is not."""
    return len(text) <= max_length and VISIBLE_ASCII.fullmatch(text) is not None


def parse_json(data: bytes | str) -> Any:
    """Return the value of a JSON document in UTF-8.

    :raises MalformedJsonError: it is not valid JSON; NaN and infinite numbers are not valid.
    :raises InvalidInputError: it holds a value that daemons cannot send to each other: an integer over 64 bits, an unpaired surrogate,
        or arrays and objects nested too deeply.
    """
    try:
        text = data.decode() if isinstance(data, bytes) else data
        value = json.loads(text, parse_int=_bounded_integer, parse_float=_finite_number, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise MalformedJsonError(f"not valid JSON: {type(error).__name__}") from error
    if _is_too_deep(value):
        raise InvalidInputError(f"nested deeper than {MAX_DEPTH} levels")
    if SURROGATE_ESCAPE.search(text):
        _check_characters(value)
    return value


def _bounded_integer(digits: str) -> int:
    if len(digits.lstrip("-")) > MAX_INTEGER_DIGITS or not MIN_INTEGER <= (number := int(digits)) <= MAX_INTEGER:
        raise InvalidInputError("integer over 64 bits")
    return number


def _finite_number(digits: str) -> float:
    number = float(digits)
    if not math.isfinite(number):
        raise MalformedJsonError("number is not finite")
    return number


def _refuse_constant(name: str) -> float:
    raise MalformedJsonError(f"{name} is not a number")


def _check_characters(value: Any) -> None:
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise InvalidInputError("unpaired surrogate") from error


def _is_too_deep(value: Any) -> bool:
    """Return whether arrays and objects are nested deeper than `MAX_DEPTH` levels."""
    level = [value]
    for _ in range(MAX_DEPTH):
        containers = [each for each in level if isinstance(each, dict | list)]
        level = [item for each in containers for item in (each.values() if isinstance(each, dict) else each)]
        if not level:
            return False
    return True
