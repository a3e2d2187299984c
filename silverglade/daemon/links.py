"""Links between daemons (design 3.1): a task for each peer and lane owns its socket; frames over TCP.

Three connections to each peer, so that a heartbeat waits neither behind a body nor behind a
copy of the whole book: what keeps the system together, what concerns orders, what is bulky.
"""

import contextlib
import time

import anyio

from .. import wire
from ..faults import Fault
from ..log import line
from .lanes import lane

QUEUE = 4096
HELD = 2.0  # seconds that a message waits for a peer that takes no connection
DOWN = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError, TimeoutError)


def split(addr):
    ip, port = addr.rsplit(":", 1)
    return ip, int(port)


class Links:
    def __init__(self, *, me, life, addr, heard, lg):
        self.me, self.life, self.addr, self.heard, self.lg = me, life, addr, heard, lg
        self.at, self.out, self.group, self.lost = {}, {}, None, 0
        self.up = anyio.Event()  # from here on messages go out

    def peer(self, name, addr):
        self.at[name] = addr

    def send(self, to, body):
        """Never waits: a full queue drops the message, which every protocol here survives."""
        addr = to[1:] if to.startswith("@") else self.at.get(to)
        if addr is None or self.group is None:
            return
        way = (addr, "bulk" if body[0] in wire.BULK else lane(body[0]))
        if way not in self.out:
            self.out[way], r = anyio.create_memory_object_stream(QUEUE)
            self.group.start_soon(self.link, addr, r)
        try:
            self.out[way].send_nowait((time.monotonic(), wire.pack(frm=self.me, life=self.life, body=body)))
        except anyio.WouldBlock:
            self.lost += 1
        except Fault as e:
            self.lg.warning(line("frame-not-sent", [("to", to), ("kind", body[0]), ("code", e.code)]))

    async def link(self, addr, queue):
        """A message that waited long for a peer which took no connection is not sent: whoever is there by then, another
        life of the peer or another daemon with its address, is not whom it was meant for, and every protocol here says it again."""
        wait, away = 0.05, False
        while True:
            queued, data = await queue.receive()
            try:
                with anyio.fail_after(1):
                    s = await anyio.connect_tcp(*split(addr), local_host=split(self.addr)[0])
            except (OSError, TimeoutError):
                while queue.statistics().current_buffer_used > 64:
                    queue.receive_nowait()  # stale news to a dead peer
                await anyio.sleep(wait)
                wait, away = min(0.5, wait * 2), True
                continue
            stale = time.monotonic() - HELD if away else 0.0  # when it was queued, at the latest
            wait, away = 0.05, False
            async with s, anyio.create_task_group() as tg:
                tg.start_soon(self.ended, s, tg.cancel_scope)
                with contextlib.suppress(*DOWN):
                    while True:
                        if queued >= stale:
                            with anyio.fail_after(5):
                                await s.send(data)
                        queued, data = await queue.receive()
                tg.cancel_scope.cancel()
            self.lg.info(line("link-down", [("to", addr)]))

    async def ended(self, s, scope):
        """Nobody speaks on this side of a link: it ends when its peer does, and is made anew for the next
        message. An idle link to a daemon that was started again would swallow one or two otherwise."""
        with contextlib.suppress(anyio.EndOfStream, *DOWN):
            await s.receive(1)
        scope.cancel()

    async def take(self, s):
        """One inbound connection; a bad frame closes it and nothing else."""
        fr = wire.frames()
        next(fr)
        async with s:
            try:
                async for chunk in s:
                    for raw in fr.send(chunk):
                        frm, _, body = wire.unpack(raw)
                        await self.heard(frm, body)
            except Fault as e:
                self.lg.warning(line("frame-refused", [("code", e.code), ("why", e.detail)]))
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                pass

    async def run(self):
        ip, port = split(self.addr)
        lis = await anyio.create_tcp_listener(local_host=ip, local_port=port, reuse_port=False)
        async with anyio.create_task_group() as self.group, lis:
            self.up.set()
            await lis.serve(self.take)
