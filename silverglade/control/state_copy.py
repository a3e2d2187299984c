"""Copies and fingerprints of a core's state, for the model checker, which explores many steps from one state."""

from __future__ import annotations

import copy
import dataclasses
import functools
import hashlib
import operator
import random
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

PRIMITIVE_TYPES = frozenset((str, int, bool, bytes, float, timedelta, type(None)))
"""Types whose values are immutable and are their own canonical form."""

MUTABLE_COLLECTIONS = frozenset((dict, set, list))

SHARED_FIELD = "tuning"
"""The field with the settings that all records share; it is not part of the state."""


@functools.cache
def field_names(kind: type) -> tuple[str, ...]:
    """Return the names of the fields of a dataclass that are part of the state."""
    return tuple(f.name for f in dataclasses.fields(kind) if f.name != SHARED_FIELD)


@functools.cache
def mutable_fields(kind: type) -> tuple[str, ...]:
    """Return the names of the fields of a dataclass that is changed in place; empty for any immutable type."""
    if not dataclasses.is_dataclass(kind) or kind.__dataclass_params__.frozen:  # type: ignore[attr-defined]
        return ()
    return tuple(f.name for f in dataclasses.fields(kind))


def copy_state(value: Any) -> Any:
    """Return a copy of a state, or of one of its fields.

    Only maps, sets, lists and the records that hold them are changed in place. These are copied; all other values are shared.
    """
    kind: type = type(value)
    if kind in PRIMITIVE_TYPES:
        return value
    if kind in MUTABLE_COLLECTIONS:
        return value.copy()
    names = mutable_fields(kind)
    if not names:
        return value
    clone: Any = object.__new__(kind)
    for name in names:
        held = getattr(value, name)
        setattr(clone, name, held if name == SHARED_FIELD else copy_state(held))
    return clone


def copy_random(rng: random.Random) -> random.Random:
    """Return a copy of a random number generator that will yield the same numbers as the original."""
    if type(rng) is not random.Random:
        return copy.deepcopy(rng)
    clone = random.Random(0)
    clone.setstate(rng.getstate())
    return clone


def canonical_form(value: Any) -> Any:
    """Return a value as nested tuples whose `repr` is the same for equal values, independent of the order of sets and maps."""
    kind: type = type(value)
    if kind in PRIMITIVE_TYPES:
        return value
    if isinstance(value, tuple | list):
        return (kind.__name__, *map(canonical_form, value))
    if isinstance(value, Mapping):
        return ("map", *sorted([(repr(canonical_form(k)), canonical_form(v)) for k, v in value.items()], key=operator.itemgetter(0)))
    if isinstance(value, set | frozenset):
        return ("set", *sorted([repr(canonical_form(x)) for x in value]))
    if dataclasses.is_dataclass(value):
        return (kind.__name__, *[canonical_form(getattr(value, name)) for name in field_names(kind)])
    return value


def fingerprint(*values: Any) -> bytes:
    """Return a 16-byte digest that is the same for equal values in any process."""
    return hashlib.blake2b(repr(canonical_form(values)).encode(), digest_size=16).digest()
