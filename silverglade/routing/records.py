"""Records of services' replicas (design 15.4), as read from the platform's endpoint list.

On the wire a record is an array of its fields in the order given here; a later version of the program may append fields.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ..runtime.outside_input import MAX_COUNT, MAX_MILLISECONDS


class EndpointRecord(NamedTuple):
    """One replica of a service.

    :ivar name: the replica's id; it changes with each start.
    :ivar address: HOST:PORT.
    :ivar slots: number of requests that it runs concurrently.
    :ivar is_leaving: whether it accepts no new requests; never reset.
    :ivar slow_start_ms: remaining slow start, during which its capacity is reduced.
    :ivar gone_in_ms: time until it is removed, or -1.
    """

    name: str
    address: str
    zone: str
    region: str
    service: str
    slots: int
    is_leaving: bool
    slow_start_ms: int
    gone_in_ms: int

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> EndpointRecord:
        """Build a record from its array; additional fields of a later version are dropped."""
        return row if isinstance(row, cls) else cls(*row[: len(cls._fields)])


FIELD_TYPES = (str, str, str, str, str, int, bool, int, int)
"""Types of the fields of an `EndpointRecord`, in their order."""


def is_endpoint_row(row: object) -> bool:
    """Return whether an untrusted array is a valid endpoint record: enough fields, each of the declared type, and no number too large."""
    if not isinstance(row, tuple) or len(row) < len(FIELD_TYPES):
        return False
    if not all(type(value) is field_type for value, field_type in zip(row, FIELD_TYPES)):
        return False
    record = EndpointRecord.of(row)
    return abs(record.slots) <= MAX_COUNT and max(abs(record.slow_start_ms), abs(record.gone_in_ms)) <= MAX_MILLISECONDS
