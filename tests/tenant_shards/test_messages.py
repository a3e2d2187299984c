"""Messages about shards and slots: the bodies that travel, and the classes behind the door."""

import pytest

from silverglade.runtime.record import field_names, required_field_count
from silverglade.tenant_shards.messages import MESSAGE_CLASSES, Grant, GrantRequestFacts, decode, encode
from silverglade.transport.message_schemas import MESSAGE_SHAPES

SAMPLE_VALUES = {"s": "text", "i": 7, "b": True, "t": (), "?": None}


def sample_body(tag):
    """A body of the shape that is checked on the wire, with all fields that the class knows."""
    shape = MESSAGE_SHAPES[tag].removesuffix("...")
    fields = [SAMPLE_VALUES[letter] for letter in shape]
    missing = len(field_names(MESSAGE_CLASSES[tag])) - len(fields)
    return (tag, *fields, *[True] * missing)


@pytest.mark.parametrize("tag", MESSAGE_CLASSES)
def test_a_class_has_the_fields_that_are_checked_on_the_wire(tag):
    shape = MESSAGE_SHAPES[tag]
    known = len(field_names(MESSAGE_CLASSES[tag]))
    assert known == len(shape) if not shape.endswith("...") else known >= len(shape.removesuffix("..."))


@pytest.mark.parametrize("tag", MESSAGE_CLASSES)
def test_a_message_travels_as_the_plain_body_it_came_from(tag):
    body = sample_body(tag)
    message = decode(body)
    assert type(message) is MESSAGE_CLASSES[tag]
    assert encode(message) == body and type(encode(message)) is tuple


@pytest.mark.parametrize("tag", MESSAGE_CLASSES)
def test_fields_of_a_later_program_are_dropped_and_a_short_body_is_no_message(tag):
    body = sample_body(tag)
    assert encode(decode((*body, "later"))) == body
    required = 1 + required_field_count(MESSAGE_CLASSES[tag])
    assert decode(body[: required - 1]) is None


def test_a_grant_of_an_earlier_program_is_of_no_retry():
    assert decode(("grant", "r", 1, "m", 1, "a:1", 3, False)) == Grant("r", 1, "m", 1, "a:1", 3, False, is_retry=False)


def test_a_kind_of_another_package_is_no_message_here():
    assert decode(("hb", 1)) is None


@pytest.mark.parametrize(
    ("rest", "attempt"), [((), 0), ((2,), 2), ((2, "later"), 2), (("2",), 0), ((True,), 0)], ids=["none", "known", "later", "text", "flag"]
)
def test_the_attempt_of_the_client_is_taken_where_it_is_known(rest, attempt):
    assert GrantRequestFacts.of(("chat", "key", "", 500, *rest)) == GrantRequestFacts("chat", "key", "", 500, attempt)
