"""Region delays and cuts between real processes (design 10.4).

Every daemon and replica is reached by others through an address of this relay, which knows
the caller by its own address, holds what it sends for the delay of the two regions, and
drops both directions of what is cut.
"""

import time

import anyio

CHUNK = 65536


class Relay:
    def __init__(self, *, delay):
        self.delay, self.region, self.cut, self.group = delay, {}, set(), None
        self.severed = set()  # (from, to): addresses of machines between which nothing passes in this direction

    def gap(self, a, b):
        ra, rb = self.region.get(a), self.region.get(b)
        return 0.0003 if ra == rb else self.delay / 1000

    def shut(self, a, b):
        return (a, b) in self.severed or (self.region.get(a), self.region.get(b)) in self.cut

    async def pass_(self, frm, to, a, b):
        put, got = anyio.create_memory_object_stream(256)

        async def later():
            async for at, data in got:
                await anyio.sleep(max(0, at - time.monotonic()))
                while self.shut(a, b):
                    await anyio.sleep(0.05)
                await to.send(data)
            await to.aclose()

        async with anyio.create_task_group() as tg:
            tg.start_soon(later)
            async with put:
                try:
                    while True:
                        data = await frm.receive(CHUNK)
                        await put.send((time.monotonic() + self.gap(a, b), data))
                except (anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError):
                    pass

    async def open(self, *, told, real):
        """Listen at `told` (ip, port) for `real`."""

        async def one(s):
            caller = s.extra(anyio.abc.SocketAttribute.remote_address, None)
            async with s:
                if caller is None:  # it was reset before it was accepted
                    return
                a = caller[0]
                if self.shut(a, real[0]):
                    await anyio.sleep(3)
                    return
                try:
                    t = await anyio.connect_tcp(*real)
                except OSError:
                    return
                async with t:
                    try:
                        async with anyio.create_task_group() as tg:
                            tg.start_soon(self.pass_, s, t, a, real[0])
                            tg.start_soon(self.pass_, t, s, real[0], a)
                    except* (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                        pass

        lis = await anyio.create_tcp_listener(local_host=told[0], local_port=told[1])
        async with lis:
            await lis.serve(one)
