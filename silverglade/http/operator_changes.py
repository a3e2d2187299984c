"""An operator's change at the HTTP surface: looked at before it is handed on, given up when its caller leaves (design 5.4)."""

import anyio
import anyio.lowlevel

from ..runtime.errors import ChangeTooLargeError, InvalidCallError, SilvergladeError
from ..transport import framing as wire

TURNS = 8  # of the event loop: after so many a caller that left before its call was read has been seen to leave


def portable(change):
    """Raises for what daemons could not send each other, so that it goes no further."""
    try:
        fits = wire.fits_in_frame(change)
    except SilvergladeError as e:
        raise InvalidCallError(e.detail) from e
    if not fits:
        raise ChangeTooLargeError()
    return change


async def settled(d, receive, op, args):
    """-> the call's (code, fields); None when its caller has left. The request's body was read before."""
    result = None
    async with anyio.create_task_group() as tasks:

        async def watch():
            while (await receive())["type"] != "http.disconnect":
                pass
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        for _ in range(TURNS):
            await anyio.lowlevel.checkpoint()
        result = await d.call(op, args)
        tasks.cancel_scope.cancel()
    return result
