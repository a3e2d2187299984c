"""The daemon (design 1.3): tasks round one hub, each owning its socket or its file."""

import contextlib
import os
import random
import secrets
import signal
from datetime import timedelta

import anyio
import anyio.lowlevel
import anyio.to_thread

from ..http.dialect import OWN
from ..membership.rendezvous import highest_ranked
from ..runtime.daemon_machine import DaemonMachine
from ..runtime.errors import OverloadedError, SilvergladeError
from ..runtime.structured_logging import format_line
from ..transport.connections import PeerConnections
from . import replica_calls as callout
from . import shutdown as departure
from .disk import DataFolder
from .priority_queues import PriorityQueues
from .request_forwarding import RequestForwarder
from .shutdown import clock
from .supervisor import keep

RELAY, DISK, GROUP = 256, 4096, 256
BODIES = 64 * 1024 * 1024  # bytes of visitors' bodies held at once
# what may change while a daemon runs; `cores` and `first` matter only where no view was ever formed (5.5)
LIVE = frozenset(("tuning", "log_level", "seeds", "cores", "first"))
SETTINGS_EVERY = 2.0  # seconds between looks at the settings file: it may change without a signal


class Daemon:
    def __init__(self, *, settings, lg, reread=None, outer=None, settings_file=""):
        s = self.s = settings
        self.settings_file = settings_file
        self.settings_stamp = self.stamp()
        self.outer, self.draining, self.closing = outer, False, anyio.Event()
        self.released = False  # a core that leaves: was it said that the others can do without it?
        self.open = ()  # connections of the HTTP server
        self.lg, self.reread, self.opt = lg, reread, s["tuning"]
        self.store = DataFolder(folder=s["data"], name=s["name"]) if s["data"] else None
        self.life = secrets.token_hex(6)
        self.lanes, self.bodies, self.held = PriorityQueues(), 0, set()
        self.disk_put, self.disk_get = anyio.create_memory_object_stream(DISK)
        self.links = PeerConnections(own_name=s["name"], process_id=self.life, address=s["listen"], on_message=self.lanes.heard, logger=lg)
        self.hub = DaemonMachine(
            me=s["name"],
            life=self.life,
            zone=s["zone"],
            region=s["region"],
            addr=s["advertise"] or s["listen"],
            http=s["http"],
            seeds=s["seeds"],
            cores=tuple(s["cores"]),
            opt=self.opt,
            rng=random.Random(secrets.randbits(64)),
            disk=self.store.id if self.store else "",
            saved=self.store.load() if self.store else None,
            front=outer.front if outer else "",
            lists=bool(outer and outer.list_at),
            tolerance=tuple(s["tolerance"][k] for k in ("machines", "zones", "regions")),
            first=s["first"],
        )
        self.pool, self.group, self.jobs = callout.pool(local=s["http"].rsplit(":", 1)[0]), None, {}
        self.relays, self.calls, self.n, self.counts, self.fed = {}, {}, 0, {}, 0
        self.early = anyio.Event()  # a pulse is wanted sooner than it seemed
        self.stopping, self.ready = anyio.Event(), anyio.Event()
        dialect, local = outer.dialect if outer else OWN, s["http"].rsplit(":", 1)[0]
        self.shell = RequestForwarder(daemon=self, dialect=dialect, local=local, reuse="reuse" not in self.opt["without"])

    def faces(self):
        """Addresses beside the product's own and the clients', each with its app (design 15.7)."""
        return {a: self.outer.app(self) for a in self.outer.others} if self.outer else {}

    def change(self):
        return secrets.token_hex(8)

    # for the front: orders and calls
    def oid(self):
        self.n += 1
        return f"{self.s['name']}~{self.life}~{self.n}"

    async def order(self, oid, spec):
        """-> the order's results as a bounded stream."""
        w, r = anyio.create_memory_object_stream(RELAY)
        self.lanes.knock(("order", oid, spec))
        self.relays[oid] = w
        return r

    async def gone(self, oid):
        if self.relays.pop(oid, None):
            await self.lanes.send(("gone", oid), "door")

    async def drained(self, oid, n):
        """A visitor has taken n results of its order: whoever sends them on may go on (6.6)."""
        await self.lanes.send(("drained", oid, n), "work")

    async def call(self, op, args):
        self.n += 1
        cid, done = f"c{self.n}", anyio.Event()
        ev = ("call", cid, op, args)
        if op == "head":
            self.lanes.knock(ev)
        self.calls[cid] = box = [done, None]
        if op != "head":
            await self.lanes.send(ev)
        try:
            await done.wait()
        finally:
            if self.calls.pop(cid, None):  # nobody waits for its answer any more
                self.lanes.note(("call-gone", cid))
        return box[1]

    @contextlib.contextmanager
    def hold(self, size):
        """Room for one visitor's body, or a refusal at once."""
        if self.bodies + size > BODIES:
            raise OverloadedError("bodies")
        self.bodies += size
        try:
            yield
        finally:
            self.bodies -= size

    # effects of the hub
    def act(self, e):
        match e:
            case ("send", to, body):
                self.links.send(to, body)
            case ("peer", name, addr):
                self.links.set_address(name, addr)
            case ("disk", token, ops):
                try:
                    self.disk_put.send_nowait((token, ops))
                except anyio.WouldBlock:  # its waiter hears that it is not on disk
                    self.lg.error(format_line("disk-queue-full", []))
                    self.group.start_soon(self.lanes.send, ("disk", token, False, None))
            case ("dispatch", did, rid, addr, meta, body):
                self.group.start_soon(self.dispatch, did, addr, meta, body)
            case ("abort", did):
                if did in self.jobs:
                    self.jobs.pop(did).cancel()
            case ("try" | "pass" | "drop" | "answer" | "break" | "forget" | "renew" | "limits", *_):
                self.shell.act(e)
            case ("list",):
                self.group.start_soon(self.read_list)
            case ("reach", replica, addr, wait):
                self.group.start_soon(self.reach, replica, addr, wait)
            case ("ask", rid, addr):
                self.group.start_soon(self.ask, rid, addr)
            case ("probe", rid, inc, addr):
                self.group.start_soon(self.probe, rid, inc, addr)
            case ("result", oid, kind, *r):
                self.result(oid, kind, r)
            case ("reply", cid, code, kw):
                box = self.calls.pop(cid, None)
                if box:
                    box[1] = (code, kw)
                    box[0].set()
            case ("ease", oid, on):
                self.held.discard(oid) if on else self.held.add(oid)
            case ("released",):
                self.released = True
            case ("log", ev, pairs):
                self.counts[ev] = self.counts.get(ev, 0) + 1
                self.lg.info(format_line(ev, pairs))

    def result(self, oid, kind, r):
        w = self.relays.get(oid)
        if w is None:
            return
        try:
            w.send_nowait((kind, *r))
        except (anyio.WouldBlock, anyio.BrokenResourceError):  # a visitor too slow, or gone
            self.relays.pop(oid)
            w.close()
            self.group.start_soon(self.lanes.send, ("gone", oid), "door")
            return
        if kind in ("whole", "done", "fault"):
            self.relays.pop(oid)
            w.close()
            k = r[0] if kind == "fault" else 100
            self.counts[f"code-{k}"] = self.counts.get(f"code-{k}", 0) + 1

    async def dispatch(self, did, addr, meta, body):
        oid = did.rsplit(".", 1)[0]

        async def tell(*what):
            await self.lanes.send(("ran", did, *what), "work")

        async def room():
            while oid in self.held or ((w := self.relays.get(oid)) and w.statistics().current_buffer_used > RELAY // 2):
                await anyio.sleep(0.01)

        with anyio.CancelScope() as scope:
            self.jobs[did] = scope
            try:
                await callout.dispatch(pool=self.pool, did=did, addr=addr, meta=meta, body=body, tell=tell, room=room)
            finally:
                self.jobs.pop(did, None)
                self.held.discard(oid)

    async def probe(self, rid, inc, addr):
        await self.lanes.send(("probed", rid, inc, await callout.probe(pool=self.pool, addr=addr)))

    # tasks
    async def think(self):
        """Owns the hub. A fault in here leaves its state untrusted, so it ends the daemon."""
        while True:
            ev = await self.lanes.take()
            for e in self.hub.feed(clock(), ev):
                self.act(e)
            if not self.early.is_set() and self.hub.next() <= clock():
                self.early.set()
            self.fed += 1
            if self.fed % 64 == 0:
                await anyio.lowlevel.checkpoint()  # sockets and pulse get their turn in a crowd

    async def pulse(self):
        """As often as some part wants it, at most each `pulse` (1.5)."""
        sec = timedelta(seconds=1)
        await self.links.listening.wait()  # what the first pulse sends would be lost, and is asked again late
        while True:
            self.lanes.pulse()
            await anyio.sleep(self.opt["pulse"] / sec)
            while (left := (self.hub.next() - clock()) / sec) > 0:
                self.early = anyio.Event()
                with anyio.move_on_after(min(left, 1.0)):
                    await self.early.wait()

    async def write(self):
        """The one writer: a stalled disk holds up this task alone. What waits is synced together."""
        while True:
            got = [await self.disk_get.receive()]
            while len(got) < GROUP:
                try:
                    got.append(self.disk_get.receive_nowait())
                except anyio.WouldBlock:
                    break
            ok = True
            await anyio.sleep(self.opt["drill_disk"])
            try:
                await anyio.to_thread.run_sync(self.store.write, [op for _, ops in got for op in ops], abandon_on_cancel=True)
            except Exception as e:  # noqa: BLE001  full, failing, gone
                ok = False
                self.lg.error(format_line("disk-write", [("why", e), ("writes", len(got))]))
            for token, _ in got:
                await self.lanes.send(("disk", token, ok, None))

    async def platform(self):
        """The first live daemon of the region, in the agreed order, sends its orders on (9.6)."""
        gap = self.opt["scale_every"] / timedelta(seconds=1)
        at, region = self.s["orders_to"], self.s["region"]
        while at:
            await anyio.sleep(gap)
            _, fl = await self.call("fleet", ())
            here = [n for n, d in fl["fleet"].items() if d["region"] == region and d["state"] == "ready"]
            if highest_ranked(f"orders/{region}", here) == self.s["name"]:
                _, got = await self.call("orders", (region,))
                ok = await callout.tell(pool=self.pool, addr=at, data=got)
                if not ok:
                    self.lg.warning(format_line("platform-silent", [("to", at)]))

    async def get(self, addr, path):
        """One plain GET of what lists the replicas -> (status, body); no answer is (0, b"")."""
        return await callout.get(pool=self.pool, addr=addr, path=path)

    async def read_list(self):
        """The list of replicas that somebody else keeps (design 15.4)."""
        await self.lanes.send(("read", await self.outer.replicas(self.get)))

    async def reach(self, replica, addr, wait):
        """Does a replica's machine take a connection? -> ("reached", id, whether it did, or refused it)."""
        ok = await self.shell.pool.reaches(addr=addr, timeout=wait)
        await self.lanes.send(("reached", replica, ok), "work")

    async def ask(self, rid, addr):
        """How a replica does -> ("asked", id, (active, queued, slots) or None)."""
        body = await self.shell.get(replica=rid, addr=addr, path=self.outer.dialect.report)
        await self.lanes.send(("asked", rid, self.outer.report(body) if body is not None else None))

    async def signals(self):
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as sigs:
            times = departure.SignalTimes()
            times.watch()
            async for s in sigs:
                if s == signal.SIGHUP:
                    await self.reload()
                elif s == signal.SIGINT:
                    self.stopping.set()
                else:
                    self.group.start_soon(lambda: departure.leave(self, told_at=times.told_at))

    def stamp(self):
        """What changes whenever the settings file is written; None where there is none, or it cannot be seen now."""
        try:
            seen = os.stat(self.settings_file)
        except OSError:
            return None
        return seen.st_mtime_ns, seen.st_size, seen.st_ino

    async def look_at_settings(self):
        """Read the settings again if their file has changed since they were read."""
        stamp = self.stamp()
        if stamp not in (None, self.settings_stamp):
            self.settings_stamp = stamp
            await self.reload()

    async def watch_settings(self):
        while self.settings_file:
            await anyio.sleep(SETTINGS_EVERY)
            await self.look_at_settings()

    async def reload(self):
        """Settings re-read whole: what `LIVE` names changes in place; a fault, or another change, changes nothing."""
        try:
            new = self.reread()
        except SilvergladeError as e:
            self.lg.error(format_line("settings-refused", [("code", e.code), ("why", e.detail)]))
            return
        fixed = [k for k in new if k not in LIVE and new[k] != self.s[k]]
        if fixed:
            self.lg.error(format_line("settings-refused", [("why", "needs a restart: " + ",".join(fixed))]))
            return
        self.opt.update(new["tuning"])
        self.s["log_level"] = new["log_level"]
        self.lg.setLevel({"DEBUG": 10, "INFO": 20, "WARNING": 30}[new["log_level"]])
        if tuple(new["seeds"]) != tuple(self.s["seeds"]):
            self.s["seeds"] = new["seeds"]
            await self.lanes.send(("seeds", tuple(new["seeds"])))
        self.lg.info(format_line("settings", [("level", new["log_level"]), ("seeds", ",".join(new["seeds"]))]))

    async def run(self):
        from ..http.listener import serve

        s = self.s
        self.lg.info(
            format_line(
                "start",
                [("daemon", s["name"]), ("zone", s["zone"]), ("life", self.life), ("disk", self.store.id if self.store else "none")],
            )
        )
        async with anyio.create_task_group() as tg:
            self.group = tg
            tg.start_soon(self.think)
            if self.store:
                tg.start_soon(self.write)
            for name, run in (
                ("links", self.links.run),
                ("pulse", self.pulse),
                ("platform", self.platform),
                ("front", lambda: serve(self)),
                ("signals", self.signals),
                ("settings", self.watch_settings),
            ):
                tg.start_soon(lambda n=name, r=run: keep(name=n, run=r, lg=self.lg))
            await self.stopping.wait()
            self.lg.info(format_line("stop", [("daemon", s["name"])]))
            tg.cancel_scope.cancel()
        if self.store:
            self.store.close()


def start(*, settings, lg, reread, outer=None, settings_file=""):
    """Run a daemon until it ends. reread: reads the settings again; settings_file: whose change makes it do so."""
    d = Daemon(settings=settings, lg=lg, reread=reread, outer=outer, settings_file=settings_file)
    anyio.run(d.run)
