"""Records behave like dataclasses with slots, whether the base class or the subclass is instantiated first."""

from __future__ import annotations

from typing import ClassVar

import pytest

from silverglade.runtime import effects, events
from silverglade.runtime.record import Record, field_names, fields_of, required_field_count


def new_classes():
    """Return a new base class and a subclass, neither of which has been instantiated."""

    class Base(Record):
        """A record with two fields."""

        TAG: ClassVar[str] = "b"
        first: int
        second: int = 2

    class Derived(Base):
        """A record with one more field."""

        third: str = "x"

    return Base, Derived


@pytest.mark.parametrize("base_first", [True, False])
def test_a_subclass_has_the_fields_of_its_base_before_its_own(base_first):
    base, derived = new_classes()
    if base_first:
        assert fields_of(base(1)) == (1, 2)
    assert fields_of(derived(1, third="y")) == (1, 2, "y") and fields_of(derived(first=5)) == (5, 2, "x")
    assert fields_of(base(1, 7)) == (1, 7)
    assert (field_names(derived), required_field_count(derived)) == (("first", "second", "third"), 1)


def test_records_are_equal_by_class_and_fields_and_have_slots():
    base, derived = new_classes()
    assert base(1) == base(1, 2) != base(2) and base(1, 2) != derived(1, 2)
    assert repr(base(1)) == "Base(1, 2)" and base.TAG == "b"
    with pytest.raises(AttributeError):
        base(1).other = 3
    with pytest.raises(TypeError):
        hash(base(1))


@pytest.mark.parametrize("values, named", [((), {}), ((1, 2, 3), {}), ((1,), {"other": 1}), ((1,), {"first": 1})])
def test_wrong_arguments_raise_type_error_on_the_first_and_later_instantiations(values, named):
    base, _ = new_classes()
    for _ in range(2):
        with pytest.raises(TypeError):
            base(*values, **named)


def test_a_record_can_be_matched_by_its_fields():
    base, _ = new_classes()
    match base(3):
        case base(first=first, second=second):
            assert (first, second) == (3, 2)


@pytest.mark.parametrize("module, base", [(events, events.Event), (effects, effects.Effect)], ids=["events", "effects"])
def test_every_event_and_effect_can_be_made_from_its_fields(module, base):
    classes = [each for each in vars(module).values() if isinstance(each, type) and issubclass(each, base) and each is not base]
    assert len(classes) > 20
    for each in classes:
        values = tuple(range(len(field_names(each))))
        assert fields_of(each(*values)) == values
