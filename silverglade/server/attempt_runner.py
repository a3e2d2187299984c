"""Runs attempts (design 15.3): sends a request to one replica and forwards its response to the client.

A response is accepted only if it carries the id of the attempt; a success only if it also carries the replica's seal header and
its length is delimited by Content-Length or Transfer-Encoding.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta
from typing import Protocol, cast

import anyio
import httpcore

from ..http.connection_pool import SECOND, ConnectionPool, PooledConnection, RequestNotSentError, StaleConnectionError
from ..http.dialect import Dialect
from ..http.event_stream import ENCODING, ENCODING_ERRORS, EventSplitter, events_after, last_event_id
from .attempt import Attempt, AttemptResult, AttemptTarget, LossReason, Outcome
from .client_request import ClientRequest, Headers, HeaderTable, HeldResponse, end_to_end_headers, parse_seconds
from .response_timeouts import ReportSilence, SilenceWatch

MAX_HELD_BYTES = 1024 * 1024
"""Largest response that is buffered until it is complete."""

UNLIMITED_CONNECTIONS = 1 << 16
"""Connection limit for health checks: they are not subject to the limit per replica."""

MAX_RESPONSES_READ = 4
"""Most responses that an attempt reads: surplus responses to earlier attempts may precede its own."""

MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101
MISDIRECTED_REQUEST = 421
STATUSES_WITHOUT_BODY = (204, 304)

NETWORK_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, OSError)

ReportProgress = Callable[..., Awaitable[None]]
"""Reports (request, attempt number, outcome, details...) to the router."""


class BodyStream(Protocol):
    """The body of a response, read as it arrives."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks of the body."""

    async def aclose(self) -> None:
        """Stop reading."""


def body_stream(response: httpcore.Response) -> BodyStream:
    """Return the body of a response to an asynchronous request; httpcore's type also allows the synchronous kind."""
    return cast(BodyStream, response.stream)


def headers_by_name(headers: Headers) -> HeaderTable:
    """Return the headers keyed by lower-case name; the first of several with the same name is kept."""
    return {name.lower(): value for name, value in reversed(headers)}


def has_body(request: ClientRequest, status: int) -> bool:
    """Return whether a response to this request with this status has a body."""
    return request.method != "HEAD" and status not in STATUSES_WITHOUT_BODY


def without_content_length(headers: Headers) -> Headers:
    """Return the headers without Content-Length: a stream may be resumed at another replica, so its length is not known."""
    return [header for header in headers if header[0].lower() != b"content-length"]


def headers_for_client(request: ClientRequest, response: httpcore.Response, fields: HeaderTable, body: bytes) -> Headers:
    """Return the headers to send to the client with a complete response."""
    headers = end_to_end_headers(response.headers, fields)
    if b"content-length" not in fields and has_body(request, response.status):
        headers.append((b"content-length", b"%d" % len(body)))
    return headers


async def read_held_body(response: httpcore.Response) -> bytes | None:
    """Read a whole body into memory; return None if it breaks off or exceeds `MAX_HELD_BYTES`."""
    pieces, size, stream = [], 0, body_stream(response)
    try:
        async for piece in stream:
            pieces.append(piece)
            size += len(piece)
            if size > MAX_HELD_BYTES:
                return None
    except NETWORK_ERRORS:
        return None
    finally:
        await stream.aclose()
    return b"".join(pieces)


class EventForwarder:
    """Forwards the events of one stream to the client.

    Complete events are forwarded as they arrive; events that were received together are sent together. The replica is read only as
    fast as the client reads (backpressure).
    """

    __slots__ = ("_request", "_report_first", "_splitter", "_skip_until", "_pending", "_is_first")

    def __init__(self, request: ClientRequest, *, skip_until: str | None, report_first: Callable[[], Awaitable[None]]) -> None:
        """Create a forwarder for one stream.

        :param skip_until: id of the last event that the client already has; events up to it are dropped.
        :param report_first: called once, after the first events were sent to the client.
        """
        self._request = request
        self._report_first = report_first
        self._splitter = EventSplitter()
        self._skip_until = skip_until
        self._pending: list[bytes] = []
        self._is_first = True

    def feed(self, data: bytes) -> None:
        """Add bytes received from the replica; complete events are sent by the next `flush` or `finish`."""
        events = self._splitter.feed(data)
        if not events:
            return
        if self._skip_until is not None:
            events, found = events_after(events, self._skip_until)
            if found:
                self._skip_until = None
        if events:
            self._pending.append(events)

    async def flush(self) -> None:
        """Send the pending events to the client."""
        if not self._pending:
            return
        request, events = self._request, b"".join(self._pending)
        self._pending.clear()
        if request.is_response_started:
            await request.send_data(events)
        else:
            await self._respond(events, more=True)
        request.last_event_id = last_event_id(events) or request.last_event_id
        if self._is_first:
            self._is_first = False
            await self._report_first()

    async def finish(self) -> bool:
        """End the client's stream; if the replica's stream ended within an event, return False and leave the client's stream open."""
        if self._is_first or self._splitter.rest:
            await self.flush()
        if self._splitter.rest:
            return False
        if self._request.is_response_started:
            await self._request.finish(b"".join(self._pending))
        else:
            await self._respond(b"", more=False)
        return True

    async def _respond(self, events: bytes, *, more: bool) -> None:
        head = self._request.response_head
        assert head is not None
        status, headers = head
        await self._request.respond(status, without_content_length(headers), events, more=more)


class AttemptRunner:
    """Runs attempts over connections of the pool.

    :param report: reports the progress of an attempt to the router.
    :param report_silence: reports to the router that a replica has sent nothing for too long.
    :ivar reuse: whether connections are kept open for further requests.
    """

    def __init__(
        self, *, pool: ConnectionPool, dialect: Dialect, reuse: bool, report: ReportProgress, report_silence: ReportSilence
    ) -> None:
        self.pool = pool
        self.dialect = dialect
        self.reuse = reuse
        self.silence = SilenceWatch(report=report_silence)
        self._report = report

    async def run(self, request: ClientRequest, number: int, target: AttemptTarget) -> AttemptResult:
        """Run one attempt and return its result; retries on another connection while reused ones turn out to be closed."""
        deadline = time.monotonic() + target.deadline_ms / 1000
        while True:
            try:
                connection = await self.pool.take(
                    addr=target.addr, replica=target.replica, cap=target.cap, timeout=target.connect, attempt=request.attempt_id
                )
            except RequestNotSentError as error:
                return AttemptResult(Outcome.UNSENT, (error.reason,))
            keep_s = None
            connection.stream.begin_request()
            self.silence.begin(request, number, target, connection)
            try:
                result = await self.exchange(Attempt(request, number, target, connection, deadline))
                keep_s = result.keep_s
                return result
            except StaleConnectionError as error:  # closed between `take` and the first byte sent
                if not connection.reusable_until:  # a new connection: the replica does not accept more of them
                    return AttemptResult(Outcome.UNSENT, (error.reason,))
            finally:
                self.silence.end(request)
                self.pool.release(connection, keep=keep_s, last=request.attempt_id)

    def outgoing_request(self, attempt: Attempt) -> httpcore.Request:
        """Return the request to send to the replica: the client's headers with those of the attempt added or replaced."""
        request, target, dialect = attempt.request, attempt.target, self.dialect
        remaining_ms = max(1, round((attempt.deadline - time.monotonic()) * 1000))
        added = [(dialect.deadline, b"%d" % remaining_ms)]
        if target.expect:
            added.append((dialect.expect, target.replica.encode()))
        if target.urgency is not None:
            added.append((dialect.urgency, b"%d" % target.urgency))
        if target.last_event is not None:
            added.append((dialect.last_event, target.last_event.encode(ENCODING, ENCODING_ERRORS)))
        replaced = {name for name, _ in added}
        if target.tenant is not None:
            replaced |= {dialect.credentials, dialect.tenant}  # neither the key nor a tenant name set by the client reaches a replica
            if target.tenant:
                added.append((dialect.tenant, target.tenant.encode()))
        ip, port = attempt.connection.key[0].rsplit(":", 1)
        return httpcore.Request(
            request.method,
            httpcore.URL(scheme=b"http", host=ip.encode(), port=int(port), target=request.target),
            headers=[header for header in request.headers if header[0] not in replaced] + added,
            content=request.body or None,
        )

    async def exchange(self, attempt: Attempt) -> AttemptResult:
        """Send the request and handle the first response that carries the id of this attempt.

        :raises StaleConnectionError: nothing was sent because the connection was already closed.
        """
        request, connection = attempt.request, attempt.connection
        outgoing = self.outgoing_request(attempt)
        for _ in range(MAX_RESPONSES_READ):
            try:
                response = await connection.http.handle_async_request(outgoing)
            except NETWORK_ERRORS as error:
                outcome = Outcome.LOST if connection.stream.was_written else Outcome.UNSENT
                return AttemptResult(outcome, (type(error).__name__,))
            finally:
                request.was_sent = request.was_sent or connection.stream.was_written
            fields = headers_by_name(response.headers)
            if self.is_for_attempt(request, fields) and response.status != SWITCHING_PROTOCOLS:
                return await self._handle_response(attempt, response, fields)
            if not fields.get(self.dialect.attempt) or await read_held_body(response) is None or not connection.http.is_idle():
                break
            connection.stream.discards_writes = True  # a surplus response: send nothing again, read the next response
        return AttemptResult(Outcome.LOST, (LossReason.WRONG_ATTEMPT,))

    async def _handle_response(self, attempt: Attempt, response: httpcore.Response, fields: HeaderTable) -> AttemptResult:
        """Validate the response to this attempt, forward it if it is a success, and return the result."""
        status, connection = response.status, attempt.connection
        if status > MAX_STATUS:
            return AttemptResult(Outcome.LOST, (LossReason.INVALID_STATUS,))
        not_run = self.dialect.not_run in fields or status == MISDIRECTED_REQUEST
        has_end = self.is_self_delimited(attempt.request, response, fields)
        if 200 <= status < 300:
            if not_run or not fields.get(self.dialect.seal) or attempt.request.method == "CONNECT":
                return AttemptResult(Outcome.LOST, (LossReason.NO_SEAL,))
            if not has_end:
                return AttemptResult(Outcome.LOST, (LossReason.NO_LENGTH,))
            return await self._forward_success(attempt, response, fields)
        body = await read_held_body(response) if has_end else None
        if body is not None:
            headers = headers_for_client(attempt.request, response, fields, body)
            attempt.request.held_response = HeldResponse(status, headers, body)
        keep_s = self._reuse_time(connection, fields)
        if not_run:
            return AttemptResult(Outcome.NOT_RUN, (status, parse_seconds(fields.get(b"retry-after", b""))), keep_s)
        if body is None:
            return AttemptResult(Outcome.LOST, (LossReason.CUT,), keep_s)
        return AttemptResult(Outcome.FAILED, (status,), keep_s)

    async def _forward_success(self, attempt: Attempt, response: httpcore.Response, fields: HeaderTable) -> AttemptResult:
        """Forward a successful response to the client."""
        request, target = attempt.request, attempt.target
        is_stream = target.stream and fields.get(b"content-type", b"").lower().startswith(b"text/event-stream")
        if target.resume and not is_stream:
            return AttemptResult(Outcome.LOST, (LossReason.NO_STREAM,))
        await self._report(request, attempt.number, Outcome.BEGAN, response.status)
        if not target.resume or not request.response_head:
            request.response_head = (response.status, end_to_end_headers(response.headers, fields))
        try:
            if is_stream:
                complete = await self._forward_stream(attempt, response)
            else:
                await self._forward_body(attempt, response, fields)
                complete = True
        except (*NETWORK_ERRORS, ValueError):
            complete = False
        if not complete:
            return AttemptResult(Outcome.CUT, (request.last_event_id,))
        return AttemptResult(Outcome.DONE, (), self._reuse_time(attempt.connection, fields))

    async def _forward_body(self, attempt: Attempt, response: httpcore.Response, fields: HeaderTable) -> None:
        """Buffer a response until it is complete; forward it as it arrives once it exceeds `MAX_HELD_BYTES`."""
        request, stream, size = attempt.request, body_stream(response), 0
        pieces: list[bytes] = []
        async for piece in stream:
            if request.is_response_started:
                await request.send_data(piece)
                continue
            pieces.append(piece)
            size += len(piece)
            if size > MAX_HELD_BYTES:
                assert request.response_head is not None
                await request.respond(*request.response_head, b"".join(pieces), more=True)
                await self._report(request, attempt.number, Outcome.FIRST)
                pieces.clear()
        await stream.aclose()
        if request.is_response_started:
            await request.finish()
        else:
            body = b"".join(pieces)
            await request.respond(response.status, headers_for_client(request, response, fields, body), body)

    async def _forward_stream(self, attempt: Attempt, response: httpcore.Response) -> bool:
        """Forward the events of a stream; return whether it ended after a complete event."""
        request, number = attempt.request, attempt.number

        async def report_first() -> None:
            await self._report(request, number, Outcome.FIRST)

        events = EventForwarder(request, skip_until=request.last_event_id if attempt.target.resume else None, report_first=report_first)
        attempt.connection.stream.before_read = events.flush
        stream = body_stream(response)
        try:
            async for data in stream:
                events.feed(data)
        except (*NETWORK_ERRORS, ValueError):
            await events.flush()
            raise
        await stream.aclose()
        return await events.finish()

    async def get(self, *, replica: str, addr: str, path: str, wait: timedelta = SECOND) -> bytes | None:
        """Send a GET to a replica over a pooled connection; return the body of a response with status 200, otherwise None."""
        connection = keep_s = None
        try:
            with anyio.fail_after(wait / SECOND):
                connection = await self.pool.take(addr=addr, replica=replica, cap=UNLIMITED_CONNECTIONS, timeout=wait)
                connection.stream.begin_request()
                ip, port = addr.rsplit(":", 1)
                url = httpcore.URL(scheme=b"http", host=ip.encode(), port=int(port), target=path.encode())
                response = await connection.http.handle_async_request(httpcore.Request(b"GET", url, headers=[(b"host", addr.encode())]))
                body = await read_held_body(response)
            keep_s = self._reuse_time(connection, headers_by_name(response.headers))
            return body if response.status == 200 else None
        except (RequestNotSentError, TimeoutError, *NETWORK_ERRORS):
            return None
        finally:
            if connection:
                self.pool.release(connection, keep=keep_s)

    def is_for_attempt(self, request: ClientRequest, fields: HeaderTable) -> bool:
        """Return whether a response carries the id of the request's attempt."""
        return fields.get(self.dialect.attempt, b"") == request.attempt_id

    def is_self_delimited(self, request: ClientRequest, response: httpcore.Response, fields: HeaderTable) -> bool:
        """Return whether the end of the response is known without the connection being closed."""
        return b"content-length" in fields or b"transfer-encoding" in fields or not has_body(request, response.status)

    def _reuse_time(self, connection: PooledConnection, fields: HeaderTable) -> float | None:
        """Return for how many seconds the connection may be reused, or None if not at all, as when bytes follow the response."""
        if not self.reuse or not connection.http.is_idle() or connection.has_surplus() or connection.stream.has_ended:
            return None
        return self.pool.reuse_time(fields, connection.stream.connect_s)
