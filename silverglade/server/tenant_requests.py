"""The I/O of tenants' requests (design 6, 7.6): delivers results to clients and dispatches requests to replicas."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

import anyio
import httpcore

from ..runtime import result_codes
from ..runtime.events import ClientDisconnected, ClientReadProgressed, DispatchProgressed, TenantRequestArrived
from . import replica_calls
from .priority_queues import PriorityQueues, Queue
from .replica_calls import DispatchRequest

if TYPE_CHECKING:
    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

RESULT_QUEUE_LENGTH = 256
"""Results buffered for one client. While more than half of them are in use, no more is read from the replica."""

CLIENT_CHECK_INTERVAL_S = 0.01
"""Interval between checks whether a client has caught up."""

FINAL_RESULTS = ("whole", "done", "fault")
"""Kinds of results that end a request."""

Result = tuple[Any, ...]
"""("key", key, is new), ("whole", body), ("piece", number, data), ("done", number) or ("fault", code, ran, retry in ms or None, detail)."""


class TenantRequests:
    """The tenants' requests received by this daemon, and the dispatches that it runs.

    :param event_counts: counts of log events; final results are counted there too, as "code-N".
    :ivar result_streams: request id -> stream of the results for its client.
    :ivar dispatches: dispatch id -> its cancel scope.
    :ivar paused: ids of requests for which reading from the replica is paused until the client has caught up.
    """

    def __init__(self, *, queues: PriorityQueues, pool: httpcore.AsyncConnectionPool, event_counts: Counter[str]) -> None:
        self.result_streams: dict[str, MemoryObjectSendStream[Result]] = {}
        self.dispatches: dict[str, anyio.CancelScope] = {}
        self.paused: set[str] = set()
        self._queues = queues
        self._pool = pool
        self._event_counts = event_counts

    # called by the HTTP API

    def submit(self, request_id: str, facts: Any) -> MemoryObjectReceiveStream[Result]:
        """Queue a request and return the stream of its results.

        :raises OverloadedError: the admission queue is full.
        """
        sender, receiver = anyio.create_memory_object_stream[Result](RESULT_QUEUE_LENGTH)
        self._queues.admit(TenantRequestArrived(request_id, facts))
        self.result_streams[request_id] = sender
        return receiver

    async def abandon(self, request_id: str) -> None:
        """Report that the client of a request has disconnected, unless the request has ended."""
        if self.result_streams.pop(request_id, None):
            await self._queues.send(ClientDisconnected(request_id), Queue.ADMISSION)

    async def acknowledge(self, request_id: str, position: int) -> None:
        """Report that a client has consumed its results up to this position, so that the sender may continue (design 6.6)."""
        await self._queues.send(ClientReadProgressed(request_id, position), Queue.WORK)

    # effects of the daemon machine

    def deliver(self, task_group: TaskGroup, request_id: str, kind: str, details: Sequence[Any]) -> None:
        """Pass a result to the client's stream. If the stream is full or closed, the request is treated as abandoned by its client."""
        stream = self.result_streams.get(request_id)
        if stream is None:
            return
        try:
            stream.send_nowait((kind, *details))
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self.result_streams.pop(request_id)
            stream.close()
            task_group.start_soon(self._queues.send, ClientDisconnected(request_id), Queue.ADMISSION)
            return
        if kind in FINAL_RESULTS:
            self.result_streams.pop(request_id)
            stream.close()
            code = details[0] if kind == "fault" else result_codes.OK
            self._event_counts[f"code-{code}"] += 1

    def set_backpressure(self, request_id: str, should_read: bool) -> None:
        """Continue or pause reading the replica's response."""
        if should_read:
            self.paused.discard(request_id)
        else:
            self.paused.add(request_id)

    def abort(self, dispatch_id: str) -> None:
        """Cancel a dispatch."""
        scope = self.dispatches.pop(dispatch_id, None)
        if scope:
            scope.cancel()

    async def dispatch(self, dispatch_id: str, address: str, facts: Mapping[str, Any], body: bytes) -> None:
        """Send a request to a replica and report its progress to the daemon machine."""
        request_id = dispatch_id.rsplit(".", 1)[0]

        async def report(*outcome: Any) -> None:
            await self._queues.send(DispatchProgressed(dispatch_id, outcome), Queue.WORK)

        async def wait_for_client() -> None:
            while self._is_client_behind(request_id):
                await anyio.sleep(CLIENT_CHECK_INTERVAL_S)

        with anyio.CancelScope() as scope:
            self.dispatches[dispatch_id] = scope
            try:
                await replica_calls.dispatch(
                    pool=self._pool,
                    request=DispatchRequest.from_facts(dispatch_id, address, facts, body),
                    report=report,
                    wait_for_client=wait_for_client,
                )
            finally:
                self.dispatches.pop(dispatch_id, None)
                self.paused.discard(request_id)

    def _is_client_behind(self, request_id: str) -> bool:
        """Return whether the client has to catch up before more is read from the replica."""
        if request_id in self.paused:
            return True
        stream = self.result_streams.get(request_id)
        return stream is not None and stream.statistics().current_buffer_used > RESULT_QUEUE_LENGTH // 2
