"""Results: the parts of the answer to a tenant's request, as I/O takes them for the client.

First the request's key, then pieces or one whole body, and last "done" or a fault. A whole body ends the answer by itself.
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
"""After one of these nothing follows."""

RETRY_AFTER_MS: Final = 1000
"""When the client of a refused request may come back."""


def key_result(request_id: str, key: str, is_streamed: bool) -> TenantResult:
    """The idempotency key under which the request runs."""
    return TenantResult(request_id, KEY, (key, is_streamed))


def piece_result(request_id: str, number: int, data: bytes) -> TenantResult:
    """A piece of a streamed answer; numbers count from 1."""
    return TenantResult(request_id, PIECE, (number, data))


def whole_result(request_id: str, data: bytes) -> TenantResult:
    """The answer in one."""
    return TenantResult(request_id, WHOLE, (data,))


def done_result(request_id: str, pieces: int) -> TenantResult:
    """A streamed answer is complete."""
    return TenantResult(request_id, DONE, (pieces,))


def fault_result(request_id: str, code: int, ran: str, retry_after_ms: Any, *detail: str) -> TenantResult:
    """The request failed or is refused.

    :param code: a result code.
    :param ran: what is known of whether it ran (execution.py).
    :param retry_after_ms: None where another attempt is of no use.
    """
    return TenantResult(request_id, FAULT, (code, ran, retry_after_ms, *detail))
