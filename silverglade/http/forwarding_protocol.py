"""Clients' requests that are forwarded to replicas (design 15): any method, path and body, on uvicorn's h11 protocol.

This is one of two kinds of client requests: tenants' requests, which use the product's own API, are handled in app.py. Here the
protocol of a connection is itself the ASGI app, so that it detects at once that its client has disconnected, and can end a response
so that it does not look complete.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import anyio
import h11
from uvicorn.protocols.http.h11_impl import H11Protocol

from ..runtime import result_codes
from ..runtime.outside_input import MAX_LENGTH_DIGITS, is_whole_number
from ..server.client_request import ClientLimits, ClientRequest, RequestEnd, end_to_end_headers, send_result_code
from ..server.limits import MAX_BUFFERED_BODY_BYTES
from .asgi import Receive, Scope, Send
from .connection_pool import SECOND
from .request_facts import Fields, request_facts

if TYPE_CHECKING:
    from ..server.request_forwarding import ForwardingDaemon, RequestForwarder

LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with a time-out of 0: closing resets the connection."""

REPLACED_HEADERS = frozenset((b"expect", b"content-length"))
"""Not forwarded unchanged, since the whole body is read before it is sent on."""

HEADER_LINE_OVERHEAD_BYTES = len(b": \r\n")

RETRY_WHEN_FULL_S = 1.0
RETRY_WHEN_PROVED_S = 0.5

CODES_OF_LIMITS = frozenset((result_codes.HEADER_SIZE, result_codes.TOO_LARGE, result_codes.SLOW_BODY))
"""Reasons for which a request is refused by the limits of the configuration."""


class TargetRecordingConnection(h11.Connection):
    """Records the request target as it was sent; an ASGI scope does not distinguish "/a?" from "/a".

    :ivar target: of the most recently read request.
    """

    target: bytes = b""

    def next_event(self) -> Any:
        """Return h11's next event, and record the target of a request."""
        event = super().next_event()
        if type(event) is h11.Request:
            self.target = event.target
        return event


class JoiningTransport:
    """A transport that joins the writes made within its context, so that a head and its body take one system call and one packet."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._pieces: list[bytes] = []
        self._depth = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Write the data, or buffer it until the end of the context."""
        if self._depth:
            self._pieces.append(data)
        else:
            self._transport.write(data)

    def __enter__(self) -> None:
        self._depth += 1

    def __exit__(self, *exc_info: object) -> None:
        self._depth -= 1
        self._flush()

    def _flush(self) -> None:
        if self._pieces:
            data, self._pieces = b"".join(self._pieces), []
            self._transport.write(data)

    def close(self) -> None:
        """Write the buffered data, and close the transport."""
        self._flush()
        self._transport.close()


class RequestRefusedError(Exception):
    """A request is rejected before it is passed to the router; its connection is closed."""

    def __init__(self, status: int, code: int, retry_after: float | None = None) -> None:
        super().__init__(status, code)
        self.status = status
        self.code = code
        self.retry_after = retry_after


class ClientDisconnectedError(Exception):
    """The client disconnected before its request was complete."""


class BodyReservation:
    """The share of one request's body in the daemon's memory for buffered bodies."""

    __slots__ = ("size", "_daemon")

    def __init__(self, daemon: ForwardingDaemon) -> None:
        self._daemon = daemon
        self.size = 0

    def add(self, size: int) -> None:
        """Reserve further bytes."""
        self.size += size
        self._daemon.buffered_body_bytes += size

    def is_full(self) -> bool:
        """Return whether all buffered bodies together exceed `MAX_BUFFERED_BODY_BYTES`."""
        return self._daemon.buffered_body_bytes > MAX_BUFFERED_BODY_BYTES

    def release(self) -> None:
        """Release all reserved bytes."""
        self._daemon.buffered_body_bytes -= self.size


class ForwardingProtocol(H11Protocol):
    """The protocol of a connection: it forwards requests that arrive on `port` (on any port if None), and else serves the daemon's apps.

    :ivar request: the forwarded request in progress, or None.
    :ivar head_timer: closes the connection unless a complete head arrives in time.
    :ivar request_count: number of forwarded requests read on this connection so far.
    """

    def __init__(self, *args: Any, forwarder: RequestForwarder, port: int | None = None, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.forwarder = forwarder
        self.port = port
        self.request: ClientRequest | None = None
        self.head_timer: asyncio.TimerHandle | None = None
        self.request_count = 0
        self._is_forwarding = False

    # called by the event loop

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Set up a new connection, with time-outs for incomplete heads and idle connections."""
        super().connection_made(transport)
        self._is_forwarding = self.port is None or bool(self.server) and self.server[1] == self.port  # type: ignore[index]
        if not self._is_forwarding:
            return
        limits = self.forwarder.limits
        self.transport = JoiningTransport(transport)  # type: ignore[assignment]
        self.app = self.forward
        self.conn = TargetRecordingConnection(h11.SERVER, limits.header_bytes)
        self.timeout_keep_alive = limits.idle_timeout / SECOND  # type: ignore[assignment]
        self._start_head_timer(max(limits.header_timeout, limits.idle_timeout))

    def _start_head_timer(self, timeout: timedelta) -> None:
        self._stop_head_timer()
        self.head_timer = self.loop.call_later(timeout / SECOND, self.timeout_keep_alive_handler)

    def _stop_head_timer(self) -> None:
        if self.head_timer:
            self.head_timer.cancel()
            self.head_timer = None

    def data_received(self, data: bytes) -> None:
        """Handle bytes received from the client, and start or stop the head timer."""
        if not self._is_forwarding:
            super().data_received(data)
            return
        begins_head = self.conn.their_state is h11.IDLE and not self.conn.trailing_data[0]
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self._stop_head_timer()
        elif begins_head:
            self._start_head_timer(self.forwarder.limits.header_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request of a client that has disconnected."""
        self._stop_head_timer()
        super().connection_lost(exc)
        if self.request:
            self.request.put(RequestEnd.CLIENT_DISCONNECTED)

    def on_response_complete(self) -> None:
        """Continue with the next request; the idle time-out may have changed with the configuration."""
        if self._is_forwarding:
            self.timeout_keep_alive = self.forwarder.limits.idle_timeout / SECOND  # type: ignore[assignment]
        super().on_response_complete()

    # called by the request (client_request.py)

    def joined_writes(self) -> JoiningTransport:
        """Return a context within which writes are joined and sent in one piece."""
        return self.transport  # type: ignore[return-value]

    def cut(self, cycle: Any) -> None:
        """Close the connection so that this cycle's response does not look complete: without the last chunk, or with too few bytes.

        If the response has not started, nothing is sent. If it is already complete, nothing is done, since the connection may be
        in use by another request.
        """
        if cycle is not self.cycle or cycle.response_complete:
            return
        if self.conn.their_http_version == b"1.0":  # in HTTP/1.0, closing the connection ends a response
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.transport.abort()
        elif self.cycle.response_started and not self.flow.write_paused:
            self.transport.close()
        else:
            self.transport.abort()

    # one request

    async def forward(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Read one request of a client and forward it. This is the connection's ASGI app."""
        headers = scope["headers"]
        fields = {name: value for name, value in reversed(headers)}
        reservation = BodyReservation(self.forwarder.daemon)
        request = None
        try:
            self._check_head(scope, fields)
            body = await self._read_body(receive, fields, reservation)
            self.flow.resume_reading()
            self.request_count += 1
            self.request = request = self._new_request(scope, fields, body, send)
            if self.cycle.disconnected:
                return
            facts = request_facts(
                method=request.method, target=request.target, fields=fields, size=len(body), dialect=self.forwarder.dialect
            )
            await self.forwarder.run(request, facts)
        except RequestRefusedError as error:
            error = await self._confirmed(error)
            await send_result_code(send, error.status, error.code, retry_after=error.retry_after, close=True)
        except ClientDisconnectedError:
            pass
        finally:
            reservation.release()
            if self.request is request:  # with pipelining, the next request may be in progress
                self.request = None

    async def _confirmed(self, refusal: RequestRefusedError) -> RequestRefusedError:
        """Return the refusal; if limits that may be out of date are its reason, one that asks the client to come back instead."""
        if refusal.code not in CODES_OF_LIMITS or await self.forwarder.is_configuration_certain():
            return refusal
        return RequestRefusedError(503, result_codes.UNCERTAIN_CONFIGURATION, RETRY_WHEN_PROVED_S)

    def _check_head(self, scope: Scope, fields: Fields) -> None:
        """Check a request head against the limits.

        :raises RequestRefusedError: it is too large, ambiguous, or announces a body that is too large.
        """
        limits, length = self.forwarder.limits, fields.get(b"content-length")
        header_bytes = sum([len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES for name, value in scope["headers"]])
        if len(self._target()) + header_bytes > limits.header_bytes:
            raise RequestRefusedError(431, result_codes.HEADER_SIZE)
        if length is not None and b"transfer-encoding" in fields or scope["method"] == "CONNECT":
            raise RequestRefusedError(400, result_codes.BAD_HEADER)
        if length is not None and (not is_whole_number(length, max_digits=MAX_LENGTH_DIGITS) or int(length) > limits.body_bytes):
            raise RequestRefusedError(413, result_codes.TOO_LARGE)

    def _target(self) -> bytes:
        target: bytes = self.conn.target  # type: ignore[attr-defined]
        return target

    async def _read_body(self, receive: Receive, fields: Fields, reservation: BodyReservation) -> bytes:
        """Read the whole body.

        :raises RequestRefusedError: it is too large or too slow, or the daemon's memory for bodies is full.
        :raises ClientDisconnectedError: the client disconnected before the end of the body.
        """
        limits, body = self.forwarder.limits, b""
        if not self.cycle.more_body:  # the whole body arrived with the head
            body = bytes(self.cycle.body)
            reservation.add(len(body))
        elif fields.get(b"content-length", b"0") != b"0" or b"transfer-encoding" in fields:
            body = await self._receive_body(receive, limits, reservation)
        if reservation.size > limits.body_bytes:
            raise RequestRefusedError(413, result_codes.TOO_LARGE)
        if reservation.is_full():
            raise RequestRefusedError(503, result_codes.BUSY, RETRY_WHEN_FULL_S)
        return body

    async def _receive_body(self, receive: Receive, limits: ClientLimits, reservation: BodyReservation) -> bytes:
        """Receive a body in pieces, until it ends or is too large.

        :raises RequestRefusedError: no piece arrived within the idle time-out.
        :raises ClientDisconnectedError: the client disconnected before the end of the body.
        """
        pieces = []
        with anyio.CancelScope() as scope:
            while True:
                scope.deadline = anyio.current_time() + limits.idle_timeout / SECOND
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise ClientDisconnectedError
                pieces.append(message["body"])
                reservation.add(len(message["body"]))
                if not message["more_body"] or reservation.size > limits.body_bytes or reservation.is_full():
                    break
        if scope.cancelled_caught:
            raise RequestRefusedError(408, result_codes.SLOW_BODY)
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _new_request(self, scope: Scope, fields: Fields, body: bytes, send: Send) -> ClientRequest:
        """Return the request to forward, with the headers that replicas get."""
        forwarder = self.forwarder
        headers = [header for header in end_to_end_headers(scope["headers"], fields) if header[0] not in REPLACED_HEADERS]
        if body or b"content-length" in fields:
            headers.append((b"content-length", b"%d" % len(body)))
        return ClientRequest(
            request_id=forwarder.new_request_id(),
            method=scope["method"],
            target=self._target(),
            headers=headers,
            attempt_id=fields.get(forwarder.dialect.attempt, b""),
            body=body,
            send=send,
            connection=self,
            cycle=self.cycle,
            is_draining=forwarder.is_draining,
        )
