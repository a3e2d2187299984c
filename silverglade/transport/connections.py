"""Links between daemons (design 3.1): a task for each peer and lane owns its socket; frames over TCP.

Three connections to each peer, so that a heartbeat waits neither behind a body nor behind a
copy of the whole book: what keeps the system together, what concerns orders, what is bulky.
"""

import contextlib
import socket
import time

import anyio
from anyio.abc import SocketAttribute

from ..runtime.errors import SilvergladeError
from ..runtime.structured_logging import format_line
from ..server.priority_queues import queue_for
from . import framing as wire

QUEUE = 4096
HELD = 2.0  # seconds that a message waits for a peer that takes no connection
CONNECT = 0.5  # seconds for a connection to come up
FIRST_PAUSE, LONGEST_PAUSE = 0.05, 0.25  # seconds between attempts
# A peer behind a cut, or without power, ends no connection, and the kernel sends again what it did not take at ever longer
# intervals: seconds after the cut is healed. So a connection whose bytes nobody takes for this long (ms) ends, and a new one is tried.
UNTAKEN = 2000
KEEPALIVE = ((socket.TCP_KEEPIDLE, 30), (socket.TCP_KEEPINTVL, 5), (socket.TCP_KEEPCNT, 3))
DOWN = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError, TimeoutError)


def raw(stream):
    return stream.extra(SocketAttribute.raw_socket)


def keep_alive(s):
    """A peer that lost its power ends no connection: the kernel asks it now and then."""
    s.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in KEEPALIVE:
        s.setsockopt(socket.IPPROTO_TCP, name, value)


def split(addr):
    ip, port = addr.rsplit(":", 1)
    return ip, int(port)


class PeerConnections:
    def __init__(self, *, me, life, addr, heard, lg):
        self.me, self.life, self.addr, self.heard, self.lg = me, life, addr, heard, lg
        self.at, self.out, self.group, self.lost = {}, {}, None, 0
        self.up = anyio.Event()  # from here on messages go out
        self.away = {}  # address of a peer that takes no connection -> an event: it was heard

    def peer(self, name, addr):
        self.at[name] = addr

    def send(self, to, body):
        """Never waits: a full queue drops the message, which every protocol here survives."""
        addr = to[1:] if to.startswith("@") else self.at.get(to)
        if addr is None or self.group is None:
            return
        way = (addr, "bulk" if body[0] in wire.BULK_MESSAGES else queue_for(body[0]))
        if way not in self.out:
            self.out[way], r = anyio.create_memory_object_stream(QUEUE)
            self.group.start_soon(self.link, addr, r)
        try:
            self.out[way].send_nowait((time.monotonic(), wire.encode_frame(frm=self.me, life=self.life, body=body)))
        except anyio.WouldBlock:
            self.lost += 1
        except SilvergladeError as e:
            self.lg.warning(format_line("frame-not-sent", [("to", to), ("kind", body[0]), ("code", e.code)]))

    async def link(self, addr, queue):
        """A message that waited long for a peer which took no connection is not sent: whoever is there by then, another
        life of the peer or another daemon with its address, is not whom it was meant for, and every protocol here says it again."""
        away = False
        while True:
            queued, data = await queue.receive()
            s = await self.open(addr, queue, patience=HELD - (time.monotonic() - queued))
            if s is None:
                away = True
                continue
            stale = time.monotonic() - HELD if away else 0.0  # when it was queued, at the latest
            away = False
            async with s, anyio.create_task_group() as tg:
                tg.start_soon(self.ended, s, tg.cancel_scope)
                with contextlib.suppress(*DOWN):
                    while True:
                        if queued >= stale:
                            with anyio.fail_after(5):
                                await s.send(data)
                        queued, data = await queue.receive()
                tg.cancel_scope.cancel()
            self.lg.info(format_line("link-down", [("to", addr)]))

    async def open(self, addr, queue, *, patience):
        """A connection to that address, tried for so many seconds, once at least; None if none came up."""
        pause, until = FIRST_PAUSE, time.monotonic() + patience
        while True:
            with contextlib.suppress(OSError, TimeoutError), anyio.fail_after(CONNECT):
                s = await anyio.connect_tcp(*split(addr), local_host=split(self.addr)[0])
                raw(s).setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNTAKEN)
                return s
            while queue.statistics().current_buffer_used > 64:
                queue.receive_nowait()  # stale news to a dead peer
            if time.monotonic() >= until:
                return None
            await self.pause(addr, pause)
            pause = min(LONGEST_PAUSE, pause * 2)

    async def pause(self, addr, seconds):
        """Until the next attempt: so long, or until the peer is heard, as after a cut."""
        heard = self.away.setdefault(addr, anyio.Event())
        with anyio.move_on_after(seconds):
            await heard.wait()

    def nudge(self, name):
        """This peer is there: what waits for it to take a connection tries at once."""
        heard = self.away.pop(self.at.get(name), None)
        if heard:
            heard.set()

    async def ended(self, s, scope):
        """Nobody speaks on this side of a link: it ends when its peer does, and is made anew for the next
        message. An idle link to a daemon that was started again would swallow one or two otherwise."""
        with contextlib.suppress(anyio.EndOfStream, *DOWN):
            await s.receive(1)
        scope.cancel()

    async def take(self, s):
        """One inbound connection; a bad frame closes it and nothing else."""
        frames, known = wire.frames(), False
        next(frames)
        keep_alive(raw(s))
        async with s:
            try:
                async for chunk in s:
                    for frame in frames.send(chunk):
                        frm, _, body = wire.decode_frame(frame)
                        if not known:
                            known = True
                            self.nudge(frm)
                        await self.heard(frm, body)
            except SilvergladeError as e:
                self.lg.warning(format_line("frame-refused", [("code", e.code), ("why", e.detail)]))
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                pass

    async def run(self):
        ip, port = split(self.addr)
        lis = await anyio.create_tcp_listener(local_host=ip, local_port=port, reuse_port=False)
        async with anyio.create_task_group() as self.group, lis:
            self.up.set()
            await lis.serve(self.take)
