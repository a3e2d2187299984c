"""Traces of the most recent requests received here, for `silverglade trace` (design 8.6); they hold no request content."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from boltons.cacheutils import LRI

from ..runtime.effects import to_milliseconds
from ..runtime.record import Record, field

MAX_TRACES = 512
"""Number of requests whose traces are kept."""


class RequestTrace(Record):
    """The trace of one request.

    :ivar key: its idempotency key; until admission the one that the client sent, which may be empty.
    :ivar steps: the recorded steps, each as (milliseconds since arrival, description).
    :ivar tenant: None until the request is admitted.
    """

    request_id: str
    key: str
    class_name: str
    arrived_at: timedelta
    steps: list[tuple[int, str]] = field(default_factory=list)
    tenant: str | None = None

    def record(self, now: timedelta, step: str) -> None:
        """Record a step at the current time."""
        self.steps.append((to_milliseconds(now - self.arrived_at), step))

    def to_row(self, now: timedelta) -> dict[str, Any]:
        """Return the trace in the form of the control API; "born" is the time since arrival in milliseconds."""
        row: dict[str, Any] = {
            "order": self.request_id,
            "key": self.key,
            "cls": self.class_name,
            "born": to_milliseconds(now - self.arrived_at),
            "steps": self.steps,
        }
        if self.tenant is not None:
            row["tenant"] = self.tenant
        return row


class RequestTraces:
    """The traces of the last `MAX_TRACES` requests, by request id."""

    def __init__(self) -> None:
        self._traces: LRI = LRI(max_size=MAX_TRACES)

    def begin(self, *, request_id: str, key: str, class_name: str, now: timedelta) -> RequestTrace:
        """Begin and return the trace of a request that has just arrived."""
        trace = RequestTrace(request_id, key, class_name, now)
        self._traces[request_id] = trace
        return trace

    def record(self, request_id: str, now: timedelta, step: str) -> None:
        """Record a step of a request, if its trace is still kept."""
        if request_id in self._traces:
            self._traces[request_id].record(now, step)

    def find(self, identifier: str, now: timedelta) -> list[dict[str, Any]]:
        """Return the traces of all requests with this request id or idempotency key, oldest first."""
        return [trace.to_row(now) for trace in self._traces.values() if identifier in (trace.request_id, trace.key)]
