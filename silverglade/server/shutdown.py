"""Graceful shutdown on SIGTERM (design 1.4, 15.9) by a timetable: requests already read are completed or answered."""

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
"""Grace period of a daemon without a platform adapter."""

CHECK_INTERVAL_S, LAST_CHECK_INTERVAL_S = 0.1, 0.05
"""Intervals between checks of the work in progress."""

LEAVE_PROPAGATION_S = 0.3
"""Time for the message that this daemon has left to reach the other daemons."""

RETRY_TENANT_REQUEST_MS = 1000


def clock() -> timedelta:
    """Return the time on the monotonic clock."""
    return timedelta(seconds=time.monotonic())


class SigtermRecorder:
    """Records when SIGTERM arrived. Python's own signal handler runs between two bytecodes, the event loop's may run much later.

    :ivar signalled_at: when the first SIGTERM arrived, or None.
    """

    def __init__(self) -> None:
        self.signalled_at: timedelta | None = None

    def watch(self) -> None:
        """Install the handler. Call this after the event loop has installed its own, which is still woken up by the signal."""
        signal.signal(signal.SIGTERM, self._record)

    def _record(self, *_: Any) -> None:
        self.signalled_at = self.signalled_at or clock()


def timetable_of(daemon: Daemon, signalled_at: timedelta) -> Timetable:
    """Return the shutdown timetable of a daemon that received SIGTERM at that time."""
    adapter = daemon.adapter
    if adapter is None:
        return timetable(stop_requested_at=signalled_at, grace=DEFAULT_GRACE)
    linger = adapter.linger if adapter.client_address else timedelta(0)
    return timetable(stop_requested_at=signalled_at, grace=adapter.grace, linger=linger, cut_streams_for=adapter.cut_streams_for)


def should_keep_listening(daemon: Daemon, times: Timetable) -> bool:
    """Return whether to keep accepting connections.

    The reasons are clients that may still use the address (until `quiet_at`), tenants' requests and dispatches in progress, and, until
    `half_at`, forwarded requests in progress.
    """
    now = clock()
    if now < times.linger_until or daemon.tenant_requests.result_streams or daemon.tenant_requests.dispatches:
        return True
    return bool(daemon.forwarder.requests) and now < times.listeners_held_until


async def shut_down(daemon: Daemon, *, signalled_at: timedelta | None = None) -> None:
    """Stop taking work, notify the other daemons, let requests in progress finish, answer the rest, then end the daemon.

    A second call does nothing.
    """
    if daemon.draining:
        return
    daemon.draining = True
    began_at = clock()
    signalled_at = signalled_at or began_at
    daemon.logger.info(
        format_line("drain", [("noticed_ms", to_milliseconds(began_at - signalled_at)), ("requests", len(daemon.forwarder.requests))])
    )
    times = timetable_of(daemon, signalled_at)
    await daemon.queues.send(ShutdownStarted(times.streams_until, times.answer_at, times.end_at))
    await daemon.queues.send(DrainStarted())
    await daemon.queues.send(DaemonStateChanged("leaving"))
    while clock() < times.close_by and should_keep_listening(daemon, times):
        await anyio.sleep(CHECK_INTERVAL_S)
    while clock() < times.close_by and daemon.data_folder and not daemon.may_exit:
        await anyio.sleep(CHECK_INTERVAL_S)
    await daemon.queues.send(DaemonStateChanged("left"))
    await anyio.sleep(LEAVE_PROPAGATION_S)
    daemon.closing.set()  # accepts no new connections; closes idle ones now, others after their responses
    open_requests, open_connections = len(daemon.forwarder.requests), len(daemon.open_connections)
    log_phase(daemon, "listeners-closing", signalled_at, requests=open_requests, connections=open_connections)
    while clock() < times.answer_at and (daemon.tenant_requests.result_streams or daemon.forwarder.requests or daemon.open_connections):
        await anyio.sleep(LAST_CHECK_INTERVAL_S)
    answer_pending_requests(daemon)
    while clock() < times.end_at and (daemon.forwarder.requests or daemon.open_connections):
        await anyio.sleep(LAST_CHECK_INTERVAL_S)
    log_phase(daemon, "drained", signalled_at, connections=len(daemon.open_connections))
    log_interrupted_requests(daemon, signalled_at)
    daemon.stopping.set()


def log_phase(daemon: Daemon, event: str, signalled_at: timedelta, **counts: int) -> None:
    """Log that a phase of the shutdown has been reached, and how long after the signal."""
    daemon.logger.info(format_line(event, [("after_ms", to_milliseconds(clock() - signalled_at)), *counts.items()]))


def log_interrupted_requests(daemon: Daemon, signalled_at: timedelta) -> None:
    """Log how many requests are broken off by the end of the process, and how long after the signal the last of them was read."""
    requests = daemon.forwarder.requests.values()
    if requests:
        last_ms = max(to_milliseconds(request.received_at - signalled_at) for request in requests)
        begun = sum(request.is_response_started for request in requests)
        daemon.logger.warning(format_line("cut-at-shutdown", [("requests", len(requests)), ("begun", begun), ("last_after_ms", last_ms)]))


def answer_pending_requests(daemon: Daemon) -> None:
    """Answer the forwarded requests, tenants' requests and operators' calls that are still pending just before the end."""
    forwarded, tenants, calls = daemon.forwarder.requests, daemon.tenant_requests.result_streams, daemon.pending_calls
    if forwarded or tenants or calls:
        counts = [("forwarded", len(forwarded)), ("tenant_requests", len(tenants)), ("calls", len(calls))]
        daemon.logger.warning(format_line("answered-at-shutdown", counts))
    daemon.forwarder.answer_before_shutdown()
    for request_id in list(tenants):
        daemon.deliver_result(request_id, "fault", (result_codes.LINK_LOST, "maybe", RETRY_TENANT_REQUEST_MS))
    for call_id in list(calls):
        daemon.carry_out(to_tuple(Reply(call_id, result_codes.UNKNOWN_OUTCOME, {})))
