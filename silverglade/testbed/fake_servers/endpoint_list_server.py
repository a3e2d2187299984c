"""A fake of the platform's endpoint list as a server on loopback (design 15.4); the names in it come from a table."""

from __future__ import annotations

import json
import time
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc
import h11

from ...runtime.effects import ZERO, to_milliseconds
from .http_exchange import CLOSED, FieldNames, ServerConnection, clock, listen, reset
from .request_format import SEC

if TYPE_CHECKING:
    from .replica_server import ReplicaServer

IDLE_S = 5.0  # a connection is closed after so long without a request
SNAPSHOT_EVERY_S = 0.05
SNAPSHOTS_KEPT = 10 * SEC
RATE_WINDOW_S = 1.0
SLOW_ANSWER_S = 2.0
Row = dict[str, Any]


class ListFault(StrEnum):
    """A fault of the endpoint list."""

    NONE = ""
    SLOW = "slow"  # answers come late
    PARTIAL = "part"  # the first page of several comes, all others fail
    DOWN = "down"  # connections are reset


class EndpointListServer:
    """The list of replicas: in pages, a while old, with a limit on calls, and with a fault if one is set.

    :ivar servers: the replicas that are listed.
    :ivar fault: the present fault, as `ListFault` or its value.
    """

    def __init__(self, *, names: FieldNames | None = None, lag: timedelta = 0.8 * SEC, rate: int = 50, size: int = 50) -> None:
        """Begin without replicas.

        :param names: of the fields.
        :param lag: how old the list is.
        :param rate: calls that are answered a second.
        :param size: replicas on a page.
        """
        self.names, self.lag, self.rate, self.size = names or FieldNames(), lag, rate, size
        self.servers: list[ReplicaServer] = []
        self.fault: str = ListFault.NONE
        self._calls: list[float] = []
        self._snapshots: list[tuple[timedelta, list[Row]]] = [(ZERO, [])]

    def _row(self, server: ReplicaServer, now: timedelta) -> Row:
        names, engine = self.names, server.engine
        row = {
            names.id: server.id,
            names.service: server.service,
            names.address: server.address,
            names.zone: server.zone,
            names.slots: server.spec.capacity,
            names.state: names.ready if engine.draining_since is None else names.leaving,
            names.cold: to_milliseconds(engine.slow_start_left(now)),
        }
        if engine.ends_at is not None:
            row[names.left] = max(0, to_milliseconds(engine.ends_at - now))
        return row

    def take_snapshot(self) -> None:
        """Note what the list is now, to be shown after the lag."""
        now = clock()
        self._snapshots = [snapshot for snapshot in self._snapshots if now - snapshot[0] < SNAPSHOTS_KEPT]
        self._snapshots.append((now, [self._row(server, now) for server in self.servers if server.engine.up]))

    def _shown_rows(self) -> list[Row]:
        return next((rows for at, rows in reversed(self._snapshots) if clock() - at >= self.lag), self._snapshots[0][1])

    async def serve(self, *, task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; the status is the address."""
        listener, address = await listen()
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(self._take_snapshots)
            task_status.started(address)
            await listener.serve(self._serve_connection)

    async def _take_snapshots(self) -> None:
        while True:
            self.take_snapshot()
            await anyio.sleep(SNAPSHOT_EVERY_S)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            if self.fault == ListFault.DOWN:
                reset(stream)
                return
            connection = ServerConnection(stream)
            try:
                while received := await connection.receive_request(IDLE_S):
                    await self._answer(connection, received.request)
                    if not connection.next_cycle():
                        return
            except CLOSED:
                pass

    async def _answer(self, connection: ServerConnection, request: h11.Request) -> None:
        names, now = self.names, time.monotonic()
        path, _, query_text = request.target.decode("latin-1").partition("?")
        query = dict(pair.partition("=")[::2] for pair in query_text.split("&") if pair)
        self._calls = [call for call in self._calls if now - call < RATE_WINDOW_S] + [now]
        if self.fault == ListFault.SLOW:
            await anyio.sleep(SLOW_ANSWER_S)
        first, rows = int(query.get(names.page, "0") or 0), self._shown_rows()
        if len(self._calls) > self.rate:
            return await connection.respond(429, [])
        if request.method != b"GET" or path != names.list:
            return await connection.respond(404, [])
        if self.fault == ListFault.PARTIAL and (first or len(rows) <= self.size):
            return await connection.respond(500, [])
        zone = query.get(names.within)
        body = self._page([row for row in rows if zone in (None, row[names.zone])], first)
        return await connection.respond(200, [(b"content-type", b"application/json")], body)

    def _page(self, rows: list[Row], first: int) -> bytes:
        following = first + self.size
        token = str(following) if following < len(rows) else None
        return json.dumps({self.names.replicas: rows[first:following], self.names.next: token}).encode()
