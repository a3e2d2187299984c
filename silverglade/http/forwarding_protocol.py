"""The face for clients (design 15): any method, path and body, over uvicorn's h11 protocol.

A connection's protocol is itself the app, so that it sees at once when its client goes, and can end an
answer without an end.
"""

import socket
import struct

import anyio
import h11
from uvicorn.protocols.http.h11_impl import H11Protocol

from ..server.client_request import ClientRequest, end_to_end_headers, small
from ..server.daemon import BODIES
from .connection_pool import SECOND

RESET = struct.pack("ii", 1, 0)
OWN = frozenset((b"expect", b"content-length"))


class Conn(h11.Connection):
    """Keeps the target as it was sent: a scope cannot tell "/a?" from "/a"."""

    def next_event(self):
        e = super().next_event()
        if type(e) is h11.Request:
            self.target = e.target
        return e


class Joined:
    """A transport that can join what is written: a head and its body cost one call and one packet."""

    def __init__(self, t):
        self.t, self.out, self.depth = t, [], 0

    def __getattr__(self, name):
        return getattr(self.t, name)

    def write(self, b):
        self.out.append(b) if self.depth else self.t.write(b)

    def __enter__(self):
        self.depth += 1

    def __exit__(self, *e):
        self.depth -= 1
        self.flush()

    def flush(self):
        if self.out:
            out, self.out = b"".join(self.out), []
            self.t.write(out)

    def close(self):
        self.flush()
        self.t.close()


def whole(b, most=2**53):
    return int(b) if b is not None and b.isdigit() and len(b) < 17 and int(b) < most else None


def parts(b):
    """ID:TOKENS,... -> ((id, tokens), ...); none if it cannot be read."""
    out = []
    for one in b.split(b",") if b else ():
        i, _, n = one.strip().rpartition(b":")
        n = whole(n)
        if not i or n is None:
            return ()
        out.append((i.decode("latin-1"), n))
    return tuple(out)


def pair(b):
    a, _, c = (b or b"").partition(b",")
    a, c = whole(a.strip()), whole(c.strip())
    return None if a is None or c is None else (a, c)


def host(b):
    h = b.decode("latin-1").strip().lower()
    name, _, port = h.rpartition(":")
    return name if name and (port.isdigit() or not port) and not h.endswith("]") else h


def facts(*, method, target, fields, size, dialect):
    """What the part is told of a request."""

    def text(k):
        return fields[k].decode("latin-1") if k in fields else None

    return {
        "host": host(fields.get(b"host", b"")),
        "path": target.partition(b"?")[0].decode("latin-1"),
        "method": method,
        "attempt": text(dialect.attempt) or "",
        "deadline_ms": whole(fields.get(dialect.deadline)),
        "prefix": parts(fields.get(dialect.prefix)),
        "tokens": pair(fields.get(dialect.tokens)),
        "model": text(dialect.model) or "",
        "last_event": text(dialect.last_event),
        "version": text(dialect.version),
        "size": size,
    }


class ForwardingProtocol(H11Protocol):
    """A connection: a client's on the port given (any, if none is), else one of the daemon's own apps."""

    def __init__(self, *a, shell, port=None, **kw):
        super().__init__(*a, **kw)
        self.shell, self.port, self.ask, self.head_timer, self.mine = shell, port, None, None, False

    # times: a head that is begun must come whole, an idle connection ends
    def connection_made(self, transport):
        super().connection_made(transport)
        self.mine = self.port is None or bool(self.server) and self.server[1] == self.port
        if not self.mine:
            return
        self.transport = Joined(transport)
        self.app, self.conn = self.forward, Conn(h11.SERVER, self.shell.limits.header_bytes)
        li = self.shell.limits
        self.timeout_keep_alive = li.idle_timeout / SECOND
        self.arm(max(li.header_timeout, li.idle_timeout))

    def arm(self, span):
        self.disarm()
        self.head_timer = self.loop.call_later(span / SECOND, self.timeout_keep_alive_handler)

    def disarm(self):
        if self.head_timer:
            self.head_timer.cancel()
            self.head_timer = None

    def data_received(self, data):
        if not self.mine:
            return super().data_received(data)
        fresh = self.conn.their_state is h11.IDLE and not self.conn.trailing_data[0]
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self.disarm()
        elif fresh:
            self.arm(self.shell.limits.header_timeout)

    def connection_lost(self, exc):
        self.disarm()
        super().connection_lost(exc)
        if self.ask:
            self.ask.put(("gone",))

    def on_response_complete(self):
        if self.mine:
            self.timeout_keep_alive = self.shell.limits.idle_timeout / SECOND
        super().on_response_complete()

    def together(self):
        return self.transport

    def cut(self, cycle):
        """That cycle's answer must not look complete: no last chunk, or too few bytes; nothing at all before its head.

        Where it is complete already, the connection may be another request's by now.
        """
        if cycle is not self.cycle or cycle.response_complete:
            return
        if self.conn.their_http_version == b"1.0":  # there the end of the connection ends an answer
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()
        elif self.cycle.response_started and not self.flow.write_paused:
            self.transport.close()
        else:
            self.transport.abort()

    async def forward(self, scope, receive, send):
        shell, li, target, headers = self.shell, self.shell.limits, self.conn.target, scope["headers"]
        fields = {k: v for k, v in reversed(headers)}
        n, chunked = fields.get(b"content-length"), b"transfer-encoding" in fields
        if len(target) + sum([len(k) + len(v) + 4 for k, v in headers]) > li.header_bytes:
            return await small(send, 431, 810, close=True)
        if chunked and n is not None or scope["method"] == "CONNECT":
            return await small(send, 400, 208, close=True)
        if n is not None and int(n) > li.body_bytes:
            return await small(send, 413, 204, close=True)
        d, size, body, a = shell.d, 0, b"", None
        try:
            if not self.cycle.more_body:  # all of it came with the head
                body = bytes(self.cycle.body)
                size = len(body)
                d.bodies += size
            elif n is not None and n != b"0" or chunked:
                got = []
                with anyio.CancelScope() as wait:
                    while True:
                        wait.deadline = anyio.current_time() + li.idle_timeout / SECOND
                        m = await receive()
                        if m["type"] == "http.disconnect":
                            return
                        got.append(m["body"])
                        size += len(got[-1])
                        d.bodies += len(got[-1])
                        if size > li.body_bytes or d.bodies > BODIES:
                            break
                        if not m["more_body"]:
                            break
                if wait.cancelled_caught:
                    return await small(send, 408, 311, close=True)
                body = got[0] if len(got) == 1 else b"".join(got)
                got = None
            if size > li.body_bytes:
                return await small(send, 413, 204, close=True)
            if d.bodies > BODIES:
                return await small(send, 503, 310, wait=1.0, close=True)
            self.flow.resume_reading()
            out = [h for h in end_to_end_headers(headers, fields) if h[0] not in OWN]
            if body or n is not None:
                out.append((b"content-length", b"%d" % size))
            a = ClientRequest(
                rid=shell.rid(),
                method=scope["method"],
                target=target,
                headers=out,
                attempt=fields.get(shell.dialect.attempt, b""),
                body=body,
                send=send,
                client=self,
                cycle=self.cycle,
                closing=shell.closing,
            )
            self.ask = a
            if self.cycle.disconnected:
                return
            await shell.run(a, facts(method=a.method, target=target, fields=fields, size=size, dialect=shell.dialect))
        finally:
            d.bodies -= size
            if self.ask is a:  # the next request of a client that does not wait may be under way
                self.ask = None
