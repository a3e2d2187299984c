"""A minute of a town as real processes, with kills on the way, and its ledger (design 10.4)."""

import json
import signal
import time
from collections import Counter, defaultdict

import anyio

from .clients import FleetClients
from .fleet import Fleet

FORCE, LEAVE, BACK = 3.0, 5.0, 12.0


class Minute:
    def __init__(self, *, town, secs, seed, folder, keys=True, other=""):
        self.f = Fleet(town=town, folder=folder, keys=keys, other=other)
        self.v, self.secs, self.town = FleetClients(fleet=self.f, seed=seed), secs, town
        self.bad, self.times, self.acked = [], {}, None

    def rule(self, ok, name, detail=""):
        if not ok:
            self.bad.append((name, detail))

    async def settle(self):
        f = self.f

        async def up():
            return (await f.ask(f.cores[0], "GET", "/v1/status"))[0] == 200

        async def put():
            code, got = await f.put(f.t["config"], f.cores[1])
            self.acked = got.get("version") if code == 200 else None
            return code == 200

        self.times["up"] = await f.until(up, 20)
        self.times["first configuration"] = await f.until(put, 20)
        self.times["in force"] = await f.until(lambda: f.in_force(self.acked), 10)
        self.times["all owned"] = await f.until(self.owned, 20)
        await self.strangers()
        self.rule(None not in self.times.values(), "did not come up", self.times)

    async def strangers(self):
        """A tenant's visitor, and nobody at all, can do nothing that is an operator's or a replica's."""
        t = next(iter(self.f.t["config"]["tenants"]))
        for verb, path in (("GET", "/v1/config"), ("PUT", "/v1/replicas/mine"), ("PUT", "/v1/platform/replicas")):
            for key in (f"key-{t}", "") if self.f.keys else ():
                code, _ = await self.f.ask(self.f.cores[0], verb, path, {}, key=key)
                self.rule(code in (401, 403), "a stranger's call was taken", (verb, path, code))

    async def owned(self):
        rows = [(await self.f.ask(n, "GET", "/v1/status"))[1].get("shards", {}) for n in self.f.up()]
        opened = {t for r in rows for t, s in r.items() if s["open"]}
        return opened >= set(self.f.t["config"]["tenants"])

    async def served(self):
        """Is every class of every tenant served at once, asked at a home of its own?"""
        got = []

        async def one(t, d, c):
            at = self.f.up(d["homes"][0])
            got.append((await self.v.order(tenant=t, cls=c, at=at[0] if at else None))["code"])

        async with anyio.create_task_group() as tg:
            for t, d in self.f.t["config"]["tenants"].items():
                for c in d["classes"]:
                    tg.start_soon(one, t, d, c)
        return set(got) == {100}

    async def change(self, name, n):
        """Push a configuration while the traffic goes on; how long until it is in force."""
        t0 = time.monotonic()
        at = self.f.up()[n % len(self.f.up())]
        for _ in range(15):  # a conflict: read again, as told; news may take 3 s
            code, got = await self.f.put(dict(self.f.t["config"], body_cap=200000 + n), at)
            if got.get("code") != 501:
                break
            await anyio.sleep(0.2)
        self.rule(code == 200, "change not taken", (name, code, got))
        if code == 200:
            self.acked = got["version"]
            took = await self.f.until(lambda: self.f.in_force(got["version"]), 10)
            self.times[name] = took
            self.rule(took is not None and took <= FORCE, "not in force in time", (name, took))
        return time.monotonic() - t0

    async def events(self):
        f, s = self.f, self.secs / 60
        zs = list(f.t["config"]["zones"])
        await anyio.sleep(6 * s)
        await self.change("change in quiet", 1)
        edge = next(n for n, d in f.daemons.items() if not d["core"])
        f.kill(edge)
        await anyio.sleep(7 * s)
        f.start_daemon(edge)
        st = (await f.ask(f.cores[0], "GET", "/v1/status"))[1]
        prim = st["view"][1]
        f.kill(prim)
        t0 = time.monotonic()
        await f.until(lambda: self.takes(prim), 15)
        self.times["control after its primary"] = time.monotonic() - t0
        self.rule(self.times["control after its primary"] < BACK, "control not back")
        await self.change("change after the kill", 2)
        f.start_daemon(prim)
        rid = next(iter(f.reps))
        f.kill(rid)
        await anyio.sleep(5 * s)
        f.start_replica(rid)
        await self.leaving(list(f.reps)[1])
        await self.zone(zs[1])
        last = [n for n, d in f.daemons.items() if not d["core"]][-1]
        f.kill(last, signal.SIGSTOP)
        await anyio.sleep(4 * s)
        f.kill(last, signal.SIGCONT)

    async def takes(self, dead):
        at = next(n for n in self.f.up() if n != dead)
        code, got = await self.f.put(dict(self.f.t["config"], body_cap=150000), at)
        return code == 200

    def work(self, zone=None, rid=None, since=0.0):
        """When runs began at a place, as seconds after `since`, from the replicas' own rows."""
        return [t - since for t, row in self.began() if (zone is None or row[5] == zone) and (rid is None or row[6] == rid) and t > since]

    def began(self):
        with open(self.f.runs, encoding="utf-8") as fh:
            rows = [json.loads(x) for x in fh]
        return [(r[1], r) for r in rows if r[0] == "run"]

    async def leaving(self, rid):
        """The platform marks a replica that leaves; the last new work it gets after that."""
        at = self.f.up()[0]
        t0 = time.monotonic()
        code, _ = await self.f.ask(
            at, "PUT", "/v1/platform/replicas", {"replicas": [{"id": rid, "incarnation": self.f.inc[rid], "leaving": True}]}
        )
        self.rule(code == 200, "platform list refused", code)
        await anyio.sleep(7)
        late = [t for t in self.work(rid=rid, since=t0)]
        self.times["last work after leaving"] = max(late, default=0.0)
        self.rule(max(late, default=0) <= LEAVE, "work after leaving", late[-1:])
        self.f.kill(rid)
        self.f.start_replica(rid)

    async def zone(self, z):
        t0 = time.monotonic()
        code, got = await self.f.ask(self.f.up()[1], "PUT", f"/v1/zones/{z}/evacuation")
        self.rule(code == 200, "evacuation not taken", (code, got))
        await anyio.sleep(8)
        late = self.work(zone=z, since=t0)
        self.times["last work after emptying"] = max(late, default=0.0)
        self.rule(max(late, default=0) <= LEAVE, "work after emptying", late[-1:])
        code, got = await self.f.ask(self.f.up()[2], "DELETE", f"/v1/zones/{z}/evacuation")
        self.rule(code == 200, "return not taken", (code, got))

    def judge(self):
        """Every order's runs against what its visitor was told."""
        t = self.f.t["config"]["tenants"]
        with open(self.f.runs, encoding="utf-8") as fh:
            rows = [json.loads(x) for x in fh]
        ended = {r[2] for r in rows if r[0] == "end" and r[3]}
        runs = {r[2]: r for r in rows if r[0] == "run"}
        told = defaultdict(list)
        for r in self.v.rows:
            for d in r["dids"]:
                told[d].append(r)
        by_order = defaultdict(list)
        for did, r in runs.items():
            by_order[did.rsplit(".", 1)[0]].append(r)
            self.rule(r[5] in t[r[3]]["homes"], "outside homes", r)
        for r in self.v.rows:
            c = t[r["tenant"]]["classes"][r["cls"]]
            self.rule(len(r["dids"]) <= 1, "joined runs", r)
            if r["code"] == 100:
                self.rule(r["dids"] and next(iter(r["dids"])) in ended, "success unearned", r)
                self.rule(not c["stream"] or r["pieces"] == [1, 2, 3, 4, 5], "pieces", r)
            if r["dids"]:
                d = next(iter(r["dids"]))
                self.rule(d in runs and runs[d][3] == r["tenant"], "foreign body", r)
                self.rule(r["ran"] != "no", "not run but ran", r)
        self.rule(all(len(v) <= 1 for v in told.values()), "one run told twice")
        keys = defaultdict(list)
        for r in runs.values():
            keys[(r[3], r[4], r[11])].append(r)
        for k, rs in keys.items():
            self.rule(len(rs) <= 1 or t[k[0]]["classes"][k[1]]["resumable"], "ran twice", (k, rs))
        for r in self.v.rows:  # "not run" promised: no run of it, then or later
            if r["ran"] == "no":
                own = [x for x in keys[(r["tenant"], r["cls"], r["key"])] if x[1] < r["t1"] or r["last"]]
                self.rule(not own, "not run but ran", (r, own))
        fresh = sum(1 for r in self.v.rows if r["attempt"] == 1)
        again = len(runs) - len(by_order) + sum(1 for r in self.v.rows if r["attempt"] > 1 and r["dids"])
        self.rule(again <= 0.2 * fresh + 1, "retries", (again, fresh))
        return runs, fresh, again

    async def spills(self):
        n = 0
        for d in self.f.up():
            n += (await self.f.ask(d, "GET", "/v1/status"))[1].get("spills", 0)
        return n

    async def run(self):
        f = self.f
        async with anyio.create_task_group() as tg:
            try:
                await f.open(tg)
                await self.settle()
                if not self.bad:
                    await self.traffic()
            finally:
                f.stop()
                tg.cancel_scope.cancel()
        return self.bad

    async def traffic(self):
        f = self.f
        t0 = time.monotonic()
        async with anyio.create_task_group() as tg:
            for cls, rate, p in f.t["mix"]:
                tg.start_soon(self.v.flow, cls, rate, p, tg)
            await self.events()
            await anyio.sleep(max(0.0, self.secs - (time.monotonic() - t0)))
            self.times["back in service"] = await f.until(self.served, BACK)
            self.rule(self.times["back in service"] is not None, "not back in service")
            self.rule(not f.strange(), "shared memory or a child process", f.strange()[:3])
            self.v.open = False
        self.rule(await f.in_force(self.acked), "acknowledged configuration not in force")
        runs, fresh, again = self.judge()
        region = {z: d["region"] for z, d in f.t["config"]["zones"].items()}
        hits = [r[8] for r in runs.values() if r[7]]
        orders = {g: (await f.ask(f.cores[0], "GET", f"/v1/regions/{g}/orders"))[1] for g in region.values()}
        print(f"{self.town}: {await self.spills()} grants spilled from their home region")
        self.show(fresh, again, len(runs), hits, orders)

    def show(self, fresh, again, runs, hits, orders):
        print(f"{self.town}: {len(self.v.rows)} orders ({fresh} fresh), {runs} runs, {again} retries")
        for k, n in sorted(Counter((r["cls"], str(r["code"]), str(r["ran"])) for r in self.v.rows).items()):
            print("  told", *k, n)
        for c in sorted({r["cls"] for r in self.v.rows}):
            ls = sorted(r["t1"] - r["t0"] for r in self.v.rows if r["cls"] == c and r["code"] == 100)
            if ls:
                print(f"  {c}: median {ls[len(ls) // 2]:.3f} s, 95th {ls[int(len(ls) * 0.95)]:.3f} s, longest {ls[-1]:.3f} s")
        for k, v in self.times.items():
            print(f"  {k}: {v if v is None else round(v, 2)} s")
        if hits:
            print(f"  prefix hits: {sum(hits)} of {len(hits)}")
        for g, o in orders.items():
            for kind, k in o.get("kinds", {}).items():
                print(f"  {g} {kind}: wanted {k['wanted']}, ready {k['ready']}")
        for b in self.bad:
            print("  BROKEN", *b)
        print("sound" if not self.bad else f"{len(self.bad)} broken")


def rehearse(*, town, secs, seed, folder, other=""):
    m = Minute(town=town, secs=secs, seed=seed, folder=folder, other=other)
    print(f"logs and data: {folder}")
    anyio.run(m.run)
    for b in m.bad[:20]:
        print("BROKEN", *b)
    return 1 if m.bad else 0


FIRST_PAUSE_S, LONGEST_PAUSE_S = 1.0, 30.0
"""Before a daemon that has ended is started again; doubled each time."""


async def start_again(fleet):
    """Start daemons that have ended again, after a pause that grows, and say so."""
    pauses = dict.fromkeys(fleet.daemons, FIRST_PAUSE_S)
    due = {}
    while True:
        await anyio.sleep(FIRST_PAUSE_S / 4)
        for name in fleet.daemons:
            code = fleet.procs[name].poll()
            if code is not None and name not in due:
                due[name] = time.monotonic() + pauses[name]
                print(
                    f"{name} ended with {code}; it is started again in {pauses[name]:.0f} s (its log: {fleet.dir}/log/{name})", flush=True
                )
                pauses[name] = min(LONGEST_PAUSE_S, 2 * pauses[name])
            elif name in due and due[name] < time.monotonic():
                del due[name]
                fleet.start_daemon(name)


async def end_at_signal(scope):
    """Cancel the scope at SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()
            return


def stay(*, town, folder):
    """Start a town and stay up until interrupted or told to stop."""
    m = Minute(town=town, secs=0, seed=1, folder=folder, keys=False)

    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(end_at_signal, tg.cancel_scope)
            try:
                await m.f.open(tg)
                await m.settle()
                tg.start_soon(start_again, m.f)
                print(f"logs and data: {folder}")
                for d in m.f.daemons.values():
                    print(f"{d['name']:24} {d['zone']:12} http://{d['http']}")
                t, d = next(iter(m.f.t["config"]["tenants"].items()))
                print(
                    f"a tenant: {t}, homes {', '.join(d['homes'])}, bearer key key-{t},"
                    f" classes {', '.join(d['classes'])}\nup; Ctrl-C stops it all",
                    flush=True,
                )
                await anyio.sleep_forever()
            finally:
                m.f.stop()
                tg.cancel_scope.cancel()

    anyio.run(run)
    print("stopped")
    return 0
