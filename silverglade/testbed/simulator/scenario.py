"""A seeded run (design 10.3): a town, its traffic, faults on the way, then peace and checks."""

from datetime import timedelta

from ...control import replicated_state as bk
from ...runtime.effects import milliseconds
from ...runtime.settings import tuning
from ..sites import TOWNS
from .configuration_changes import Changes
from .daemons import World

SEC = timedelta(seconds=1)


class Scene:
    def __init__(self, *, town="navrang", seed=1, pace=1.0, opt=None, loss=0.0):
        self.t = TOWNS[town]()
        self.w = World(
            seed=seed,
            daemons=self.t["daemons"],
            config=self.t["config"],
            delay_ms=self.t["delay"],
            replicas=self.t["replicas"],
            opt=opt or tuning(),
            loss=loss,
            tolerance=self.t.get("tolerance", (1, 1, 1)),
        )
        self.o, self.rng, self.pace, self.n, self.tag, self.open = self.w.oracle, self.w.rng, pace, 0, 0, True
        self.emptying = {}  # zone -> is a call to empty it not settled yet?
        self.pairs = False  # may two places fail at once here?
        self.changes = Changes(base=self.t["config"], rng=self.w.rng)

    # operators
    def live(self, core=None, zone=None):
        return [
            n.name
            for n in self.w.nodes.values()
            if n.hub and n.frozen is None and (core is None or n.core == core) and (zone is None or n.zone == zone)
        ]

    def put(self, *, at=None, base=None, grow=0, kind="cap"):
        """Read, change and put a configuration, told apart by its body_cap.

        kind: what is changed, "" for anything (changes.py).
        """
        self.tag += 1
        tag, up = 100000 + self.tag, self.live()
        who = at or up and self.rng.choice(up)
        if not who:
            return None  # nobody to ask
        change, ask = f"put-{tag}", []

        def got(code, kw):
            self.o.put(code, kw, tag)
            self.w.note("put", tag, code, tuple(kw.get("version", ())))
            if code in (503, 504, 705) and ask:  # asks by the change's id until that is settled
                self.w.after(SEC / 2, again)

        def go(code, kw):
            b = tuple(kw.get("version", (0, 0))) if base is None else base
            cfg = dict(self.changes.some(kw.get("config"), kind), body_cap=tag)
            if grow:
                extra = {f"tiny-{i}": dict(next(iter(self.t["config"]["tenants"].values())), keys=[f"{i:032x}"]) for i in range(grow)}
                cfg["tenants"] = {**cfg["tenants"], **extra}
            self.o.put_history.asked(self.w.now, tag, cfg)
            ask.append((b, change, cfg))
            if self.w.nodes[who].hub is None:
                return got(705, {})
            return self.w.call(who, "config-put", (b, change, cfg), got)

        def again():
            up_ = self.live()
            self.w.call(self.rng.choice(up_), "config-put", ask[0], got) if up_ else self.w.after(SEC / 2, again)

        self.w.call(who, "config-get", (), go)
        return tag

    def empty(self, zone, on=True):
        """An operator empties a zone or returns it, and asks by the change's id until that is settled."""
        if not on and self.emptying.get(zone):  # first let the other call settle
            return self.w.after(SEC / 2, self.empty, zone, on)
        self.emptying[zone] = on
        asked, change = self.w.now, f"evac-{zone}-{on}-{self.rng.getrandbits(30)}"
        if not on:  # from here on the zone may be used again
            self.o.emptied = [(z, a, b or asked) if z == zone else (z, a, b) for z, a, b in self.o.emptied]

        def got(code, kw):
            self.w.note("evac", zone, on, code)
            if on and code == 100:
                self.o.emptied.append((zone, asked, None))
            if code in (503, 504, 705):
                self.w.after(SEC / 2, ask)
            else:
                self.emptying[zone] = False

        def ask():
            who = self.live()
            if who:
                self.w.call(self.rng.choice(who), "evac", (zone, on, change), got)
            else:
                self.w.after(SEC / 2, ask)

        return ask()

    def leave(self, rid):
        r = self.w.replicas[rid]
        who = self.rng.choice(self.live() or [""])
        if not who:
            return
        self.o.left.setdefault((rid, r.inc), self.w.now)
        self.w.call(who, "platform", (((rid, r.inc, True),),))

    # visitors
    def config(self, who):
        """What a daemon holds for in force."""
        n = self.w.nodes[who]
        return bk.value_of(n.store, "config") if n.hub else None

    @property
    def known(self):
        """The newest acknowledged configuration: visitors hold its keys."""
        newest = self.o.put_history.newest_acknowledged()
        return newest.configuration if newest else None

    def traffic(self):
        for cls, rate, prefix in self.t["mix"]:
            self.next_(cls, rate, prefix)

    def next_(self, cls, rate, prefix):
        gap = self.rng.expovariate(rate * self.pace)
        self.w.after(timedelta(seconds=gap), self.visit, cls, rate, prefix)

    def visit(self, cls, rate, prefix):
        if not self.open:
            return
        self.next_(cls, rate, prefix)
        ts = self.t["config"]["tenants"]
        t = self.rng.choice(sorted(ts))
        p = f"{prefix}-{self.rng.randrange(2)}" if prefix else ""
        self.order(tenant=t, cls=cls, prefix=p)

    def order(self, *, tenant, cls, prefix="", key=None, attempt=1, at=None, retry=True, due="", old=0.1):
        ts = self.t["config"]["tenants"][tenant]
        z = self.rng.choice(ts["homes"]) if self.rng.random() < 0.9 else self.rng.choice(sorted(self.w.region))
        up = self.live(zone=z) or self.live()
        if not up:
            return None
        who = at or self.rng.choice(up)
        self.n += 1
        oid, key = f"o{self.n}", key or f"k{self.n}"
        body = f"{tenant}/{key}/{cls}".encode()
        cfg = self.config(who)
        c = (cfg or self.t["config"])["tenants"].get(tenant, ts)["classes"][cls]
        bearer = self.changes.bearer(self.known, tenant) if self.rng.random() >= old else f"key-{tenant}"
        self.o.asked(
            oid,
            tenant=tenant,
            key=key,
            cls=cls,
            resumable=c["resumable"],
            body=body,
            attempt=attempt,
            who=who,
            life=self.w.nodes[who].life,
            bearer=bearer,
            left=milliseconds(int(due) if due else c["due_ms"]),
        )
        if retry:
            self.w.after(milliseconds(c["due_ms"] + 500), self.again, oid, tenant, cls, prefix, key, attempt)
        self.w.nodes[who].feed(("order", oid, (bearer, cls, key, due, prefix, str(attempt or ""), body)))
        return oid

    def again(self, oid, tenant, cls, prefix, key, attempt):
        """Some visitors ask again elsewhere, with the same key."""
        o = self.o.orders[oid]
        if self.open and attempt < 3 and (o["told"] is None or o["told"][0] == "fault") and self.rng.random() < 0.6:
            self.order(tenant=tenant, cls=cls, prefix=prefix, key=key, attempt=attempt + 1)

    # the run
    def settle(self, secs=8):
        """From power-on to a configuration in force."""
        self.w.run(3)
        self.put()
        self.w.run(secs - 3)

    def peace(self):
        """Everything back: what the last fault must be recovered from."""
        w = self.w
        w.heal()
        w.loss = 0.0
        for r in w.replicas.values():
            r.prefill, r.step = r.pace
        for n in w.nodes.values():
            if n.disk:
                n.disk.stall, n.disk.full, n.disk.slow = False, False, timedelta(0)
            if n.frozen is not None:
                n.freeze(False)
            if n.hub is None:
                n.boot()
        for r in w.replicas.values():
            r.dark, r.sabotage = False, None
            if not r.up or r.state == "leaving" or (r.rid, r.inc) in self.o.left:
                r.boot()
        for z in sorted(w.region):
            self.empty(z, False)

    def finish(self):
        """12 s after peace every class of every tenant must be served again."""
        w = self.w
        self.peace()
        w.run(12)
        cfg = max((x for x in map(self.config, self.live()) if x), key=lambda x: x["body_cap"])
        oids = [
            self.order(tenant=t, cls=c, retry=False, old=0, at=self.rng.choice(self.live(zone=z)))
            for t, d in sorted(cfg["tenants"].items())
            if t in self.t["config"]["tenants"]
            for z in d["homes"]
            if self.live(zone=z)
            for c in d["classes"]
        ]
        w.run(8)
        for oid in oids:
            o = self.o.orders[oid]
            if o["told"] != ("ok",) and not self.shut(o):
                self.o.bad("not-back", o["tenant"], o["cls"], o["who"], o["told"])
        self.open = False
        w.run(25)
        for o in self.o.orders.values():
            n = w.nodes[o["who"]]
            if o["told"] is None and n.life == o["life"] and n.hub:
                self.o.bad("never-answered", o["oid"], o["who"], o["at"] / SEC)
        self.o.close(lambda c: c["body_cap"] if c else 0)
        w.run(1)
        return self.o.faults

    def shut(self, o):
        """Owner and follower's disk lost at once, two failures: shut for what cannot be resumed (6.4)."""
        lost = {dict(r[3])["shard"] for r in self.w.trace if len(r) > 3 and r[2] == "claims-lost"}
        return self.pairs and o["tenant"] in lost and not o["resumable"] and o["told"] is not None and o["told"][:2] == ("fault", 303)

    def told(self):
        n = {}
        for o in self.o.orders.values():
            k = o["told"][0] if o["told"] and o["told"][0] == "ok" else str(o["told"])
            n[k] = n.get(k, 0) + 1
        return n
