"""Field rules (design 8.2): the value that each keeps, and the message and path of each error."""

from datetime import timedelta

import pytest

from silverglade.configuration import validation as rules
from silverglade.configuration.validation import ValidationError, validate

TEXTS = rules.list_of(rules.text(), least=1, unique=True)
NUMBERS = rules.mapping_of(rules.integer(), least=1)


@pytest.mark.parametrize(
    "rule,value,kept",
    [
        (rules.text(least=0), "", ""),
        (rules.integer(least=1), 1, 1),
        (rules.number(), 3, 3.0),
        (rules.duration(), 0.25, timedelta(milliseconds=250)),
        (rules.duration(), timedelta(seconds=2), timedelta(seconds=2)),
        (rules.boolean(), False, False),
        (rules.address(), "::1:80", "::1:80"),
        (rules.one_of("a", "b"), "b", "b"),
        (TEXTS, ["a", "b"], ("a", "b")),
        (NUMBERS, {"a": 1}, {"a": 1}),
        (rules.optional(NUMBERS), None, None),
        (rules.record({"a": rules.integer(default=7)}), {}, {"a": 7}),
    ],
)
def test_a_valid_value_is_kept(rule, value, kept):
    assert validate(rule, value) == (kept, ()) and type(validate(rule, value)[0]) is type(kept)


@pytest.mark.parametrize(
    "rule,value,path,message",
    [
        (rules.text(most=3), "long", "", "must be text of 1 to 3 characters"),
        (rules.integer(), True, "", "must be a whole number from 0 to 9007199254740992"),
        (rules.integer(least=2, most=3), 4, "", "must be a whole number from 2 to 3"),
        (rules.number(), float("nan"), "", "must be a number from 0.0 to 1000000000000.0"),
        (rules.number(), False, "", "must be a number from 0.0 to 1000000000000.0"),
        (rules.duration(), 0, "", "must be a number of seconds greater than 0 and at most 86400"),
        (rules.boolean(), 1, "", "must be true or false"),
        (rules.address(), "localhost:80", "", "must be an address IP:PORT"),
        (rules.address(), "127.0.0.1:65536", "", "must be an address IP:PORT"),
        (rules.address(), "127.0.0.1:0", "", "must be an address IP:PORT"),
        (rules.address(), 80, "", "must be an address IP:PORT"),
        (rules.one_of("a", "b"), "c", "", "must be one of a, b"),
        (TEXTS, "a", "", "must be a list"),
        (TEXTS, [], "", "must have at least 1"),
        (TEXTS, ["a", "a"], "", "must not have the same entry twice"),
        (TEXTS, ["a", ""], "[1]", "must be text of 1 to 200 characters"),
        (NUMBERS, [], "", "must be a table"),
        (NUMBERS, {}, "", "must have at least 1"),
        (NUMBERS, {"a/b": 1}, ".a/b", "must be a name of 1 to 100 characters without /"),
        (NUMBERS, {"a": "1"}, ".a", "must be a whole number from 0 to 9007199254740992"),
        (rules.record({"a": rules.integer()}), [], "", "must be a table"),
        (rules.record({"a": rules.integer()}), {}, "a", "missing"),
        (rules.record({}), {"b": 1}, "b", "unknown key"),
        (rules.record({"a": rules.record({})}), {"a": {"b": 1}}, "a.b", "unknown key"),
    ],
)
def test_an_invalid_value_is_reported_with_its_path(rule, value, path, message):
    assert validate(rule, value)[1] == (ValidationError(path, message),)


def test_an_omitted_field_is_absent_from_the_record():
    rule = rules.record({"a": rules.record({"b": rules.integer()}, default=rules.OMITTED)})
    assert validate(rule, {}) == ({}, ())
    assert validate(rule, {"a": {"b": 1}}) == ({"a": {"b": 1}}, ())
    assert validate(rule, {"a": {}})[1] == (ValidationError("a.b", "missing"),)
