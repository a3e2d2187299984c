"""SIGTERM (design 1.4, 15.9): a daemon shuts down by its timetable; what it has read ends complete or is answered."""

from __future__ import annotations

import signal
import time
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import anyio

from ..runtime import result_codes
from ..runtime.effects import Reply, to_milliseconds, to_tuple
from ..runtime.events import DaemonStateChanged, DrainStarted, ShutdownStarted
from ..runtime.shutdown_timetable import Timetable, timetable
from ..runtime.structured_logging import format_line

if TYPE_CHECKING:
    from .daemon import Daemon

DEFAULT_GRACE = timedelta(seconds=31)
"""Of a daemon of which nothing else says how long it may take."""

CHECK_INTERVAL_S, LAST_CHECK_INTERVAL_S = 0.1, 0.05
"""Between looks at what is under way."""

ANNOUNCEMENT_S = 0.3
"""For the others to hear that it has left."""

RETRY_TENANT_REQUEST_MS = 1000


def clock() -> timedelta:
    """Return the time of the monotonic clock."""
    return timedelta(seconds=time.monotonic())


class SignalTimes:
    """Notes when SIGTERM came: Python's own handler runs between two steps of the program, the event loop's may run much later.

    :ivar told_at: when the first came, or None.
    """

    def __init__(self) -> None:
        self.told_at: timedelta | None = None

    def watch(self) -> None:
        """Begin; to be called once the event loop has its own handler, which goes on being woken."""
        signal.signal(signal.SIGTERM, self._note)

    def _note(self, *_: Any) -> None:
        self.told_at = self.told_at or clock()


def timetable_of(daemon: Daemon, told_at: timedelta) -> Timetable:
    """Return the timetable of a daemon that was told at that time to stop."""
    adapter = daemon.adapter
    if adapter is None:
        return timetable(stop_requested_at=told_at, grace=DEFAULT_GRACE)
    linger = adapter.linger if adapter.client_address else timedelta(0)
    return timetable(stop_requested_at=told_at, grace=adapter.grace, linger=linger, cut_streams_for=adapter.cut_streams_for)


def must_listen(daemon: Daemon, times: Timetable) -> bool:
    """Whether there is a reason to keep listening: clients that know no better, tenants' requests, for a while forwarded ones."""
    now = clock()
    if now < times.linger_until or daemon.tenant_requests.result_streams or daemon.tenant_requests.dispatches:
        return True
    return bool(daemon.forwarder.requests) and now < times.listeners_held_until


async def shut_down(daemon: Daemon, *, told_at: timedelta | None = None) -> None:
    """Stop taking work, tell the others, end what is under way, answer the rest; then the daemon ends. A second call does nothing."""
    if daemon.draining:
        return
    daemon.draining = True
    began_at = clock()
    told_at = told_at or began_at
    daemon.logger.info(
        format_line("drain", [("noticed_ms", to_milliseconds(began_at - told_at)), ("requests", len(daemon.forwarder.requests))])
    )
    times = timetable_of(daemon, told_at)
    await daemon.queues.send(ShutdownStarted(times.streams_until, times.answer_at, times.end_at))
    await daemon.queues.send(DrainStarted())
    await daemon.queues.send(DaemonStateChanged("leaving"))
    while clock() < times.close_by and must_listen(daemon, times):
        await anyio.sleep(CHECK_INTERVAL_S)
    while clock() < times.close_by and daemon.data_folder and not daemon.may_exit:
        await anyio.sleep(CHECK_INTERVAL_S)
    await daemon.queues.send(DaemonStateChanged("left"))
    await anyio.sleep(ANNOUNCEMENT_S)
    daemon.closing.set()  # no new connections; idle ones end, the others with their responses
    while clock() < times.answer_at and (daemon.tenant_requests.result_streams or daemon.forwarder.requests or daemon.open_connections):
        await anyio.sleep(LAST_CHECK_INTERVAL_S)
    answer_what_waits(daemon)
    while clock() < times.end_at and (daemon.forwarder.requests or daemon.open_connections):
        await anyio.sleep(LAST_CHECK_INTERVAL_S)
    log_what_is_cut(daemon, told_at)
    daemon.stopping.set()


def log_what_is_cut(daemon: Daemon, told_at: timedelta) -> None:
    """Log how many requests end with the process, and how long after the signal the last of them was read."""
    requests = daemon.forwarder.requests.values()
    if requests:
        last_ms = max(to_milliseconds(request.received_at - told_at) for request in requests)
        begun = sum(request.was_started for request in requests)
        daemon.logger.warning(format_line("cut-at-shutdown", [("requests", len(requests)), ("begun", begun), ("last_after_ms", last_ms)]))


def answer_what_waits(daemon: Daemon) -> None:
    """Answer, at the last moment, forwarded requests, tenants' requests and operators' calls."""
    forwarded, tenants, calls = daemon.forwarder.requests, daemon.tenant_requests.result_streams, daemon.pending_calls
    if forwarded or tenants or calls:
        counts = [("forwarded", len(forwarded)), ("tenant_requests", len(tenants)), ("calls", len(calls))]
        daemon.logger.warning(format_line("answered-at-shutdown", counts))
    daemon.forwarder.answer_before_shutdown()
    for request_id in list(tenants):
        daemon.deliver_result(request_id, "fault", (result_codes.LINK_LOST, "maybe", RETRY_TENANT_REQUEST_MS))
    for call_id in list(calls):
        daemon.carry_out(to_tuple(Reply(call_id, result_codes.UNKNOWN_OUTCOME, {})))
