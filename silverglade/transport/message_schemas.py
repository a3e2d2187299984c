"""The shape of every message between daemons (design 3.2), validated before a component handles the message.

A shape is a string with one letter for each field after the kind, in order; `FieldType` defines the letters. A shape that ends with
`ANY_REST` allows any further fields, which are passed to the component. `DEEP_CHECKS` has additional checks of nested values for some
kinds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any

from ..membership.replicated_table import is_delta, is_published_rows, is_stamped_rows, is_vector
from ..runtime.outside_input import MAX_MILLISECONDS, is_sent_integer
from .framing import Body

ANY_REST = "..."
"""Suffix of a shape that allows any further fields."""


class FieldType(StrEnum):
    """The letters of a shape, one for each type of field."""

    TEXT = "s"
    INTEGER = "i"  # an integer of at most MAX_SENT_INTEGER in absolute value
    MILLISECONDS = "m"  # an integer of at most MAX_MILLISECONDS in absolute value
    FLAG = "b"
    BYTES = "y"
    TUPLE = "t"
    VERSION = "v"  # (epoch, number): two non-negative integers
    BALLOT = "o"  # (number, proposer): an integer and a text
    ANYTHING = "?"


MESSAGE_SHAPES: dict[str, str] = {
    "alive": "ii",
    "doubted": "",
    "told": "t",
    "sync": "ittt",
    "lease": "siss",
    "release": "ssb",
    "renew": "sit",
    "leased": "ssi",
    "unleased": "sss",
    "offer": "siss",
    "ask": "sisit",
    "claimed": "sis",
    "unclaimed": "siss",
    "adopted": "sit",
    "unadopted": "sis",
    "copied": "sii",
    "fin": "sis",
    "quit": "s",
    "grant": "sisisib...",
    "deny": "siis?",
    "moved": "si",
    "hand": "ssssbisiy",
    "left": "s",
    "more": "si",
    "res": "sis...",
    "news": "ivtmm...",
    "opr": "it",
    "hb": "ivbsibmmm",
    "view": "?",
    "prep": "o",
    "acc": "o??",
    "prom": "oso??",
    "accd": "os",
    "nack": "oso",
    "snap": "ii?t",
    "snapok": "iis",
    "repl": "iivvt",
    "repd": "ii",
    "items": "ivvt",
    "pull": "v",
    "get": "iv...",
    "op": "ists",
    "fence": "it",
    "fenced": "iv",
    "load-ask": "isti",
    "load-told": "isi",
    "load-put": "siti",
    "load-read": "si",
    "claim": "sisssi",
    "mark": "sisss",
    "adopt": "si",
    "copy": "siit",
    "usage-put": "siit",
    "usage-got": "ii",
}
"""Kind of message -> shape of its fields."""

MAX_KNOWN_FIELDS = {"get": 4, "news": 7}
"""Kinds with an optional last field, added by a later program version -> number of known elements, including the kind."""

ITEM_SHAPE = "sv?"
"""An item of the store: key, version, value."""

CLAIM_SHAPE = "sssi"
"""A claim of a tenant's request."""

FACTS_SHAPE = "sssm"
"""The first four facts of a tenant's request, the last of them the time left; more follow."""

LEASE_SHAPE = "ss"
"""A slot lease: its id and its daemon."""

OPERATION_SHAPES = {
    "config": "v?",
    "table": "ii?s",
    "read": "",
    "evac": "sb",
    "reopen": "s",
    "duty": "ssiss",
    "drop": "st",
    "usage": "iit",
}
"""Kind of control operation -> shape of its fields."""

MAX_COUNTED_TENANTS = 4096
"""Most tenants in one usage report."""

GROUPED_ROLE_CHANGES = "duties"
"""The kind of an operation that contains several role changes."""

FENCED_OPERATIONS = ("evac", "reopen")
"""Operations that may carry, after their own fields, the store version that they are based on (design 5.4)."""

OPERATION_OUTCOMES = ("ok", "refuse", "elsewhere")
"""Outcomes of an operation whose fields are validated; other outcomes are passed on unchecked."""


def _is_version(value: Any) -> bool:
    """Return whether a value is a version: (epoch, number)."""
    return type(value) is tuple and len(value) == 2 and all(is_sent_integer(number) and number >= 0 for number in value)


def _is_ballot(value: Any) -> bool:
    """Return whether a value is a ballot: (number, name of the proposer)."""
    return type(value) is tuple and len(value) == 2 and is_sent_integer(value[0]) and type(value[1]) is str


FIELD_CHECKS: dict[str, Callable[[Any], bool]] = {
    FieldType.TEXT: lambda value: type(value) is str,
    FieldType.INTEGER: is_sent_integer,
    FieldType.MILLISECONDS: lambda value: type(value) is int and -MAX_MILLISECONDS <= value <= MAX_MILLISECONDS,
    FieldType.FLAG: lambda value: type(value) is bool,
    FieldType.BYTES: lambda value: type(value) is bytes,
    FieldType.TUPLE: lambda value: type(value) is tuple,
    FieldType.VERSION: _is_version,
    FieldType.BALLOT: _is_ballot,
    FieldType.ANYTHING: lambda value: True,
}


def _fields_fit(values: Iterable[Any], shape: str) -> bool:
    """Return whether each value has the type of its letter. Values beyond the last letter are not checked."""
    return all(FIELD_CHECKS[letter](value) for value, letter in zip(values, shape))


def has_valid_shape(body: Body) -> bool:
    """Return whether a message has a known kind and fields of the types in its shape. More fields may follow (design 3.2)."""
    shape = MESSAGE_SHAPES.get(body[0])
    if shape is None:
        return False
    fields = body[1:]
    shape = shape.removesuffix(ANY_REST)
    return len(fields) >= len(shape) and _fields_fit(fields, shape)


def strip_unknown_fields(body: Body) -> Body:
    """Return a message without the fields that a later program version has appended (design 3.2)."""
    kind = body[0]
    known = MAX_KNOWN_FIELDS.get(kind)
    if known:
        return body[:known]
    shape = MESSAGE_SHAPES[kind]
    return body if shape.endswith(ANY_REST) else body[: 1 + len(shape)]


def _is_row(row: Any, shape: str) -> bool:
    """Return whether a row has exactly this shape."""
    return type(row) is tuple and len(row) == len(shape) and _fields_fit(row, shape)


def _are_rows(rows: Iterable[Any], shape: str) -> bool:
    """Return whether every row has exactly this shape."""
    return all(_is_row(row, shape) for row in rows)


def _rows_in_field(position: int, shape: str) -> Callable[[Body], bool]:
    """Return a function that checks that every row in the element `position` of a message has this shape."""

    def check(body: Body) -> bool:
        return _are_rows(body[position], shape)

    return check


def _is_valid_publication(body: Body) -> bool:
    """Check ("told", rows of soft state)."""
    return bool(is_published_rows(body[1]))


def _is_valid_grant_request(body: Body) -> bool:
    """Check the first four facts of ("ask", request id, attempt, tenant, epoch, facts)."""
    return _is_row(body[5][: len(FACTS_SHAPE)], FACTS_SHAPE)


def _is_valid_sync(body: Body) -> bool:
    """Check ("sync", token, vector, vector of tombstones, rows)."""
    return bool(is_vector(body[2]) and is_vector(body[3]) and is_stamped_rows(body[4]))


def _is_valid_update_request(body: Body) -> bool:
    """Check ("get", call id, version), followed in later program versions by a token or a vector of soft state."""
    return len(body) == 3 or type(body[3]) is int or bool(is_vector(body[3]))


def _is_valid_operation_outcome(body: Body) -> bool:
    """Check ("opr", call id, (outcome, fields of the outcome))."""
    outcome = body[2]
    if not outcome or type(outcome[0]) is not str:
        return False
    if outcome[0] not in OPERATION_OUTCOMES:
        return True
    with_text = len(outcome) == 3
    return _is_row(outcome, {"ok": "svs" if with_text else "sv", "refuse": "sis", "elsewhere": "ss"}[outcome[0]])


def _is_valid_update(body: Body) -> bool:
    """Check ("news", call id, version, items, two ages in ms), followed in later program versions by a delta of soft state."""
    return _are_rows(body[3], ITEM_SHAPE) and (len(body) == 6 or bool(is_delta(body[6])))


def _is_valid_operation_message(body: Body) -> bool:
    """Check ("op", call id, change id, operation, key)."""
    operation = body[3]
    return bool(operation) and type(operation[0]) is str and is_valid_operation(operation)


def _is_valid_fence(body: Body) -> bool:
    """Check ("fence", call id, operation), which is sent for fenced operations only."""
    operation = body[2]
    return operation[:1] in (("evac",), ("reopen",)) and _is_row(operation[1:], OPERATION_SHAPES[operation[0]])


def _are_counts(counts: tuple[Any, ...]) -> bool:
    """Return whether these are valid (tenant, number of requests) pairs, with each tenant at most once."""
    if len(counts) > MAX_COUNTED_TENANTS or not _are_rows(counts, "si"):
        return False
    return len({tenant for tenant, _ in counts}) == len(counts) and all(0 <= requests <= MAX_MILLISECONDS for _, requests in counts)


def is_valid_operation(operation: Body) -> bool:
    """Return whether a control operation has a known kind and the shape of that kind."""
    if operation[:1] == (GROUPED_ROLE_CHANGES,):
        return len(operation) == 2 and type(operation[1]) is tuple and _are_rows(operation[1], OPERATION_SHAPES["duty"])
    if not operation or operation[0] not in OPERATION_SHAPES:
        return False
    kind, fields = operation[0], operation[1:]
    shape = OPERATION_SHAPES[kind]
    if kind == "usage":
        return _is_row(fields, shape) and _are_counts(fields[2])
    return _is_row(fields, shape) or kind in FENCED_OPERATIONS and _is_row(fields, shape + FieldType.VERSION)


DEEP_CHECKS: dict[str, Callable[[Body], bool]] = {
    "adopted": _rows_in_field(3, CLAIM_SHAPE),
    "copy": _rows_in_field(4, CLAIM_SHAPE),
    "told": _is_valid_publication,
    "sync": _is_valid_sync,
    "get": _is_valid_update_request,
    "renew": _rows_in_field(3, LEASE_SHAPE),
    "ask": _is_valid_grant_request,
    "opr": _is_valid_operation_outcome,
    "news": _is_valid_update,
    "snap": _rows_in_field(4, ITEM_SHAPE),
    "repl": _rows_in_field(5, ITEM_SHAPE),
    "items": _rows_in_field(4, ITEM_SHAPE),
    "op": _is_valid_operation_message,
    "fence": _is_valid_fence,
    "usage-put": lambda body: _are_counts(body[4]),
}
"""Kind of message -> check of the values nested in its fields, called for messages that have the shape of their kind."""


def is_valid_message(body: Body) -> bool:
    """Return whether a message may be passed to a component: its fields and the values nested in them are valid."""
    if not has_valid_shape(body):
        return False
    deep_check = DEEP_CHECKS.get(body[0])
    return deep_check is None or deep_check(body)
