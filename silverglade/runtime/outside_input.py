"""Reading what comes from outside: total functions, which return a typed value or raise `InvalidInputError` and nothing else.

Clients, operators, replicas, the platform and files may send any bytes. Whatever a component is handed went through one of these, so
that no component has to expect, say, a number that is none (docs/proof.md lists the borders). Python's own functions take more than
the protocols allow: `str.isdigit` is true of "²", `int` takes "١" and "1_0", `json.loads` takes NaN, numbers without bound and text
that is no Unicode, none of which daemons can send each other.
"""

from __future__ import annotations

import json
import math
import re
import socket
from typing import Any

from .errors import InvalidInputError, MalformedJsonError

MAX_INTEGER, MIN_INTEGER = 2**63 - 1, -(2**63)
"""Whole numbers beyond do not travel between daemons."""

MAX_INTEGER_DIGITS = 19
"""Of a number in JSON, its sign not counted."""

MAX_PORT, MAX_PORT_DIGITS = 65535, 5

MAX_LENGTH_DIGITS = 20
"""Of a stated length of a body; the HTTP library refuses longer ones."""

MAX_DEPTH = 64
"""Arrays and objects within each other."""

SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")
"""Where it stands in JSON a text may hold half of a character, which cannot be encoded."""

VISIBLE_ASCII = re.compile(r"[\x21-\x7e]+(?:[ \t]+[\x21-\x7e]+)*")
"""A header's value that can be passed on: visible characters, with spaces or tabs between them only."""


def is_whole_number(text: str | bytes, *, max_digits: int) -> bool:
    """Whether a text is a whole number from 0, in ASCII digits."""
    return text.isascii() and text.isdigit() and len(text) <= max_digits


def is_address(text: str) -> bool:
    """Whether a text is IP:PORT; an IPv6 number may stand in brackets."""
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
    """Whether a text can be the value of a header that is passed on; empty is none."""
    return len(text) <= max_length and VISIBLE_ASCII.fullmatch(text) is not None


def parse_json(data: bytes | str) -> Any:
    """Return the value of a JSON document in UTF-8.

    :raises MalformedJsonError: it is no JSON; a number without end is none.
    :raises InvalidInputError: it holds what daemons cannot send each other: a number over 64 bits, half of a character, or arrays and
        objects nested too deep.
    """
    try:
        text = data.decode() if isinstance(data, bytes) else data
        value = json.loads(text, parse_int=_bounded_integer, parse_float=_finite_number, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise MalformedJsonError(f"no JSON: {type(error).__name__}") from error
    if _is_too_deep(value):
        raise InvalidInputError(f"nested deeper than {MAX_DEPTH}")
    if SURROGATE_ESCAPE.search(text):
        _check_characters(value)
    return value


def _bounded_integer(digits: str) -> int:
    if len(digits.lstrip("-")) > MAX_INTEGER_DIGITS or not MIN_INTEGER <= (number := int(digits)) <= MAX_INTEGER:
        raise InvalidInputError("a number over 64 bits")
    return number


def _finite_number(digits: str) -> float:
    number = float(digits)
    if not math.isfinite(number):
        raise MalformedJsonError("a number that is not finite")
    return number


def _refuse_constant(name: str) -> float:
    raise MalformedJsonError(f"{name} is no number")


def _check_characters(value: Any) -> None:
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise InvalidInputError("half of a character") from error


def _is_too_deep(value: Any) -> bool:
    """Whether arrays and objects lie deeper in each other than allowed."""
    level = [value]
    for _ in range(MAX_DEPTH):
        containers = [each for each in level if isinstance(each, dict | list)]
        level = [item for each in containers for item in (each.values() if isinstance(each, dict) else each)]
        if not level:
            return False
    return True
