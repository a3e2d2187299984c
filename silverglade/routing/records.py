"""Records of services' replicas (design 15.4), as the platform's endpoint list has them.

A record travels as an array of its fields in the order given here; a later program may append fields.
"""

from __future__ import annotations

from typing import Any, NamedTuple


class EndpointRecord(NamedTuple):
    """One replica of a service.

    :ivar name: the replica's id; another one after each start.
    :ivar address: HOST:PORT.
    :ivar slots: requests that it runs at once.
    :ivar is_leaving: it takes nothing new; never taken back.
    :ivar slow_start_ms: for how long from now it bears less than usual.
    :ivar gone_in_ms: when it will be gone, or -1.
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
        """A record from its array; fields of a later program are dropped."""
        return row if isinstance(row, cls) else cls(*row[: len(cls._fields)])


FIELD_TYPES = (str, str, str, str, str, int, bool, int, int)
"""Types of the fields of an `EndpointRecord`, in their order."""


def is_endpoint_row(row: object) -> bool:
    """Whether an array from outside holds an endpoint record: enough fields, each of its very type."""
    if not isinstance(row, tuple) or len(row) < len(FIELD_TYPES):
        return False
    return all(type(value) is field_type for value, field_type in zip(row, FIELD_TYPES))
