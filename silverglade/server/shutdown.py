"""SIGTERM (design 1.4, 15.9): the daemon leaves by its timetable; what it has read ends whole or is answered."""

import signal
import time
from datetime import timedelta

import anyio

from ..runtime.shutdown_timetable import timetable
from ..runtime.structured_logging import format_line

GRACE = timedelta(seconds=31)  # of a daemon of which nothing else says how long it may take
LOOK, LAST_LOOKS = 0.1, 0.05  # seconds between looks at what is under way
TOLD = 0.3  # seconds for the others to hear that it has left
LOST_WITH_DAEMON, UNKNOWN_OUTCOME = 405, 503


def clock():
    return timedelta(seconds=time.monotonic())


class SignalTimes:
    """When SIGTERM came: Python's own handler runs between two steps of the program, the event loop's may run much later."""

    def __init__(self):
        self.told_at = None

    def watch(self):
        """To be called once the event loop has its own handler, which goes on being woken."""
        signal.signal(signal.SIGTERM, self.note)

    def note(self, *_):
        self.told_at = self.told_at or clock()


def times(daemon, told_at):
    """The timetable of this daemon, told at that time to stop."""
    outer = daemon.outer
    if outer is None:
        return timetable(told_at=told_at, grace=GRACE)
    linger = outer.linger if outer.front else timedelta(0)
    return timetable(told_at=told_at, grace=outer.grace, linger=linger, cut_streams_for=outer.cut_streams_for)


def holds_door(daemon, at):
    """Is there a reason to keep listening? Clients that don't know better, orders, and for a while requests under way."""
    now = clock()
    return now < at.quiet_at or daemon.relays or daemon.jobs or daemon.shell.asks and now < at.half_at


async def leave(daemon, *, told_at=None):
    """Stop taking work, tell the others, end what is under way, answer the rest; then the daemon ends. A second call does nothing."""
    if daemon.draining:
        return
    daemon.draining = True
    daemon.lg.info(format_line("drain", []))
    at = times(daemon, told_at or clock())
    await daemon.lanes.send(("leaving", at.streams_until, at.answer_at, at.end_at))
    await daemon.lanes.send(("drain",))
    await daemon.lanes.send(("state", "leaving"))
    while clock() < at.close_by and holds_door(daemon, at):
        await anyio.sleep(LOOK)
    while clock() < at.close_by and daemon.store and not daemon.released:
        await anyio.sleep(LOOK)
    await daemon.lanes.send(("state", "left"))
    await anyio.sleep(TOLD)
    daemon.closing.set()  # no new connections; idle ones end, the others with their answers
    while clock() < at.answer_at and (daemon.relays or daemon.shell.asks or daemon.open):
        await anyio.sleep(LAST_LOOKS)
    conclude(daemon)
    while clock() < at.end_at and (daemon.shell.asks or daemon.open):
        await anyio.sleep(LAST_LOOKS)
    daemon.stopping.set()


def conclude(daemon):
    """The last moment for answers: to requests, to visitors' orders, to operators."""
    left = dict(requests=len(daemon.shell.asks), orders=len(daemon.relays), calls=len(daemon.calls))
    if any(left.values()):
        daemon.lg.warning(format_line("concluded", list(left.items())))
    daemon.shell.conclude()
    for order in list(daemon.relays):
        daemon.result(order, "fault", [LOST_WITH_DAEMON, "maybe", 1000])
    for call in list(daemon.calls):
        daemon.act(("reply", call, UNKNOWN_OUTCOME, {}))
