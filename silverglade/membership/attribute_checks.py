"""Checks of the attributes of member records (design 4.2), made when rows of soft state are read.

Components read attributes without further checks. An attribute with a name that is unknown here was set by a later version of the
software, and no component reads it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ..runtime.outside_input import MAX_COUNT, is_sent_integer

VIEW_MEMBERS_START = 1
"""Index of the first member's name in the attribute "view"; the epoch comes before it."""

REQUIREMENT_TYPES: tuple[tuple[type, ...], ...] = ((str,), (int,), (int, float), (int, float), (int, float), (bool,))
"""Types of the fields of a service's requirement in the attribute "parts" (autoscaling/tenant_scaler.py)."""


def _is_view(value: Any) -> bool:
    return (
        type(value) is tuple
        and len(value) > VIEW_MEMBERS_START
        and is_sent_integer(value[0])
        and all(type(name) is str for name in value[VIEW_MEMBERS_START:])
    )


def _is_version(value: Any) -> bool:
    return type(value) is tuple and len(value) == 2 and all(is_sent_integer(number) for number in value)


def _is_requirement(value: Any) -> bool:
    if type(value) is not tuple or len(value) < len(REQUIREMENT_TYPES):
        return False
    return all(type(field) in types for field, types in zip(value, REQUIREMENT_TYPES)) and all(
        abs(number) <= MAX_COUNT for number in value[1:5]
    )


def _are_requirements(value: Any) -> bool:
    return type(value) is tuple and all(_is_requirement(part) for part in value)


ATTRIBUTE_CHECKS: Mapping[str, Callable[[Any], bool]] = {
    "view": _is_view,
    "news": _is_version,
    "parts": _are_requirements,
    "front": lambda value: type(value) is str,
    "version": lambda value: type(value) is str,
    "serves": lambda value: type(value) is bool,
    "blind": lambda value: type(value) is bool,
}
"""Name of an attribute -> check of its value. The retry budget checks "pace" itself (tenant_shards/retry_budget.py)."""


def is_valid_attribute(name: str, value: Any) -> bool:
    """Whether an attribute's value is well-formed; unknown attributes always are."""
    check = ATTRIBUTE_CHECKS.get(name)
    return check is None or check(value)
