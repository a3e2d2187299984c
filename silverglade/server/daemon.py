"""The daemon (design 1.3): one state machine (`DaemonMachine`) and the tasks that do its I/O, each the owner of its socket or file."""

from __future__ import annotations

import contextlib
import logging
import random
import secrets
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel

from ..duties.lease_times import LeaseTimes
from ..http.dialect import DEFAULT_DIALECT
from ..http.listener import serve
from ..membership.rendezvous import highest_ranked
from ..runtime import result_codes
from ..runtime.daemon_machine import DaemonMachine
from ..runtime.effects import (
    AbortDispatch,
    AllowExit,
    CallPlatform,
    Dispatch,
    LogRecord,
    ProbeReplica,
    ReadEndpointList,
    ReadReplicaReport,
    ReadWallClock,
    Reply,
    Send,
    SetBackpressure,
    SetLease,
    SetPeerAddress,
    TenantResult,
    TestReachability,
    WriteToDisk,
)
from ..runtime.errors import OverloadedError
from ..runtime.events import (
    ApiCall,
    CallerDisconnected,
    DiskWriteCompleted,
    DispatchProgressed,
    EndpointListRead,
    Event,
    PlatformCallEnded,
    ReachabilityTested,
    ReplicaProbed,
    ReplicaReportRead,
    WallClockRead,
)
from ..runtime.structured_logging import format_line
from ..transport.connections import PeerConnections, split_address
from . import replica_calls
from .adapter import AsgiApp, PlatformAdapter
from .disk import DataFolder
from .disk_writer import DiskWriter
from .fault_containment import FaultLog, where_raised
from .limits import MAX_BUFFERED_BODY_BYTES
from .platform_calls import PlatformCaller
from .priority_queues import PriorityQueues, Queue
from .replica_calls import DispatchOutcome
from .request_forwarding import RequestForwarder
from .settings_reload import Settings, SettingsReloader
from .shutdown import SigtermRecorder, clock, shut_down
from .supervisor import supervise
from .tenant_requests import TenantRequests

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

SECOND = timedelta(seconds=1)

PROCESS_ID_BYTES = 6
RANDOM_SEED_BITS = 64

EVENTS_PER_TURN = 64
"""Events processed before the task yields to the event loop, so that sockets and the timer are served under load too."""

MAX_TIMER_WAIT_S = 1.0

HEAD_OPERATION = "head"
"""The call that checks the head of a tenant's request; it is refused immediately when the admission queue is full."""

CallResult = tuple[int, Mapping[str, Any]]
"""A result code and the fields of the answer."""


class PendingCall:
    """An API call that waits for its answer."""

    __slots__ = ("done", "result")

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.result: CallResult = (result_codes.UNKNOWN_OUTCOME, {})


class Daemon:
    """A daemon: its state machine, its tasks and its connections.

    :param settings: validated settings (runtime/settings.py).
    :param read_settings: reads and validates the settings again; None if they are never reloaded.
    :param adapter: adapter of the platform, or None.
    :param settings_file: file whose changes cause a reload of the settings, or empty.
    :ivar draining: shutdown has begun.
    :ivar closing: set when the HTTP server has to stop accepting connections and close idle ones.
    :ivar stopping: set when the process has to end.
    :ivar may_exit: the daemon machine has allowed this core to exit.
    :ivar open_connections: connections of the HTTP server.
    :ivar buffered_body_bytes: total size of clients' bodies held in memory.
    :ivar faults: program errors, each of which ended one request or call.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        logger: logging.Logger,
        read_settings: Callable[[], Settings] | None = None,
        adapter: PlatformAdapter | None = None,
        settings_file: str = "",
    ) -> None:
        self.settings = settings
        self.tuning = settings["tuning"]
        self.logger = logger
        self.adapter = adapter
        self.draining = False
        self.closing = anyio.Event()
        self.stopping = anyio.Event()
        self.may_exit = False
        self.open_connections: set[Any] = set()
        self.buffered_body_bytes = 0
        self.event_counts: Counter[str] = Counter()
        self.faults = FaultLog(logger)
        self.pending_calls: dict[str, PendingCall] = {}
        self.task_group: TaskGroup
        self._id_count = 0
        self._timer_wanted_earlier = anyio.Event()
        name, local_ip = settings["name"], split_address(settings["http"])[0]
        self.data_folder = DataFolder(folder=settings["data"], name=name) if settings["data"] else None
        self.process_id = secrets.token_hex(PROCESS_ID_BYTES)
        self.queues = PriorityQueues()
        self.peers = PeerConnections(
            own_name=name,
            process_id=self.process_id,
            address=settings["listen"],
            on_message=self.queues.on_message,
            logger=logger,
        )
        self.machine = self._new_machine()
        call_timeout = LeaseTimes.of(self.tuning["duty_lease"]).call_timeout
        self.platform_caller = PlatformCaller(clock=clock, local=local_ip, timeout=call_timeout)
        self.replica_pool = replica_calls.new_pool(local=local_ip)
        self.tenant_requests = TenantRequests(queues=self.queues, pool=self.replica_pool, event_counts=self.event_counts)
        self.forwarder = RequestForwarder(
            daemon=self,
            dialect=adapter.dialect if adapter else DEFAULT_DIALECT,
            local=local_ip,
            reuse="reuse" not in self.tuning["without"],
        )
        self.disk_writer = DiskWriter(
            data_folder=self.data_folder, delay_s=lambda: self.tuning["drill_disk"], report=self.queues.send, logger=logger
        )
        self.settings_reloader = SettingsReloader(
            settings=settings,
            read_settings=read_settings or (lambda: settings),
            settings_file=settings_file,
            report_seeds=self.queues.send,
            logger=logger,
        )
        self._effect_handlers = self._new_effect_handlers()

    def _new_machine(self) -> DaemonMachine:
        """Create the daemon machine with the state loaded from the disk."""
        settings, adapter, tolerance = self.settings, self.adapter, self.settings["tolerance"]
        return DaemonMachine(
            name=settings["name"],
            process_id=self.process_id,
            zone=settings["zone"],
            region=settings["region"],
            peer_address=settings["advertise"] or settings["listen"],
            http_address=settings["http"],
            seeds=settings["seeds"],
            first_cores=tuple(settings["cores"]),
            tuning=self.tuning,
            rng=random.Random(secrets.randbits(RANDOM_SEED_BITS)),
            disk=self.data_folder.id if self.data_folder else "",
            saved=self.data_folder.load() if self.data_folder else None,
            forwarding_address=adapter.client_address if adapter else "",
            reads_endpoint_list=bool(adapter and adapter.endpoint_list_address),
            tolerance=(tolerance["machines"], tolerance["zones"], tolerance["regions"]),
            may_form_first_view=settings["first"],
        )

    def _new_effect_handlers(self) -> dict[str, Callable[..., object]]:
        """Return the handlers of the daemon machine's effects: tag -> function that takes the effect's fields."""
        return {
            Send.TAG: self.peers.send,
            SetPeerAddress.TAG: self.peers.set_address,
            WriteToDisk.TAG: self._write_to_disk,
            Dispatch.TAG: self._dispatch,
            AbortDispatch.TAG: self.tenant_requests.abort,
            TenantResult.TAG: self._deliver_result,
            SetBackpressure.TAG: self.tenant_requests.set_backpressure,
            ReadEndpointList.TAG: lambda: self._start(self._read_endpoint_list, failed=EndpointListRead(None)),
            TestReachability.TAG: lambda *fields: self._start(
                self._test_reachability, *fields, failed=ReachabilityTested(fields[0], False), queue=Queue.WORK
            ),
            ReadReplicaReport.TAG: lambda *fields: self._start(
                self._read_replica_report, *fields, failed=ReplicaReportRead(fields[0], None)
            ),
            ProbeReplica.TAG: lambda *fields: self._start(self._probe_replica, *fields, failed=ReplicaProbed(fields[0], fields[1], None)),
            SetLease.TAG: self.platform_caller.set_lease,
            CallPlatform.TAG: lambda *fields: self._start(self._call_platform, *fields, failed=PlatformCallEnded(fields[0], None, b"")),
            ReadWallClock.TAG: self._read_wall_clock,
            Reply.TAG: self._reply,
            AllowExit.TAG: self._allow_exit,
            LogRecord.TAG: self._log,
        }

    # called by the HTTP API

    def apps(self) -> dict[str, AsgiApp]:
        """Return the ASGI apps of the platform's API by address (design 15.7); the daemon's own API is not among them."""
        if self.adapter is None:
            return {}
        return {address: self.adapter.app(self) for address in self.adapter.api_addresses}

    def new_change_id(self) -> str:
        """Return an id for a configuration change for which the operator gave none."""
        return secrets.token_hex(8)

    def new_request_id(self) -> str:
        """Return a request id that is unique across all daemons."""
        self._id_count += 1
        return f"{self.settings['name']}~{self.process_id}~{self._id_count}"

    async def call(self, operation: str, arguments: tuple[Any, ...]) -> CallResult:
        """Call an operation of the daemon machine and wait for its answer.

        :raises OverloadedError: the operation is `HEAD_OPERATION` and the admission queue is full.
        """
        self._id_count += 1
        call_id, call = f"c{self._id_count}", PendingCall()
        event = ApiCall(call_id, operation, arguments)
        if operation == HEAD_OPERATION:
            self.queues.admit(event)
        self.pending_calls[call_id] = call
        if operation != HEAD_OPERATION:
            await self.queues.send(event)
        try:
            await call.done.wait()
        finally:
            if self.pending_calls.pop(call_id, None):  # the caller was cancelled before the answer came
                self.queues.send_or_drop(CallerDisconnected(call_id))
        return call.result

    @contextlib.contextmanager
    def reserve_body(self, size: int) -> Iterator[None]:
        """Reserve memory for the body of one request while the context lasts.

        :raises OverloadedError: bodies in memory would exceed `MAX_BUFFERED_BODY_BYTES`.
        """
        if self.buffered_body_bytes + size > MAX_BUFFERED_BODY_BYTES:
            raise OverloadedError("bodies")
        self.buffered_body_bytes += size
        try:
            yield
        finally:
            self.buffered_body_bytes -= size

    # effects of the daemon machine

    def carry_out(self, effect: tuple[Any, ...]) -> None:
        """Carry out one effect of the daemon machine, given as a tuple."""
        tag = effect[0]
        if tag in RequestForwarder.TAGS:
            self.forwarder.carry_out(effect)
            return
        handler = self._effect_handlers.get(tag)
        if handler:
            handler(*effect[1:])

    def _start(self, run: Callable[..., Awaitable[None]], *arguments: Any, failed: Event, queue: Queue = Queue.CONTROL) -> None:
        """Start a task for one effect. An exception ends only this task; `failed` is then queued as its result."""

        async def contained() -> None:
            try:
                await run(*arguments)
            except Exception as error:  # noqa: BLE001  any program error
                self.faults.record(run.__name__, error)
                await self.queues.send(failed, queue)

        self.task_group.start_soon(contained)

    def _write_to_disk(self, token: tuple[str, int], operations: Sequence[tuple[Any, ...]]) -> None:
        if not self.disk_writer.submit(token, operations):
            self.task_group.start_soon(self.queues.send, DiskWriteCompleted(token, False))

    def _dispatch(self, dispatch_id: str, replica: str, address: str, facts: Mapping[str, Any], body: bytes) -> None:
        failed = DispatchProgressed(dispatch_id, (DispatchOutcome.FAILED, "maybe"))
        self._start(self.tenant_requests.dispatch, dispatch_id, address, facts, body, failed=failed, queue=Queue.WORK)

    def _deliver_result(self, request_id: str, kind: str, *details: Any) -> None:
        self.deliver_result(request_id, kind, details)

    def deliver_result(self, request_id: str, kind: str, details: Sequence[Any]) -> None:
        """Deliver a result of a tenant's request to its client."""
        self.tenant_requests.deliver(self.task_group, request_id, kind, details)

    def _reply(self, call_id: str, code: int, fields: Mapping[str, Any]) -> None:
        call = self.pending_calls.pop(call_id, None)
        if call:
            call.result = (code, fields)
            call.done.set()

    def _allow_exit(self) -> None:
        self.may_exit = True

    def _log(self, event: str, pairs: Sequence[tuple[str, Any]]) -> None:
        self.event_counts[event] += 1
        self.logger.info(format_line(event, pairs))

    async def _get(self, address: str, path: str) -> tuple[int, bytes]:
        """Send a GET to the server of the replica list; return (0, b"") without a response."""
        return await replica_calls.get(pool=self.replica_pool, address=address, path=path)

    async def _read_endpoint_list(self) -> None:
        """Read the platform's list of replicas (design 15.4)."""
        assert self.adapter is not None
        await self.queues.send(EndpointListRead(await self.adapter.read_endpoint_list(self._get)))

    async def _call_platform(self, call_id: str, duty: str, token: int, path_kind: str, body: Mapping[str, Any]) -> None:
        """Call the platform on behalf of the holder of a duty (design 18.3)."""
        assert self.adapter is not None
        request = self.adapter.platform_request(path_kind, token, body)
        status, answer = await self.platform_caller.call(duty=duty, token=token, request=request)
        await self.queues.send(PlatformCallEnded(call_id, status, answer))

    def _read_wall_clock(self) -> None:
        """Report the wall-clock time to the daemon machine."""
        self.queues.send_or_drop(WallClockRead(timedelta(seconds=time.time())))

    async def _test_reachability(self, replica: str, address: str, timeout: timedelta) -> None:
        """Test whether a replica's machine responds to a connection attempt, by accepting or refusing it."""
        reachable = await self.forwarder.pool.is_reachable(addr=address, timeout=timeout)
        await self.queues.send(ReachabilityTested(replica, reachable), Queue.WORK)

    async def _read_replica_report(self, replica: str, address: str) -> None:
        """Read the load report of a replica of a service."""
        assert self.adapter is not None
        body = await self.forwarder.get(replica=replica, addr=address, path=self.adapter.dialect.report)
        await self.queues.send(ReplicaReportRead(replica, self.adapter.parse_report(body) if body is not None else None))

    async def _probe_replica(self, replica: str, incarnation: int, address: str) -> None:
        """Run a health check of a replica that serves tenants."""
        report = await replica_calls.check_health(pool=self.replica_pool, address=address)
        await self.queues.send(ReplicaProbed(replica, incarnation, tuple(report) if report else None))

    # tasks

    async def run_machine(self) -> None:
        """Feed events to the daemon machine. An exception leaves its state inconsistent, so it ends the daemon (design 1.6)."""
        event_count = 0
        while True:
            event = await self.queues.take()
            try:
                for effect in self.machine.feed(clock(), event):
                    self.carry_out(effect)
            except Exception as error:
                pairs = [("daemon", self.settings["name"]), ("event", event[0]), ("why", repr(error)), ("where", where_raised(error))]
                self.logger.error(format_line("state-machine-failed", pairs))
                raise
            if not self._timer_wanted_earlier.is_set() and self.machine.next_timer() <= clock():
                self._timer_wanted_earlier.set()
            event_count += 1
            if event_count % EVENTS_PER_TURN == 0:
                await anyio.lowlevel.checkpoint()

    async def run_timer(self) -> None:
        """Fire the timer when a component requests it, at most once per `pulse` (design 1.5)."""
        await self.peers.listening.wait()  # messages sent earlier would be lost, and requested again only later
        while True:
            self.queues.fire_timer()
            await anyio.sleep(self.tuning["pulse"] / SECOND)
            while (wait_s := (self.machine.next_timer() - clock()) / SECOND) > 0:
                self._timer_wanted_earlier = anyio.Event()
                with anyio.move_on_after(min(wait_s, MAX_TIMER_WAIT_S)):
                    await self._timer_wanted_earlier.wait()

    async def report_region_orders(self) -> None:
        """Report the replicas that the region wants to the platform (design 9.6).

        Of the region's ready daemons, only the one that ranks first by rendezvous hashing reports.
        """
        interval_s = self.tuning["scale_every"] / SECOND
        address, region = self.settings["orders_to"], self.settings["region"]
        while address:
            await anyio.sleep(interval_s)
            _, answer = await self.call("fleet", ())
            ready = [name for name, row in answer["fleet"].items() if row["region"] == region and row["state"] == "ready"]
            if highest_ranked(f"orders/{region}", ready) == self.settings["name"]:
                _, orders = await self.call("orders", (region,))
                if not await replica_calls.put_region_orders(pool=self.replica_pool, address=address, orders=orders):
                    self.logger.warning(format_line("platform-unreachable", [("to", address)]))

    async def handle_signals(self) -> None:
        """Handle SIGTERM (graceful shutdown), SIGINT (immediate stop) and SIGHUP (reload of the settings)."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            times = SigtermRecorder()
            times.watch()
            async for number in signals:
                if number == signal.SIGHUP:
                    await self.settings_reloader.reload()
                elif number == signal.SIGINT:
                    self.stopping.set()
                else:
                    self.task_group.start_soon(lambda: shut_down(self, signalled_at=times.signalled_at))

    async def run(self) -> None:
        """Run all tasks until the daemon has to end, then cancel them and close the data folder."""
        settings = self.settings
        disk = self.data_folder.id if self.data_folder else "none"
        start_pairs = [("daemon", settings["name"]), ("zone", settings["zone"]), ("life", self.process_id), ("disk", disk)]
        self.logger.info(format_line("start", start_pairs))
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            task_group.start_soon(self.run_machine)
            if self.data_folder:
                task_group.start_soon(self.disk_writer.run)
            for name, run in (
                ("peers", self.peers.run),
                ("timer", self.run_timer),
                ("region-orders", self.report_region_orders),
                ("http", lambda: serve(self)),
                ("signals", self.handle_signals),
                ("settings", self.settings_reloader.watch),
            ):
                task_group.start_soon(lambda name=name, run=run: supervise(name=name, run=run, logger=self.logger))  # type: ignore[misc]
            await self.stopping.wait()
            self.logger.info(format_line("stop", [("daemon", settings["name"])]))
            task_group.cancel_scope.cancel()
        if self.data_folder:
            self.data_folder.close()


def start(
    *,
    settings: Settings,
    logger: logging.Logger,
    read_settings: Callable[[], Settings],
    adapter: PlatformAdapter | None = None,
    settings_file: str = "",
) -> None:
    """Run a daemon until it ends; the arguments are those of `Daemon`."""
    daemon = Daemon(settings=settings, logger=logger, read_settings=read_settings, adapter=adapter, settings_file=settings_file)
    anyio.run(daemon.run)
