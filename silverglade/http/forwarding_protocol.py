"""Forwarded requests of clients (design 15): any method, path and body, over uvicorn's h11 protocol.

This is one of two paths of a client's request: tenants' requests of the product's own API are handled in app.py. Here a connection's
protocol is itself the app, so that it sees at once when its client leaves, and can end a response so that it looks broken off.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Mapping
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import anyio
import h11
from uvicorn.protocols.http.h11_impl import H11Protocol

from ..configuration.schema import key_digest
from ..runtime import result_codes
from ..runtime.outside_input import MAX_LENGTH_DIGITS, is_whole_number
from ..server.client_request import ClientLimits, ClientRequest, RequestEnd, end_to_end_headers, send_result_code
from ..server.limits import MAX_BUFFERED_BODY_BYTES
from .asgi import Receive, Scope, Send
from .connection_pool import SECOND
from .dialect import Dialect
from .event_stream import ENCODING, UNDECODABLE

if TYPE_CHECKING:
    from ..server.request_forwarding import ForwardingDaemon, RequestForwarder

LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER: closing resets the connection."""

REPLACED_HEADERS = frozenset((b"expect", b"content-length"))
"""Not forwarded as they are: the whole body is read first."""

HEADER_LINE_OVERHEAD = len(b": \r\n")

MAX_DIGITS = 16
MAX_INTEGER = 2**53

RETRY_WHEN_FULL_S = 1.0

Fields = Mapping[bytes, bytes]
"""Header's name in lower case -> value."""


class TargetRecordingConnection(h11.Connection):
    """Keeps the target as it was sent: a scope cannot tell "/a?" from "/a".

    :ivar target: of the request that was read last.
    """

    target: bytes = b""

    def next_event(self) -> Any:
        """Return the next event, as h11 does."""
        event = super().next_event()
        if type(event) is h11.Request:
            self.target = event.target
        return event


class JoiningTransport:
    """A transport that can join what is written within its context: a head and its body cost one call and one packet."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._pieces: list[bytes] = []
        self._depth = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Write, or keep for the end of the context."""
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
        """Write what is kept, and close."""
        self._flush()
        self._transport.close()


def parse_integer(value: bytes | None) -> int | None:
    """Return a whole number from 0, or None."""
    if value is None or not is_whole_number(value, max_digits=MAX_DIGITS) or int(value) >= MAX_INTEGER:
        return None
    return int(value)


def parse_prompt_parts(value: bytes | None) -> tuple[tuple[str, int], ...]:
    """Return the parts of a prompt, given as ID:TOKENS,...: (id, tokens) each; none if they cannot be read."""
    parts = []
    for part in value.split(b",") if value else ():
        part_id, _, number = part.strip().rpartition(b":")
        tokens = parse_integer(number)
        if not part_id or tokens is None:
            return ()
        parts.append((part_id.decode("latin-1"), tokens))
    return tuple(parts)


def parse_token_counts(value: bytes | None) -> tuple[int, int] | None:
    """Return the tokens of a prompt and the most out, given as IN,OUT; None if they cannot be read."""
    first, _, second = (value or b"").partition(b",")
    tokens_in, tokens_out = parse_integer(first.strip()), parse_integer(second.strip())
    return None if tokens_in is None or tokens_out is None else (tokens_in, tokens_out)


def parse_key(value: bytes | None, scheme: bytes) -> str | None:
    """Return the digest of the key in a client's credentials, given as SCHEME KEY; None if there is none of this scheme."""
    if value is None:
        return None
    given_scheme, _, key = value.strip().partition(b" ")
    key = key.strip()
    return key_digest(key) if key and given_scheme.lower() == scheme else None


def host_name(value: bytes) -> str:
    """Return the host of a `Host` header in lower case, without its port."""
    host = value.decode("latin-1").strip().lower()
    name, _, port = host.rpartition(":")
    return name if name and (port.isdigit() or not port) and not host.endswith("]") else host


def request_facts(*, method: str, target: bytes, fields: Fields, size: int, dialect: Dialect) -> dict[str, Any]:
    """Return what the router is told of a request.

    :param size: of the body, in bytes.
    """

    def text(name: bytes) -> str | None:
        return fields[name].decode("latin-1") if name in fields else None

    return {
        "host": host_name(fields.get(b"host", b"")),
        "path": target.partition(b"?")[0].decode("latin-1"),
        "method": method,
        "attempt": text(dialect.attempt) or "",
        "deadline_ms": parse_integer(fields.get(dialect.deadline)),
        "prefix": parse_prompt_parts(fields.get(dialect.prefix)),
        "tokens": parse_token_counts(fields.get(dialect.tokens)),
        "model": text(dialect.model) or "",
        "last_event": fields[dialect.last_event].decode(ENCODING, UNDECODABLE) if dialect.last_event in fields else None,
        "version": text(dialect.version),
        "key": parse_key(fields.get(dialect.credentials), dialect.scheme),
        "size": size,
    }


class RequestRefusedError(Exception):
    """A request is refused before the router hears of it; its connection ends."""

    def __init__(self, status: int, code: int, retry_after: float | None = None) -> None:
        super().__init__(status, code)
        self.status = status
        self.code = code
        self.retry_after = retry_after


class ClientLeftError(Exception):
    """The client left before its request was complete."""


class BodyReservation:
    """What one request's body takes of the daemon's room for bodies."""

    __slots__ = ("size", "_daemon")

    def __init__(self, daemon: ForwardingDaemon) -> None:
        self._daemon = daemon
        self.size = 0

    def add(self, size: int) -> None:
        """Take further bytes."""
        self.size += size
        self._daemon.buffered_body_bytes += size

    def is_full(self) -> bool:
        """Whether all bodies together are too large."""
        return self._daemon.buffered_body_bytes > MAX_BUFFERED_BODY_BYTES

    def release(self) -> None:
        """Give all back."""
        self._daemon.buffered_body_bytes -= self.size


class ForwardingProtocol(H11Protocol):
    """A connection: a client's on the port given (any, if none is), else one of the daemon's own apps.

    :ivar request: the forwarded request under way, or None.
    :ivar head_timer: ends the connection unless a complete head comes in time.
    """

    def __init__(self, *args: Any, forwarder: RequestForwarder, port: int | None = None, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.forwarder = forwarder
        self.port = port
        self.request: ClientRequest | None = None
        self.head_timer: asyncio.TimerHandle | None = None
        self._is_forwarding = False

    # called by the event loop

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Take over a new connection: a head that is begun must come complete in time, an idle connection ends."""
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
        """Handle bytes of the client."""
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
        """End the request of a client that has left."""
        self._stop_head_timer()
        super().connection_lost(exc)
        if self.request:
            self.request.put(RequestEnd.CLIENT_DISCONNECTED)

    def on_response_complete(self) -> None:
        """Go on to the next request; the idle time may have changed with the configuration."""
        if self._is_forwarding:
            self.timeout_keep_alive = self.forwarder.limits.idle_timeout / SECOND  # type: ignore[assignment]
        super().on_response_complete()

    # called by the request (client_request.py)

    def joined_writes(self) -> JoiningTransport:
        """Return a context within which what is written leaves in one piece."""
        return self.transport  # type: ignore[return-value]

    def cut(self, cycle: Any) -> None:
        """End the connection so that this cycle's response does not look complete: no last chunk, or too few bytes.

        Before its head nothing at all is sent. Where it is complete already, the connection may be another request's by now.
        """
        if cycle is not self.cycle or cycle.response_complete:
            return
        if self.conn.their_http_version == b"1.0":  # there the end of the connection ends a response
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.transport.abort()
        elif self.cycle.response_started and not self.flow.write_paused:
            self.transport.close()
        else:
            self.transport.abort()

    # one request

    async def forward(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Read one request of a client and forward it; this is the ASGI app of the connection."""
        headers = scope["headers"]
        fields = {name: value for name, value in reversed(headers)}
        reservation = BodyReservation(self.forwarder.daemon)
        request = None
        try:
            self._check_head(scope, fields)
            body = await self._read_body(receive, fields, reservation)
            self.flow.resume_reading()
            self.request = request = self._new_request(scope, fields, body, send)
            if self.cycle.disconnected:
                return
            facts = request_facts(
                method=request.method, target=request.target, fields=fields, size=len(body), dialect=self.forwarder.dialect
            )
            await self.forwarder.run(request, facts)
        except RequestRefusedError as error:
            await send_result_code(send, error.status, error.code, retry_after=error.retry_after, close=True)
        except ClientLeftError:
            pass
        finally:
            reservation.release()
            if self.request is request:  # the next request of a client that does not wait may be under way
                self.request = None

    def _check_head(self, scope: Scope, fields: Fields) -> None:
        """Check a head against the limits.

        :raises RequestRefusedError: it is too large, ambiguous, or announces too large a body.
        """
        limits, length = self.forwarder.limits, fields.get(b"content-length")
        header_bytes = sum([len(name) + len(value) + HEADER_LINE_OVERHEAD for name, value in scope["headers"]])
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

        :raises RequestRefusedError: it is too large, too slow, or there is no room for it.
        :raises ClientLeftError: the client left before its end.
        """
        limits, body = self.forwarder.limits, b""
        if not self.cycle.more_body:  # all of it came with the head
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
        """Receive a body piece by piece, until it ends or is too large."""
        pieces = []
        with anyio.CancelScope() as scope:
            while True:
                scope.deadline = anyio.current_time() + limits.idle_timeout / SECOND
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise ClientLeftError
                pieces.append(message["body"])
                reservation.add(len(message["body"]))
                if not message["more_body"] or reservation.size > limits.body_bytes or reservation.is_full():
                    break
        if scope.cancelled_caught:
            raise RequestRefusedError(408, result_codes.SLOW_BODY)
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _new_request(self, scope: Scope, fields: Fields, body: bytes, send: Send) -> ClientRequest:
        """Return the request as it is to be forwarded."""
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
