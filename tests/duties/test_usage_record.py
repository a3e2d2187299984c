"""A window of usage is recorded once, by the holder alone, before it is sent (design 18.2)."""

import pytest

from silverglade.control import decisions
from silverglade.control.decision_types import Apply
from silverglade.control.operation_results import Refused
from silverglade.control.operations import RecordUsage, decode_operation
from silverglade.control.replicated_state import items_since, usage_record
from silverglade.testbed.simulator import control_cluster as council
from silverglade.transport.message_schemas import is_valid_operation
from tests.support.source_mutation import without

COUNTS = (("t1", 3), ("t2", 5))


def store(epoch=4, recorded=None):
    rows = {"duty/platform/usage": ((1, 1), (epoch, "a", ""))}
    if recorded is not None:
        rows["usage"] = ((1, 2), (recorded, COUNTS))
    return rows


def decided(rows, *, epoch=4, window=7):
    return decisions.decide(rows, RecordUsage(epoch, window, COUNTS), (1, 3))


def test_the_holder_records_a_window():
    assert decided(store()) == Apply((("usage", (7, COUNTS)),))
    assert decided(store(recorded=6)) == Apply((("usage", (7, COUNTS)),))


# Guards against: a former holder and its successor report one window with different counts.
@pytest.mark.parametrize("rows", [{}, store(epoch=5), store(epoch=3)])
def test_an_operation_with_another_epoch_is_refused(rows):
    assert isinstance(decided(rows), Refused)


# Guards against: a holder that has lost its record of a report reports the window again with different counts.
@pytest.mark.parametrize("recorded", [7, 8])
def test_a_window_is_recorded_once(recorded):
    assert isinstance(decided(store(recorded=recorded)), Refused)


def test_without_the_guards_both_operations_are_accepted(monkeypatch):
    without(
        monkeypatch,
        "silverglade.control.decisions",
        ("held is None or held.epoch != operation.base_epoch", "operation.window <= recorded.window"),
        ("False", "False"),
        "silverglade.control.decisions.decide_usage",
    )
    assert isinstance(decided(store(epoch=5)), Apply) and isinstance(decided(store(recorded=7)), Apply)


def test_usage_records_are_sent_to_cores_only():
    rows = store(recorded=7)
    assert [key for key, _, _ in items_since(rows, (0, 0))] == ["duty/platform/usage"]
    assert [key for key, _, _ in items_since(rows, (0, 0), for_core=True)] == ["duty/platform/usage", "usage"]
    assert usage_record(rows) == (7, COUNTS)


@pytest.mark.parametrize(
    "fields, is_valid",
    [
        ((1, 2, COUNTS), True),
        ((1, 2, ()), True),
        ((1, 2), False),
        ((1, "2", COUNTS), False),
        ((1, 2, (("t", -1),)), False),
        ((1, 2, (("t", 1), ("t", 2))), False),
        ((1, 2, (("t", 1, 2),)), False),
        ((1, 2, COUNTS, (1, 1)), False),
        ((1, 2, tuple((f"t{n}", 1) for n in range(4097))), False),
    ],
)
def test_malformed_usage_operations_are_rejected(fields, is_valid):
    assert is_valid_operation(("usage", *fields)) is is_valid


def test_the_usage_operation_survives_encoding_and_decoding():
    operation = RecordUsage(4, 7, COUNTS)
    assert decode_operation(operation.encode()) == operation


class Client:
    def __init__(self):
        self.received = []

    def told(self, frm, body):
        self.received.append(body[1:])


def test_usage_records_are_replicated_to_the_backups():
    cluster = council.settled(seed=4, size=3, tolerance=(1, 1, 1), operators=0)
    cluster.clients["edge"] = client = Client()
    primary = cluster.cores[cluster.primary()]
    primary.feed(("msg", "edge", ("op", 1, "", ("duty", "platform", "usage", 0, "a", ""), "")))
    primary.feed(("msg", "edge", ("op", 2, "", RecordUsage(1, 7, COUNTS).encode(), "")))
    primary.feed(("msg", "edge", ("op", 3, "", RecordUsage(1, 7, ()).encode(), "")))
    cluster.run(2)
    assert [(number, outcome[0]) for number, outcome in client.received] == [(1, "ok"), (2, "ok"), (3, "refuse")]
    members = [core for core in cluster.cores.values() if core.name in (primary.state.view.primary, *primary.state.view.backups)]
    held = [usage_record(core.state.store) for core in members]
    assert len(held) >= 2 and set(held) == {(7, COUNTS)}
