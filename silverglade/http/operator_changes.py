"""Operators' changes over the HTTP API: checked before they are passed on, cancelled when the caller disconnects (design 5.4)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
import anyio.lowlevel

from ..runtime.errors import ChangeTooLargeError, InvalidCallError, SilvergladeError
from ..transport.framing import fits_in_frame
from .asgi import Receive, wait_for_disconnect

if TYPE_CHECKING:
    from ..server.daemon import Daemon

DISCONNECT_CHECK_TURNS = 8
"""Iterations of the event loop after which the disconnect of a caller that left before its call was read has been noticed."""

Change = TypeVar("Change", bound=tuple[Any, ...])


def checked_size(change: Change) -> Change:
    """Return the given change if it fits into a message between daemons.

    :raises InvalidCallError: it has values that cannot be encoded.
    :raises ChangeTooLargeError: it is too large.
    """
    try:
        fits = fits_in_frame(change)
    except SilvergladeError as error:
        raise InvalidCallError(error.detail) from error
    if not fits:
        raise ChangeTooLargeError()
    return change


async def call_unless_caller_leaves(
    daemon: Daemon, receive: Receive, operation: str, arguments: tuple[Any, ...]
) -> tuple[int, Mapping[str, Any]] | None:
    """Call an operation and return its result; cancel it and return None if the caller disconnects.

    The body of the request must have been read before.
    """
    result = None
    async with anyio.create_task_group() as task_group:

        async def watch_caller() -> None:
            await wait_for_disconnect(receive)
            task_group.cancel_scope.cancel()

        task_group.start_soon(watch_caller)
        for _ in range(DISCONNECT_CHECK_TURNS):
            await anyio.lowlevel.checkpoint()
        result = await daemon.call(operation, arguments)
        task_group.cancel_scope.cancel()
    return result
