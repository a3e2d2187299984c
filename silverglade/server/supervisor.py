"""The supervisor tree (design 1.3): a child that fails is started again, a few times."""

import time
from datetime import timedelta

import anyio

from ..runtime.structured_logging import format_line

FEW, WITHIN = 5, timedelta(seconds=30)


async def keep(*, name, run, lg):
    """Run a child until it returns; restart it on failure; too many failures go up."""
    falls = []
    while True:
        try:
            await run()
            return
        except Exception as e:  # noqa: BLE001  a child's any fault
            t = timedelta(seconds=time.monotonic())
            falls = [x for x in falls if t - x < WITHIN] + [t]
            lg.error(format_line("child-fell", [("child", name), ("why", repr(e)), ("falls", len(falls))]))
            if len(falls) >= FEW:
                raise
            await anyio.sleep(0.2 * len(falls))
