"""The task that writes to the data folder (design 5.1), so that a stalled disk blocks no other task."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Sequence

import anyio
import anyio.to_thread

from ..runtime.effects import DiskOperation
from ..runtime.events import DiskWriteCompleted
from ..runtime.structured_logging import format_line
from .disk import DataFolder

QUEUE_LENGTH = 4096
MAX_WRITES_PER_SYNC = 256

WriteToken = tuple[str, int]
Write = tuple[WriteToken, Sequence[DiskOperation]]


class DiskWriter:
    """Writes the components' data in the order submitted; queued writes share one transaction and one sync (group commit).

    :param data_folder: folder to write to; None for a daemon without a disk.
    :param delay_s: returns the delay added before each transaction, to rehearse a slow disk.
    :param report: queues `DiskWriteCompleted` for the daemon machine.
    """

    def __init__(
        self,
        *,
        data_folder: DataFolder | None,
        delay_s: Callable[[], float],
        report: Callable[[DiskWriteCompleted], Awaitable[None]],
        logger: logging.Logger,
    ) -> None:
        self._data_folder = data_folder
        self._delay_s = delay_s
        self._report = report
        self._logger = logger
        self._sender, self._receiver = anyio.create_memory_object_stream[Write](QUEUE_LENGTH)

    def submit(self, token: WriteToken, operations: Sequence[DiskOperation]) -> bool:
        """Queue a write; return False if the queue is full, in which case it is discarded."""
        try:
            self._sender.send_nowait((token, operations))
        except anyio.WouldBlock:
            self._logger.error(format_line("disk-queue-full"))
            return False
        return True

    async def run(self) -> None:
        """Write until cancelled."""
        assert self._data_folder is not None
        while True:
            writes = await self._next_writes()
            succeeded = await self._write(self._data_folder, writes)
            for token, _ in writes:
                await self._report(DiskWriteCompleted(token, succeeded))

    async def _next_writes(self) -> list[Write]:
        """Wait for a write, and return it together with those queued after it, up to `MAX_WRITES_PER_SYNC`."""
        writes = [await self._receiver.receive()]
        while len(writes) < MAX_WRITES_PER_SYNC:
            try:
                writes.append(self._receiver.receive_nowait())
            except anyio.WouldBlock:
                break
        return writes

    async def _write(self, data_folder: DataFolder, writes: list[Write]) -> bool:
        """Write and sync; return whether all writes are on disk."""
        await anyio.sleep(self._delay_s())
        operations = [operation for _, operations_of_write in writes for operation in operations_of_write]
        try:
            await anyio.to_thread.run_sync(data_folder.write, operations, abandon_on_cancel=True)
        except Exception as error:  # noqa: BLE001  the disk may be full, faulty or removed
            self._logger.error(format_line("disk-write-failed", [("why", error), ("writes", len(writes))]))
            return False
        return True
