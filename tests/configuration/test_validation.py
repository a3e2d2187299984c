"""Rules of fields (design 8.2): what each keeps, and the message and path of what it refuses."""

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
def test_a_value_that_follows_its_rule_is_kept(rule, value, kept):
    assert validate(rule, value) == (kept, ()) and type(validate(rule, value)[0]) is type(kept)


@pytest.mark.parametrize(
    "rule,value,path,message",
    [
        (rules.text(most=3), "long", "", "wants text of 1 to 3 letters"),
        (rules.integer(), True, "", "wants a whole number from 0 to 9007199254740992"),
        (rules.integer(least=2, most=3), 4, "", "wants a whole number from 2 to 3"),
        (rules.number(), float("nan"), "", "wants a number from 0.0 to 1000000000000.0"),
        (rules.number(), False, "", "wants a number from 0.0 to 1000000000000.0"),
        (rules.duration(), 0, "", "wants seconds above 0, at most 86400"),
        (rules.boolean(), 1, "", "wants true or false"),
        (rules.address(), "localhost:80", "", "wants an address IP:PORT"),
        (rules.address(), "127.0.0.1:65536", "", "wants an address IP:PORT"),
        (rules.address(), "127.0.0.1:0", "", "wants an address IP:PORT"),
        (rules.address(), 80, "", "wants an address IP:PORT"),
        (rules.one_of("a", "b"), "c", "", "wants one of a, b"),
        (TEXTS, "a", "", "wants a list"),
        (TEXTS, [], "", "wants at least 1"),
        (TEXTS, ["a", "a"], "", "has the same entry twice"),
        (TEXTS, ["a", ""], "[1]", "wants text of 1 to 200 letters"),
        (NUMBERS, [], "", "wants a table"),
        (NUMBERS, {}, "", "wants at least 1"),
        (NUMBERS, {"a/b": 1}, ".a/b", "wants a name of 1 to 100 letters without /"),
        (NUMBERS, {"a": "1"}, ".a", "wants a whole number from 0 to 9007199254740992"),
        (rules.record({"a": rules.integer()}), [], "", "wants a table"),
        (rules.record({"a": rules.integer()}), {}, "a", "missing"),
        (rules.record({}), {"b": 1}, "b", "unknown key"),
        (rules.record({"a": rules.record({})}), {"a": {"b": 1}}, "a.b", "unknown key"),
    ],
)
def test_a_value_that_breaks_its_rule_is_refused_with_its_path(rule, value, path, message):
    assert validate(rule, value)[1] == (ValidationError(path, message),)


def test_a_field_may_stay_left_out():
    rule = rules.record({"a": rules.record({"b": rules.integer()}, default=rules.LEFT_OUT)})
    assert validate(rule, {}) == ({}, ())
    assert validate(rule, {"a": {"b": 1}}) == ({"a": {"b": 1}}, ())
    assert validate(rule, {"a": {}})[1] == (ValidationError("a.b", "missing"),)
