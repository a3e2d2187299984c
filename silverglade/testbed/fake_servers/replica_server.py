"""Simulated replicas as real servers on loopback, many in one process (design 15); their time is the monotonic clock.

They speak the header names of a `Dialect`; the names in their reports come from a table. A `ReplicaObserver` is told what
a checker wants to know.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import sys
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

import anyio
import anyio.abc
import h11

from ...http.dialect import DEFAULT_DIALECT, Dialect
from .endpoint_list_server import EndpointListServer
from .http_exchange import CLOSED, AnswerQueue, FieldNames, Header, ReceivedRequest, ServerConnection, clock, listen, reset
from .replica_answers import Answer, Body, Crashed, Cut, Ended, Garbage, Head, Refused, RequestAnswer, RunBegan, StreamEvent, Surplus
from .replica_engine import ReplicaEngine
from .request_format import MS, SEC, ReplicaRequest, ReplicaSpec, seal

GARBAGE = b"\x16\x03\x01 nothing that is an answer\r\n\r\n"
SURPLUS_BODY = b"second"
SURPLUS_DELAY_S = (0.03, 0.3)
RESET_RATE = 0.5  # how often a connection that is cut ends with a reset
EVENT_STREAM = (b"content-type", b"text/event-stream")


class ReplicaObserver:
    """Is told what happens at a replica; this one does nothing with it."""

    def arrived(self, server: ReplicaServer, request: ReplicaRequest) -> None:
        """Handle that a request arrived."""

    def ran(self, server: ReplicaServer, request: ReplicaRequest, run: str, run_seal: str) -> None:
        """Handle that a run began."""

    def failed(self, server: ReplicaServer, request: ReplicaRequest, run: str | None, status: int, body: bytes) -> None:
        """Handle that a run ended in an error."""

    def refused(self, server: ReplicaServer, request: ReplicaRequest, status: int) -> None:
        """Handle that a request was refused."""


class ReplicaServer:
    """One process of a replica at one address.

    :ivar engine: the model that does the work.
    :ivar address: where it listens, once it serves.
    :ivar open_streams: its connections.
    :ivar forget_rate: how often an idle connection is forgotten, so that what comes next on it is reset.
    """

    def __init__(
        self,
        *,
        id: str,
        service: str,
        zone: str,
        spec: ReplicaSpec,
        seed: int = 1,
        warm: bool = True,
        dialect: Dialect = DEFAULT_DIALECT,
        names: FieldNames | None = None,
        keep_s: int = 5,
        forget_rate: float = 0.0,
        close_rate: float = 0.02,
        observer: ReplicaObserver | None = None,
    ) -> None:
        """Start the model of a replica; `serve` makes it reachable.

        :param id: of the replica.
        :param service: that it serves.
        :param zone: in which it is.
        :param spec: what kind of replica it is.
        :param seed: of its random decisions.
        :param warm: False: it begins with slow start.
        :param dialect: names of headers and paths.
        :param names: of the fields of its report.
        :param keep_s: seconds after which an idle connection is closed.
        :param forget_rate: how often an idle connection is forgotten.
        :param close_rate: how often a connection is closed behind an answer.
        :param observer: is told what happens.
        """
        self.id, self.service, self.zone, self.spec, self.dialect = id, service, zone, spec, dialect
        self.names, self.observer = names or FieldNames(), observer or ReplicaObserver()
        self.keep_s, self.forget_rate, self.close_rate = keep_s, forget_rate, close_rate
        self.rng = random.Random(seed)
        self.engine = ReplicaEngine(replica_id=id, spec=spec, seed=seed, warm=warm, now=clock())
        self.address = ""
        self.open_streams: set[anyio.abc.SocketStream] = set()
        self._queues: dict[int, AnswerQueue] = {}
        self._requests: dict[int, ReplicaRequest] = {}
        self._last_key = 0
        self._engine_changed = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None

    async def serve(self, *, task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until the replica ends; the status is its address."""
        listener, self.address = await listen()
        async with listener, anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._run_engine)
            task_status.started(self.address)
            await listener.serve(self._serve_connection)

    async def _run_engine(self) -> None:
        while self.engine.up:
            wakeup, self._engine_changed = self.engine.next_wakeup(), anyio.Event()
            with anyio.move_on_after(math.inf if wakeup is None else max(0.0, (wakeup - clock()) / SEC)):
                await self._engine_changed.wait()
                continue
            self._handle(self.engine.tick(clock()))

    def _handle(self, answers: Iterable[Answer]) -> None:
        for answer in answers:
            if isinstance(answer, Crashed):
                self._reset_all()
            elif answer.key in self._queues:
                if isinstance(answer, RunBegan):
                    request = self._requests[answer.key]
                    self.observer.ran(self, request, answer.run, seal(answer.run, request.attempt))
                self._queues[answer.key].put(answer)
        self._engine_changed.set()

    def _reset_all(self) -> None:
        for stream in self.open_streams:
            reset(stream)
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()

    def crash(self) -> None:
        """End at once."""
        self._handle(self.engine.crash())

    def drain(self, left: timedelta | None) -> None:
        """Begin to drain.

        :param left: after which it ends whatever still runs; None: it takes its own time.
        """
        self.engine.drain(clock(), left=left)
        self._engine_changed.set()

    def resume(self) -> None:
        """Go on after the engine was paused."""
        self._handle(self.engine.resume(clock()))

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            if len(self.open_streams) >= self.spec.conns:
                reset(stream)
                return
            self.open_streams.add(stream)
            try:
                await self._serve_requests(ServerConnection(stream))
            except CLOSED:
                pass
            finally:
                self.open_streams.discard(stream)

    async def _serve_requests(self, connection: ServerConnection) -> None:
        while received := await connection.receive_request(self.keep_s):
            if not await self._answer(connection, received) or not connection.next_cycle():
                return
            if self.rng.random() < self.forget_rate:
                await connection.stream.receive()
                reset(connection.stream)
                return

    async def _answer(self, connection: ServerConnection, received: ReceivedRequest) -> bool:
        """Answer a request; return whether the connection may be kept."""
        if received.request.method == b"GET" and received.path == self.dialect.health:
            await self._wait_while_paused()
            await self._answer_health(connection)
            return True
        if received.request.method == b"GET" and received.path == self.dialect.report:
            await self._wait_while_paused()
            await self._answer_report(connection)
            return True
        return await self._run(connection, self._decode(received))

    async def _wait_while_paused(self) -> None:
        if self.engine.paused:
            await anyio.sleep_forever()

    async def _answer_health(self, connection: ServerConnection) -> None:
        well, cold_ms = self.engine.health(clock())
        headers = [(self.dialect.replica, self.id.encode()), (self.dialect.cold_ms, b"%d" % cold_ms)]
        await connection.respond(200 if well else 503, headers)

    async def _answer_report(self, connection: ServerConnection) -> None:
        names = self.names
        fields = dict(zip((names.waiting, names.running, names.used, names.memory), self.engine.report(clock())))
        await connection.respond(200, [(b"content-type", b"application/json")], json.dumps(fields).encode())

    def _decode(self, received: ReceivedRequest) -> ReplicaRequest:
        headers = {name: value.decode("latin-1") for name, value in received.request.headers}
        dialect = self.dialect

        def number(name: bytes) -> int | None:
            return int(headers[name]) if headers.get(name, "").isdigit() else None

        parts = (part.split(":") for part in headers.get(dialect.prefix, "").split(",") if ":" in part)
        prompt_tokens, _, answer_tokens = headers.get(dialect.tokens, "100,80").partition(",")
        left_ms = number(dialect.deadline)
        return ReplicaRequest(
            attempt=headers.get(dialect.attempt, ""),
            body=received.body,
            parts=tuple((fields[0], int(fields[1])) for fields in parts),
            tokens=(int(prompt_tokens), int(answer_tokens)),
            urgency=number(dialect.urgency),
            left=None if left_ms is None else left_ms * MS,
            last=number(dialect.last_event) or 0,
            expect=headers.get(dialect.expect),
            method=received.request.method.decode(),
            path=received.path,
        )

    async def _run(self, connection: ServerConnection, request: ReplicaRequest) -> bool:
        """Submit the request and relay what the engine says while the client is there; return whether the connection may be kept."""
        self._last_key += 1
        key, queue = self._last_key, AnswerQueue()
        self._queues[key], self._requests[key] = queue, request
        self.observer.arrived(self, request)
        keep, received_early = False, list[bytes]()
        try:
            async with anyio.create_task_group() as tasks:

                async def watch_client() -> None:
                    try:
                        while True:
                            received_early.append(await connection.stream.receive())
                    except CLOSED:
                        tasks.cancel_scope.cancel()

                tasks.start_soon(watch_client)
                self._handle(self.engine.submit(clock(), key, request))
                keep = await _AnswerRelay(self, connection, request, queue).run()
                tasks.cancel_scope.cancel()
        finally:
            del self._queues[key], self._requests[key]
            if self.engine.up:
                self._handle(self.engine.disconnect(clock(), key))
        for data in received_early:
            connection.http.receive_data(data)
        return keep

    def answer_headers(self, request: ReplicaRequest, run_seal: str | None = None) -> list[Header]:
        """Return the headers of every answer; on some the connection is closed."""
        headers = [(self.dialect.attempt, request.attempt.encode()), (b"keep-alive", b"timeout=%d" % self.keep_s)]
        if self.engine.draining_since is not None or self.rng.random() < self.close_rate:
            headers.append((b"connection", b"close"))
        if run_seal:
            headers.append((self.dialect.seal, run_seal.encode()))
        return headers


class _AnswerRelay:
    """Sends what the engine says of one request on its connection."""

    def __init__(self, server: ReplicaServer, connection: ServerConnection, request: ReplicaRequest, queue: AnswerQueue) -> None:
        self.server, self.connection, self.request, self.queue = server, connection, request, queue
        self.run_id: str | None = None
        self.status, self.headers = 0, list[Header]()
        self.head_sent = False

    async def run(self) -> bool:
        """Relay until the answer is over; return whether the connection may be kept."""
        while True:
            keep = await self._relay(await self.queue.next())
            if keep is not None:
                return keep

    async def _relay(self, answer: RequestAnswer) -> bool | None:
        """Send one answer of the engine; None while more is to come."""
        match answer:
            case RunBegan(_, run):
                self.run_id = run
            case Refused():
                return await self._refuse(answer)
            case Head(_, status, run_seal):
                self.status, self.headers = status, self.server.answer_headers(self.request, run_seal)
            case StreamEvent(_, number, data):
                await self._send_head(b"transfer-encoding", b"chunked")
                await self.connection.send(h11.Data(data=b"id: %d\ndata: %s\n\n" % (number, data)))
            case Body(_, data):
                await self._send_body(data)
            case Ended():
                return await self._end()
            case Garbage():
                await self.connection.stream.send(GARBAGE)
                return False
            case Cut():
                if self.server.rng.random() < RESET_RATE:
                    reset(self.connection.stream)
                return False
        return None

    async def _refuse(self, refused: Refused) -> bool:
        retry_after = [] if refused.retry_after_s is None else [(b"retry-after", b"%.2f" % refused.retry_after_s)]
        self.server.observer.refused(self.server, self.request, refused.status)
        headers = [*self.server.answer_headers(self.request), (self.server.dialect.not_run, b"1"), *retry_after]
        await self.connection.respond(refused.status, headers)
        return True

    async def _send_head(self, length_name: bytes, length_value: bytes) -> None:
        """Send the head of a stream unless it was sent."""
        if not self.head_sent:
            headers = [*self.headers, EVENT_STREAM, (length_name, length_value)]
            await self.connection.send(h11.Response(status_code=200, headers=headers))
        self.head_sent = True

    async def _send_body(self, data: bytes) -> None:
        if self.status != 200:
            self.server.observer.failed(self.server, self.request, self.run_id, self.status, data)
        cut_follows = not isinstance(await self.queue.peek(), Ended)
        size = len(data) * (2 if cut_follows else 1)
        head = h11.Response(status_code=self.status, headers=[*self.headers, (b"content-length", b"%d" % size)])
        await self.connection.send(head, h11.Data(data=data))
        self.head_sent = True

    async def _end(self) -> bool:
        await self._send_head(b"content-length", b"0")
        await self.connection.send(h11.EndOfMessage())
        following = self.queue.next_nowait()
        if isinstance(following, Surplus):
            await self._send_surplus(following)
        return True

    async def _send_surplus(self, surplus: Surplus) -> None:
        """Send a second answer to a request that was answered, at once or late."""
        if surplus.late:
            await anyio.sleep(self.server.rng.uniform(*SURPLUS_DELAY_S))
        dialect = self.server.dialect
        await self.connection.stream.send(
            b"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\ncontent-length: %d\r\n\r\n%s"
            % (dialect.attempt, self.request.attempt.encode(), dialect.seal, len(SURPLUS_BODY), SURPLUS_BODY)
        )


async def serve_site(rows: Iterable[Mapping[str, Any]]) -> None:
    """Serve the replicas of a site and their list until cancelled; print where they are.

    :param rows: the replicas, with name, service, zone and spec.
    """
    async with anyio.create_task_group() as tasks:
        endpoint_list = EndpointListServer()
        for number, row in enumerate(rows):
            server = ReplicaServer(id=f"{row['name']}-{number}", service=row["service"], zone=row["zone"], spec=row["spec"], seed=number)
            await tasks.start(server.serve)
            endpoint_list.servers.append(server)
            print(server.id, server.address, flush=True)
        print("list", await tasks.start(endpoint_list.serve), flush=True)


def main() -> int:
    """Serve a site's replicas until interrupted."""
    from ..sites import SITES

    parser = argparse.ArgumentParser(
        prog="python -m silverglade.testbed.fake_servers.replica_server", description="a town's replicas on loopback"
    )
    parser.add_argument("--town", choices=SITES, default="hamlet")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    try:
        anyio.run(serve_site, SITES[options.town](options.seed)["seats"])
    except KeyboardInterrupt:
        pass
    return 0


if __name__ == "__main__":
    sys.exit(main())
