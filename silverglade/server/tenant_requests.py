"""The I/O of tenants' requests (design 6, 7.6): results on their way to clients, dispatches on their way to replicas."""

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
"""Results that wait for one client. While it is half full the replica is not read on."""

CLIENT_CHECK_INTERVAL_S = 0.01
"""Between two looks at whether a client has caught up."""

FINAL_RESULTS = ("whole", "done", "fault")
"""Kinds of results after which no other follows."""

Result = tuple[Any, ...]
"""("key", key, is new), ("whole", body), ("piece", number, data), ("done", number) or ("fault", code, ran, ms to wait or None, detail)."""


class TenantRequests:
    """Tenants' requests that came in at this daemon, and dispatches that it runs.

    :param event_counts: counts of log events; the final results are counted there too, as "code-N".
    :ivar result_streams: request's id -> what its client is to get.
    :ivar dispatches: dispatch's id -> what cancels it.
    :ivar paused: requests whose client has to catch up before the replica is read on.
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
        """Queue a request and return its results, as they will come.

        :raises OverloadedError: too many wait already.
        """
        sender, receiver = anyio.create_memory_object_stream[Result](RESULT_QUEUE_LENGTH)
        self._queues.admit(TenantRequestArrived(request_id, facts))
        self.result_streams[request_id] = sender
        return receiver

    async def abandon(self, request_id: str) -> None:
        """Note that a request's client has left."""
        if self.result_streams.pop(request_id, None):
            await self._queues.send(ClientDisconnected(request_id), Queue.ADMISSION)

    async def acknowledge(self, request_id: str, position: int) -> None:
        """Note that a client has taken its results up to this one: whoever sends them on may go on (design 6.6)."""
        await self._queues.send(ClientReadProgressed(request_id, position), Queue.WORK)

    # effects of the daemon machine

    def deliver(self, task_group: TaskGroup, request_id: str, kind: str, details: Sequence[Any]) -> None:
        """Hand a result to the client; one that is too slow, or gone, is given up."""
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
        """Read the replica's response on, or no further."""
        if should_read:
            self.paused.discard(request_id)
        else:
            self.paused.add(request_id)

    def abort(self, dispatch_id: str) -> None:
        """Break a dispatch off."""
        scope = self.dispatches.pop(dispatch_id, None)
        if scope:
            scope.cancel()

    async def dispatch(self, dispatch_id: str, address: str, facts: Mapping[str, Any], body: bytes) -> None:
        """Send a request to a replica, and tell the daemon machine how it goes on."""
        request_id = dispatch_id.rsplit(".", 1)[0]

        async def report(*outcome: Any) -> None:
            await self._queues.send(DispatchProgressed(dispatch_id, outcome), Queue.WORK)

        async def wait_for_client() -> None:
            while self._must_wait(request_id):
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

    def _must_wait(self, request_id: str) -> bool:
        """Whether the client has to catch up first."""
        if request_id in self.paused:
            return True
        stream = self.result_streams.get(request_id)
        return stream is not None and stream.statistics().current_buffer_used > RESULT_QUEUE_LENGTH // 2
