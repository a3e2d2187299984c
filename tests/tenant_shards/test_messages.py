"""Messages about shards and slots: conversion between wire form and message classes."""

import pytest

from silverglade.runtime.record import field_names, required_field_count
from silverglade.tenant_shards.messages import MESSAGE_CLASSES, Grant, GrantRequestFacts, decode, encode
from silverglade.transport.message_schemas import MESSAGE_SHAPES

SAMPLE_VALUES = {"s": "text", "i": 7, "b": True, "t": (), "?": None}


def sample_body(tag):
    """Return a body of the shape that is validated on the wire, with all fields of the class."""
    shape = MESSAGE_SHAPES[tag].removesuffix("...")
    fields = [SAMPLE_VALUES[letter] for letter in shape]
    missing = len(field_names(MESSAGE_CLASSES[tag])) - len(fields)
    return (tag, *fields, *[True] * missing)


@pytest.mark.parametrize("tag", MESSAGE_CLASSES)
def test_the_fields_of_a_class_match_the_validated_shape(tag):
    shape = MESSAGE_SHAPES[tag]
    known = len(field_names(MESSAGE_CLASSES[tag]))
    assert known == len(shape) if not shape.endswith("...") else known >= len(shape.removesuffix("..."))


@pytest.mark.parametrize("tag", MESSAGE_CLASSES)
def test_encoding_a_decoded_message_gives_the_same_body(tag):
    body = sample_body(tag)
    message = decode(body)
    assert type(message) is MESSAGE_CLASSES[tag]
    assert encode(message) == body and type(encode(message)) is tuple


@pytest.mark.parametrize("tag", MESSAGE_CLASSES)
def test_unknown_trailing_fields_are_dropped_and_a_short_body_is_rejected(tag):
    body = sample_body(tag)
    assert encode(decode((*body, "later"))) == body
    required = 1 + required_field_count(MESSAGE_CLASSES[tag])
    assert decode(body[: required - 1]) is None


def test_a_grant_without_the_retry_field_is_not_a_retry():
    assert decode(("grant", "r", 1, "m", 1, "a:1", 3, False)) == Grant("r", 1, "m", 1, "a:1", 3, False, is_retry=False)


def test_a_kind_of_another_package_is_not_decoded():
    assert decode(("hb", 1)) is None


@pytest.mark.parametrize(
    ("rest", "attempt"), [((), 0), ((2,), 2), ((2, "later"), 2), (("2",), 0), ((True,), 0)], ids=["none", "known", "later", "text", "flag"]
)
def test_the_client_attempt_is_optional(rest, attempt):
    assert GrantRequestFacts.of(("chat", "key", "", 500, *rest)) == GrantRequestFacts("chat", "key", "", 500, attempt)
