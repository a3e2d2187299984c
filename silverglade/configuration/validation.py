"""Validation of nested dictionaries against typed rules (design 8.2): every error is reported with its path.

The functions below (`text`, `integer`, `record`, ...) return a `FieldRule`. `validate` applies a rule to a value and returns the
value to keep, with defaults filled in, and all errors. The value may be used only if there are no errors.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from ..runtime.outside_input import is_address

MISSING = object()
"""The default of a required field."""

OMITTED = object()
"""The default of a field that is absent from the record if it is not given, so that records stored before the field existed do not
change."""

MAX_NAME_LENGTH = 100
"""Longest name in a `mapping_of`, in characters."""


class ValidationError(NamedTuple):
    """One error in a value.

    :ivar path: the faulty field, such as "routes[0].prefix"; empty for the whole value.
    :ivar message: the requirement that is not met, such as "must be a list".
    """

    path: str
    message: str


Check = Callable[[Any, str, list[ValidationError]], Any]
"""A function (value, path, errors) that appends the errors found to `errors` and returns the value to keep."""


class FieldRule:
    """A rule that the value of a field must follow.

    :ivar check: the function that checks a value.
    :ivar default: the value of a field that is not given, `MISSING`, or `OMITTED`.
    """

    __slots__ = ("check", "default")

    def __init__(self, check: Check, /, *, default: Any = MISSING) -> None:
        self.check = check
        self.default = default


def _is_number(value: Any) -> bool:
    """Return whether a value is an int or a float; a bool is not a number."""
    return type(value) in (int, float)


def text(*, default: Any = MISSING, least: int = 1, most: int = 200) -> FieldRule:
    """Rule for text of `least` to `most` characters."""

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        if not isinstance(value, str) or not least <= len(value) <= most:
            errors.append(ValidationError(path, f"must be text of {least} to {most} characters"))
        return value

    return FieldRule(check, default=default)


def integer(*, default: Any = MISSING, least: int = 0, most: int = 2**53) -> FieldRule:
    """Rule for a whole number from `least` to `most`."""

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        if type(value) is not int or not least <= value <= most:
            errors.append(ValidationError(path, f"must be a whole number from {least} to {most}"))
        return value

    return FieldRule(check, default=default)


def number(*, default: Any = MISSING, least: float = 0.0, most: float = 1e12) -> FieldRule:
    """Rule for a number from `least` to `most`, which is converted to a float."""

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        if not _is_number(value) or not least <= value <= most:
            errors.append(ValidationError(path, f"must be a number from {least} to {most}"))
            return value
        return float(value)

    return FieldRule(check, default=default)


def duration(*, default: Any = MISSING, most: float = 86400.0) -> FieldRule:
    """Rule for a duration of more than 0 and at most `most` seconds, which is converted to a timedelta. A timedelta is kept unchecked."""

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        if isinstance(value, timedelta):
            return value
        if not _is_number(value) or not 0 < value <= most:
            errors.append(ValidationError(path, f"must be a number of seconds greater than 0 and at most {most:g}"))
            return value
        return timedelta(seconds=value)

    return FieldRule(check, default=default)


def boolean(*, default: Any = MISSING) -> FieldRule:
    """Rule for true or false."""

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        if type(value) is not bool:
            errors.append(ValidationError(path, "must be true or false"))
        return value

    return FieldRule(check, default=default)


def address(*, default: Any = MISSING) -> FieldRule:
    """Rule for an address of the form IP:PORT."""

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        if not isinstance(value, str) or not is_address(value):
            errors.append(ValidationError(path, "must be an address IP:PORT"))
        return value

    return FieldRule(check, default=default)


def one_of(*choices: str, default: Any = MISSING) -> FieldRule:
    """Rule for one of the given strings."""

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        if value not in choices:
            errors.append(ValidationError(path, "must be one of " + ", ".join(choices)))
        return value

    return FieldRule(check, default=default)


def list_of(rule: FieldRule, *, default: Any = MISSING, least: int = 0, unique: bool = False) -> FieldRule:
    """Rule for a list whose entries all follow `rule`; it is converted to a tuple.

    :param least: the smallest number of entries.
    :param unique: whether all entries must be different.
    """

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        if not isinstance(value, (list, tuple)):
            errors.append(ValidationError(path, "must be a list"))
            return value
        if len(value) < least:
            errors.append(ValidationError(path, f"must have at least {least}"))
        entries = tuple([rule.check(entry, f"{path}[{index}]", errors) for index, entry in enumerate(value)])
        if unique and len({repr(entry) for entry in entries}) < len(entries):
            errors.append(ValidationError(path, "must not have the same entry twice"))
        return entries

    return FieldRule(check, default=default)


def mapping_of(rule: FieldRule, *, default: Any = MISSING, least: int = 0) -> FieldRule:
    """Rule for a dictionary from names to values that all follow `rule`.

    :param least: the smallest number of entries.
    """

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        if not isinstance(value, dict):
            errors.append(ValidationError(path, "must be a table"))
            return value
        if len(value) < least:
            errors.append(ValidationError(path, f"must have at least {least}"))
        for name in value:
            if not _is_entry_name(name):
                errors.append(ValidationError(f"{path}.{name}", f"must be a name of 1 to {MAX_NAME_LENGTH} characters without /"))
        return {name: rule.check(entry, f"{path}.{name}", errors) for name, entry in value.items()}

    return FieldRule(check, default=default)


def _is_entry_name(name: Any) -> bool:
    """Return whether a key of a dictionary is a valid name."""
    return isinstance(name, str) and 0 < len(name) <= MAX_NAME_LENGTH and "/" not in name


def record(fields: Mapping[str, FieldRule], *, default: Any = MISSING) -> FieldRule:
    """Rule for a dictionary with these fields and no others."""

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        if not isinstance(value, dict):
            errors.append(ValidationError(path, "must be a table"))
            return value
        for name in value:
            if name not in fields:
                errors.append(ValidationError(_field_path(path, name), "unknown key"))
        kept = {}
        for name, rule in fields.items():
            if name in value:
                kept[name] = rule.check(value[name], _field_path(path, name), errors)
            elif rule.default is MISSING:
                errors.append(ValidationError(_field_path(path, name), "missing"))
            elif rule.default is not OMITTED:
                kept[name] = rule.default
        return kept

    return FieldRule(check, default=default)


def _field_path(path: str, name: Any) -> str:
    """Return the path of a field of the record at `path`."""
    return f"{path}.{name}".lstrip(".")


def optional(rule: FieldRule) -> FieldRule:
    """Rule for a field that may be left out or None; its value is None in both cases."""

    def check(value: Any, path: str, errors: list[ValidationError]) -> Any:
        return None if value is None else rule.check(value, path, errors)

    return FieldRule(check, default=None)


def omittable(rule: FieldRule) -> FieldRule:
    """Rule for a field that may be left out, and is then absent from the record."""
    return FieldRule(rule.check, default=OMITTED)


def validate(rule: FieldRule, value: Any) -> tuple[Any, tuple[ValidationError, ...]]:
    """Apply a rule to a value.

    :returns: the value to keep and the errors, in the order in which they were found.
    """
    errors: list[ValidationError] = []
    kept = rule.check(value, "", errors)
    return kept, tuple(errors)
