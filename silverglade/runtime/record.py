"""Records: classes with named fields whose definition is cheap.

A daemon loads about two hundred of them and instantiates only some. `dataclasses.dataclass` generates and compiles an `__init__` for
each class when it is defined, which took a tenth of a daemon's start-up time (docs/measures.md). A record class compiles its
`__init__` when its first instance is created; from then on it costs as much as a dataclass with slots.

    class Point(Record):
        x: int
        y: int = 0

The fields are the annotations in order, those of the base class first, without `ClassVar`s. Instances have slots, are equal if
they have the same class and equal fields, and are not hashable. Modules that define records use `from __future__ import annotations`.
"""

from __future__ import annotations

import operator
from collections.abc import Callable, Mapping
from typing import Any, ClassVar, dataclass_transform

NO_DEFAULT = object()
"""Sentinel for a field without a default."""

NOT_GIVEN = object()
"""Sentinel for an omitted argument whose field has a default factory."""


class FieldFactory:
    """Creates a new default value of a field for each instance."""

    __slots__ = ("make",)

    def __init__(self, make: Callable[[], Any]) -> None:
        self.make = make


def field(*, default_factory: Callable[[], Any]) -> Any:
    """Declare a field whose default is created anew for each instance."""
    return FieldFactory(default_factory)


def _init_on_first_use(self: Any, *values: Any, **named: Any) -> None:
    """Compile the `__init__` of a record class on the first instantiation, and call it."""
    record_class = type(self)
    record_class.__init__ = _new_init(record_class)
    record_class.__init__(self, *values, **named)


def _parameter(field_and_default: tuple[str, Any]) -> str:
    """Return the source text of one parameter of an `__init__`."""
    name, default = field_and_default
    if default is NO_DEFAULT:
        return name
    return f"{name}=NOT_GIVEN" if isinstance(default, FieldFactory) else f"{name}=defaults['{name}']"


def _new_init(record_class: Any) -> Callable[..., None]:
    """Compile an `__init__` that accepts the fields of this class by position or by keyword and sets them."""
    defaults = record_class.FIELD_DEFAULTS
    lines = [f"def __init__({', '.join(['self', *map(_parameter, defaults.items())])}):", "    pass"]
    for name, default in defaults.items():
        value = f"defaults['{name}'].make() if {name} is NOT_GIVEN else {name}" if isinstance(default, FieldFactory) else name
        lines.append(f"    self.{name} = {value}")
    namespace: dict[str, Any] = {"defaults": defaults, "NOT_GIVEN": NOT_GIVEN}
    exec("\n".join(lines), namespace)
    init: Callable[..., None] = namespace["__init__"]
    return init


@dataclass_transform(field_specifiers=(field,))
class RecordType(type):
    """Metaclass of record classes: turns the annotations of a class into slots."""

    def __new__(mcs, name: str, bases: tuple[type, ...], namespace: dict[str, Any]) -> RecordType:
        """Create a record class from the annotations and defaults in its namespace."""
        own = [field for field, annotation in namespace.get("__annotations__", {}).items() if not annotation.startswith("ClassVar")]
        defaults = {field: namespace.pop(field, NO_DEFAULT) for field in own}
        base = bases[0] if bases else None
        namespace["__slots__"] = tuple(own)
        namespace["__match_args__"] = (*getattr(base, "__match_args__", ()), *own)
        namespace["FIELD_DEFAULTS"] = {**getattr(base, "FIELD_DEFAULTS", {}), **defaults}
        namespace["__init__"] = _init_on_first_use
        return super().__new__(mcs, name, bases, namespace)


class Record(metaclass=RecordType):
    """Base class of records.

    :cvar FIELD_DEFAULTS: field name to its default, to a `FieldFactory`, or to `NO_DEFAULT`.
    """

    FIELD_DEFAULTS: ClassVar[Mapping[str, Any]]

    def __eq__(self, other: object) -> bool:
        return type(other) is type(self) and fields_of(self) == fields_of(other)

    def __repr__(self) -> str:
        return f"{type(self).__name__}{fields_of(self)!r}"


def field_names(record_class: type) -> tuple[str, ...]:
    """Return the names of the fields of a record class or dataclass, in order."""
    names: tuple[str, ...] = record_class.__match_args__  # type: ignore[attr-defined]
    return names


def required_field_count(record_class: type[Record]) -> int:
    """Return how many fields of a record class have no default."""
    return sum(default is NO_DEFAULT for default in record_class.FIELD_DEFAULTS.values())


_fields_readers: dict[type, Callable[[Any], tuple[Any, ...]]] = {}


def fields_of(record: Any) -> tuple[Any, ...]:
    """Return the values of all fields of a record, in order."""
    reader = _fields_readers.get(type(record))
    if reader is None:
        reader = _fields_readers[type(record)] = _new_fields_reader(type(record))
    return reader(record)


def _new_fields_reader(record_class: type) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that reads the values of all fields of an instance of this class."""
    names = field_names(record_class)
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda record: tuple([getattr(record, name) for name in names])
