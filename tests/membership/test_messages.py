"""The messages of membership on the wire (design 4)."""

import pytest

from silverglade.membership.messages import (
    Delta,
    Heartbeat,
    HeartbeatKind,
    PublishRows,
    SuspicionCheck,
    SyncTables,
    UpdateRequest,
    decode,
    decode_delta,
)
from silverglade.membership.records import SoftStateRow
from silverglade.transport.framing import decode_frame, encode_frame
from silverglade.transport.message_schemas import is_valid_message, strip_unknown_fields

ROW = ("thing", "key", (1, 2), 7, "region", "process", 3)
MESSAGES = [
    (Heartbeat(3, HeartbeatKind.LAST), ("alive", 3, 1)),
    (SuspicionCheck(), ("doubted",)),
    (PublishRows((ROW[:5],)), ("told", (ROW[:5],))),
    (SyncTables(1, (("process", 3),), (("process", 2),), (ROW,)), ("sync", 1, (("process", 3),), (("process", 2),), (ROW,))),
]


@pytest.mark.parametrize(("message", "array"), MESSAGES, ids=lambda value: type(value).__name__)
def test_a_message_is_encoded_as_its_kind_and_fields(message, array):
    frame = encode_frame(sender="a", process_id="process", body=message.to_array())
    sent = decode_frame(frame[4:])[2]
    assert sent == array and is_valid_message(sent) and decode(sent) == message


def test_fields_of_a_later_version_are_ignored():
    assert decode(strip_unknown_fields(("alive", 3, 0, "later"))) == Heartbeat(3, HeartbeatKind.REGULAR)
    assert PublishRows(((*ROW[:5], "later", "later", "later"),)).readable() == [SoftStateRow(*ROW[:5])]
    assert SyncTables(1, (), (), ((*ROW, "later"),)).readable() == [SoftStateRow(*ROW)]


def test_unknown_kinds_and_messages_of_earlier_versions_decode_to_none():
    assert decode(("news", 1, (0, 0), (), 0, 0)) is None
    assert decode(("get", 1, (0, 0))) is None
    assert decode(("get", 1, (0, 0), 7)) == UpdateRequest(1, (0, 0), 7)


@pytest.mark.parametrize(
    "row",
    [
        ("daemon", "x", (1, 1), ("y", "process", 1, 1, "z", "r", "a", "h", True, "ready", (), ()), ""),
        ("daemon", "x", (1, 1), ("x", "process", 0, 1, "z", "r", "a", "h", True, "ready", (), ()), ""),
        ("daemon", "x", (1, 1), ("x", "process", 1, 1, "z", "r", "a", "h", True, "asleep", (), ()), ""),
        ("daemon", "x", (1, 1), ("x",), ""),
        ("extra", "x", (1, 1), 1, ""),
        ("doubt", "x y", (1, 1), "1", ""),
        ("via", "x", (1, 1), 1, ""),
        ("silent", "x", (1,), (1, 2), ""),
    ],
    ids=lambda row: f"{row[0]}-{row[3]!r:.30}",
)
def test_a_malformed_row_is_ignored(row):
    good = ROW[:5]
    assert PublishRows((row, good)).readable() == [SoftStateRow(*good)]


def test_a_delta_contains_rows_or_asks_for_the_full_vector():
    assert decode_delta((-1,)) is None
    assert decode_delta((7, (("process", 3),), (ROW,), ("x",), "later")) == Delta(7, (("process", 3),), (ROW,), ("x",))
