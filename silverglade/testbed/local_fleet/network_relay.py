"""Region delays and partitions between real processes (design 10.4).

Every daemon and replica is reached by others through an address of this relay, which knows
the caller by its own address, delays what it sends by the delay between the two regions, and
lets nothing pass in the directions that are partitioned.
"""

from __future__ import annotations

import time

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream

CHUNK_BYTES = 65536
QUEUED_CHUNKS = 256
SAME_REGION_DELAY_S = 0.0003
PARTITION_POLL_S = 0.05
CONNECT_DURING_PARTITION_S = 3.0  # a connection made then is closed after so long
STREAM_ENDED = (anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError)
Address = tuple[str, int]
Direction = tuple[str, str]  # from, to


class Relay:
    """The network between the processes of a fleet.

    :ivar delay_ms: between two regions, one way.
    :ivar region: of each address.
    :ivar cut_regions: pairs of regions between which nothing passes in this direction.
    :ivar cut_addresses: pairs of addresses between which nothing passes in this direction.
    """

    def __init__(self, *, delay_ms: float) -> None:
        """Begin with a network that is whole.

        :param delay_ms: between two regions, one way.
        """
        self.delay_ms = delay_ms
        self.region: dict[str, str] = {}
        self.cut_regions: set[Direction] = set()
        self.cut_addresses: set[Direction] = set()

    def _delay_s(self, sender: str, receiver: str) -> float:
        same_region = self.region.get(sender) == self.region.get(receiver)
        return SAME_REGION_DELAY_S if same_region else self.delay_ms / 1000

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether nothing passes between two addresses in this direction."""
        regions = (self.region.get(sender), self.region.get(receiver))
        return (sender, receiver) in self.cut_addresses or regions in self.cut_regions

    async def open(self, *, told: Address, real: Address) -> None:
        """Relay connections until cancelled.

        :param told: the address at which others reach the process.
        :param real: the address at which it listens.
        """

        async def serve(stream: anyio.abc.SocketStream) -> None:
            await self._serve_connection(stream, real)

        listener = await anyio.create_tcp_listener(local_host=told[0], local_port=told[1])
        async with listener:
            await listener.serve(serve)

    async def _serve_connection(self, stream: anyio.abc.SocketStream, real: Address) -> None:
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address, None)
        async with stream:
            if remote is None:  # it was reset before it was accepted
                return
            caller = remote[0]
            if self.is_cut(caller, real[0]):
                await anyio.sleep(CONNECT_DURING_PARTITION_S)
                return
            try:
                target = await anyio.connect_tcp(*real)
            except OSError:
                return
            async with target:
                try:
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(self._forward, stream, target, caller, real[0])
                        tasks.start_soon(self._forward, target, stream, real[0], caller)
                except* (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                    pass

    async def _forward(self, source: anyio.abc.SocketStream, target: anyio.abc.SocketStream, sender: str, receiver: str) -> None:
        """Pass on what comes in one direction, each chunk when its delay is over."""
        queue, chunks = anyio.create_memory_object_stream[tuple[float, bytes]](QUEUED_CHUNKS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_delayed, chunks, target, sender, receiver)
            async with queue:
                try:
                    while True:
                        data = await source.receive(CHUNK_BYTES)
                        await queue.send((time.monotonic() + self._delay_s(sender, receiver), data))
                except STREAM_ENDED:
                    pass

    async def _send_delayed(
        self, chunks: MemoryObjectReceiveStream[tuple[float, bytes]], target: anyio.abc.SocketStream, sender: str, receiver: str
    ) -> None:
        async for send_at, data in chunks:
            await anyio.sleep(max(0, send_at - time.monotonic()))
            while self.is_cut(sender, receiver):
                await anyio.sleep(PARTITION_POLL_S)
            await target.send(data)
        await target.aclose()
