"""Encoding and decoding of operations and their results."""

import pytest

from silverglade.control import operation_results as results
from silverglade.control import operations
from silverglade.transport.message_schemas import is_valid_message

OPERATIONS = [
    (("config", (1, 2), {"zones": {}}), operations.ConfigurationChange((1, 2), {"zones": {}})),
    (("table", 3, 4, {"zones": {}}, "text"), operations.NumberedConfigurationChange(3, 4, {"zones": {}}, "text")),
    (("read",), operations.ReadSource()),
    (("evac", "north", True), operations.Evacuate("north", True)),
    (("evac", "north", False, (1, 2)), operations.Evacuate("north", False, (1, 2))),
    (("reopen", "tenant"), operations.ReopenShard("tenant")),
    (("reopen", "tenant", (1, 2)), operations.ReopenShard("tenant", (1, 2))),
    (("duty", "shard", "tenant", 3, "a", "b"), operations.AssignRole("shard", "tenant", 3, "a", "b")),
    (
        ("duties", (("shard", "tenant", 3, "a", "b"),)),
        operations.AssignRoles((operations.AssignRole("shard", "tenant", 3, "a", "b"),)),
    ),
    (("drop", "ledger", ("r1", "r2")), operations.DropRoles("ledger", ("r1", "r2"))),
]
RESULTS = [
    (("ok", (1, 2)), results.Acknowledged((1, 2))),
    (("ok", (1, 2), "text"), results.SourceRead((1, 2), "text")),
    (("refuse", 501, "in force is 3"), results.Refused(501, "in force is 3")),
    (("elsewhere", "a"), results.Redirected("a")),
    (("unknown",), results.OutcomeUnknown()),
    (("stale",), results.Stale()),
]


@pytest.mark.parametrize("raw,operation", OPERATIONS, ids=lambda value: value[0] if isinstance(value, tuple) else "")
def test_an_operation_survives_decoding_and_encoding_unchanged(raw, operation):
    assert operations.decode_operation(raw) == operation
    assert operation.encode() == raw
    assert is_valid_message(("op", 1, "change", raw, "digest"))


@pytest.mark.parametrize("raw", [("evac", "north", 1), ("read", 1), ("later", 1), ("reopen",)])
def test_a_malformed_operation_keeps_its_raw_array(raw):
    assert operations.decode_operation(raw) == operations.UnknownOperation(raw)
    assert operations.UnknownOperation(raw).encode() == raw


@pytest.mark.parametrize("raw,result", RESULTS, ids=lambda value: value[0] if isinstance(value, tuple) else "")
def test_a_result_survives_decoding_and_encoding_unchanged(raw, result):
    assert results.decode_result(raw) == result
    assert result.encode() == raw


def test_an_unrecognized_result_differs_from_an_unknown_outcome():
    assert results.decode_result(("later", 1)) == results.UnrecognizedResult(("later", 1))
