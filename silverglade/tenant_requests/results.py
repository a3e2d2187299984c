"""Results: the parts of the answer to a tenant's request, as handed to the I/O layer for the client.

The request's key comes first, then pieces or one whole body, and finally "done" or a fault. A whole body also ends the answer.
"""

from __future__ import annotations

from typing import Any, Final

from ..runtime.effects import TenantResult

KEY: Final = "key"
PIECE: Final = "piece"
WHOLE: Final = "whole"
DONE: Final = "done"
FAULT: Final = "fault"

LAST_RESULTS = frozenset((WHOLE, DONE, FAULT))
"""Kinds of result that end the answer."""

RETRY_AFTER_MS: Final = 1000
"""Default time after which the client of a refused request may retry."""


def key_result(request_id: str, key: str, is_streamed: bool) -> TenantResult:
    """Return the result that gives the idempotency key of the request."""
    return TenantResult(request_id, KEY, (key, is_streamed))


def piece_result(request_id: str, number: int, data: bytes) -> TenantResult:
    """Return the result for a piece of a streamed answer; pieces are numbered from 1."""
    return TenantResult(request_id, PIECE, (number, data))


def whole_result(request_id: str, data: bytes) -> TenantResult:
    """Return the result for a complete answer that is not streamed."""
    return TenantResult(request_id, WHOLE, (data,))


def done_result(request_id: str, pieces: int) -> TenantResult:
    """Return the result that ends a streamed answer after this many pieces."""
    return TenantResult(request_id, DONE, (pieces,))


def fault_result(request_id: str, code: int, ran: str, retry_after_ms: Any, *detail: str) -> TenantResult:
    """Return the result for a request that failed or is refused.

    :param code: a result code.
    :param ran: whether the request ran, as a value of execution.py.
    :param retry_after_ms: time after which the client may retry; None if a retry is useless.
    """
    return TenantResult(request_id, FAULT, (code, ran, retry_after_ms, *detail))
