"""A seeded run of the forwarding path (design 15): clients of all regions, operators, peace and checks."""

import random
from datetime import timedelta

from ...configuration import schema as config
from ...control import replicated_state as bk
from ...runtime.settings import tuning
from ..checkers.forwarding_records import Bounds, Sent
from ..fake_servers.request_format import MS, SEC
from ..sites import SITES
from .caller_keys import CLAIMED, CallerKeys
from .daemons import World
from .forwarding_path import Field, Way

BOUNDS = Bounds()
HOLDERS = 4  # one client in so many holds on to where to go for three times as long
GOOD, AGAIN = (100,), (503, 504, 705)


class Scene:
    """Also the scene of the faults: it has `w`, `rng`, `live`, `put`, `empty` as the other one does."""

    def __init__(self, *, town="navrang", seed=1, pace=1.0, opt=None, bounds=BOUNDS, loss=0.0, keys=False):
        self.t = SITES[town](seed)
        self.keys = CallerKeys(seed=seed) if keys else None  # of callers, in every configuration
        if self.keys:
            regions = sorted({zone["region"] for zone in self.t["config"]["zones"].values()})
            routes = [dict(r, public=True) if n == 0 else r for n, r in enumerate(self.t["config"]["routes"])]
            self.t["config"].update(callers=self.keys.first(regions), routes=routes)
        self.w = World(
            seed=seed,
            daemons=self.t["daemons"],
            config=self.t["config"],
            delay_ms=self.t["delay"],
            replicas=(),
            opt=opt or tuning(),
            loss=loss,
            fronts=True,
        )
        self.f = Field(world=self.w, seats=self.t["seats"], bounds=bounds)
        self.r, self.rng, self.pace, self.open = self.f.rules, random.Random(f"clients/{seed}"), pace, True
        self.n, self.number, self.taken, self.raws = 0, 0, [], {}
        self.rate, self.lean, self.long = 1.0, {}, 1.0  # a burst; zones where clients are; answers' length
        self.emptying, self.extra = {}, []  # extra: routes that were ever added
        self.why = {}  # status of ended tries -> how many

    # operators
    def live(self, core=None, zone=None):
        return [
            n.name
            for n in self.w.nodes.values()
            if n.hub and n.frozen is None and (core is None or n.core == core) and (zone is None or n.zone == zone)
        ]

    def held(self, name):
        """The number in force at a daemon."""
        n = self.w.nodes[name]
        c = bk.value_of(n.store, "config") if n.hub else None
        return c["number"] if c else 0

    def put(self, raw=None, *, base=None, valid=True, then=None, step=None):
        """An operator sends a whole configuration again and again until its outcome is clear."""
        raw = dict(raw or self.raw())
        self.number = max(self.number, base or 0) + (step or self.rng.randint(1, 4))
        raw["number"] = number = self.number
        base = self.r.configurations.newest(self.w.now) or 0 if base is None else base
        cfg, bad = config.parse_configuration(raw)
        assert valid == (not bad), bad
        self.raws[number] = raw
        rec = self.r.put(self.w.now, cfg if valid else raw, base=base, valid=valid, number=number)
        change, source, began = f"put-{number}-{self.rng.getrandbits(30)}", repr(sorted(raw)), self.w.now

        def got(code, kw):
            self.w.note("put", number, code)
            if code in AGAIN and (self.w.now - began < 60 * SEC or not self.taken):
                return self.w.after(SEC / 2, ask)
            self.r.told(self.w.now, rec, True if code in GOOD else None if code in AGAIN else False)
            if code in GOOD:
                self.taken.append(number)
            return then(code) if then else None

        def ask():
            up = self.live()
            if not up:
                return self.w.after(SEC / 2, ask)
            return self.w.call(self.rng.choice(up), "table-put", (base, number, change, raw, source), got)

        ask()
        return rec

    def raw(self):
        """The newest acknowledged configuration as it was sent."""
        return self.raws.get(self.r.configurations.newest(self.w.now), self.t["config"])

    def change(self, how=""):
        """Moves, splits, times; routes added and taken out; many at once."""
        raw, rng = self.raw(), self.rng
        if self.keys and how in ("", "keys") and (how or rng.random() < 0.5):
            return self.put(dict(raw, callers=self.keys.changed(raw["callers"])))
        how = how or rng.choice(["move", "split", "times", "add", "add", "drop", "homes"])
        rs = [dict(r) for r in raw["routes"]]
        r = rng.choice(rs)
        like = [s for s in raw["services"] if any(x["service"] == s and bool(x["spec"].work) == self.plain(r) for x in self.f.rows)]
        if how == "move":
            r["shares"] = [dict(service=rng.choice(like), weight=1)]
        elif how == "split":
            r["shares"] = [dict(service=s, weight=rng.choice([0, 1, 9, 50])) for s in like]
            r["shares"][0]["weight"] = 5
        elif how == "times":
            r.update(due_ms=rng.choice([1500, 4000, 9000]), tries=rng.randint(1, 3))
        elif how == "homes":
            gs = sorted(set(self.w.region.values()))
            r["homes"] = rng.sample(gs, rng.randint(0, len(gs) - 1))
        elif how in ("add", "grow"):
            pure = next(x for x in rs if self.plain(x)) if any(map(self.plain, rs)) else rs[0]
            for _ in range(1 if how == "add" else 300):
                self.n += 1
                new = dict(pure, name=f"new-{self.n}", prefix=f"/new-{self.n}/", homes=[])
                self.extra.append(new)
                rs.append(new)
        else:
            own = {x["name"] for x in self.t["config"]["routes"]}
            rs = [x for x in rs if x["name"] in own or rng.random() < 0.5]
        return self.put(dict(raw, routes=rs))

    def plain(self, r):
        """Is it served by what is no model?"""
        return any(x["service"] == r["shares"][0]["service"] and x["spec"].work for x in self.f.rows)

    def invalid(self):
        raw = self.raw()
        rs = [dict(r) for r in raw["routes"]]
        how = self.rng.choice(["service", "weights", "due", "place", "kind"])
        if how == "service":
            rs[0]["shares"] = [dict(service="nobody", weight=1)]
        elif how == "weights":
            rs[0]["shares"] = [dict(s, weight=0) for s in rs[0]["shares"]]
        elif how == "due":
            rs[0]["due_ms"] = 0
        elif how == "place":
            rs.append(dict(rs[0], name="twin"))
        else:
            rs[0]["kind"] = "else"
        return self.put(dict(raw, routes=rs), valid=False)

    def look(self):
        """A few requests go to any daemon, on routes just added, just taken out, or never there."""
        if not self.open:
            return
        self.w.after(timedelta(milliseconds=self.rng.randrange(100, 600)), self.look)
        new = self.rng.choice(self.extra[-6:]) if self.extra else None
        r = dict(new or self.t["config"]["routes"][0])
        path = f"/{r['name']}/x" if new and self.rng.random() < 0.9 else "/never/x"
        self.n += 1
        self.go(
            row=None,
            z=self.rng.choice(sorted(self.w.region)),
            r=r,
            path=path,
            body=f"body {self.n}".encode(),
            parts=(),
            tokens=(0, 20),
            due=3 * SEC,
            tries=1,
            last=0,
            key=self.key(),
        )

    def empty(self, zone, on=True):
        if not on and self.emptying.get(zone):
            return self.w.after(SEC / 2, self.empty, zone, on)
        self.emptying[zone], change = on, f"evac-{zone}-{on}-{self.rng.getrandbits(30)}"
        if not on:
            self.r.drained(self.w.now, zone, False)

        def got(code, kw):
            self.w.note("evac", zone, on, code)
            if code in AGAIN:
                return self.w.after(SEC / 2, ask)
            self.emptying[zone] = False
            if on and code in GOOD:
                self.r.drained(self.w.now, zone, True)
            return None

        def ask():
            up = self.live()
            if up:
                self.w.call(self.rng.choice(up), "evac", (zone, on, change), got)
            else:
                self.w.after(SEC / 2, ask)

        return ask()

    # clients
    def traffic(self):
        self.look()
        for row in self.t["mix"]:
            for z in self.w.region:
                self.next_(row, z)

    def next_(self, row, z):
        rate = row[1] * self.pace * self.rate * self.lean.get(z, 1.0)
        self.w.after(timedelta(seconds=self.rng.expovariate(max(rate, 0.01))), self.visit, row, z)

    def visit(self, row, z):
        if self.open:
            self.next_(row, z)
            self.order(row, z)

    def order(self, row, z, path=None, deadline=None):
        """One request of one client, with its further tries."""
        name, _, common, own, out = row
        rng, r = self.rng, next(r for r in self.t["config"]["routes"] if r["name"] == name)
        self.n += 1
        own = max(1, int(own * rng.lognormvariate(0, 0.6) * self.long)) if own else 0
        out = max(1, int(out * rng.uniform(0.2, 1) * (2 - self.long if self.long < 1 else 1 / self.long)))
        parts = ()
        if common:
            parts = ((f"c{rng.randrange(3)}", common // 2), (f"d{rng.randrange(12)}", common - common // 2), (f"o{self.n}", own))
        self.go(
            row=row,
            z=z,
            r=r,
            path=path or f"/{name}/{self.n % 7}",
            body=f"body {self.n}".encode(),
            parts=parts,
            tokens=(common + own, out),
            due=deadline or timedelta(milliseconds=r["due_ms"]),
            tries=1 + (rng.random() < 0.9),
            last=0,
            key=self.key(),
        )

    def key(self):
        """The key of a client; None: it has none."""
        return self.keys.choose(self.raw()["callers"]) if self.keys else None

    def go(self, *, row, z, r, path, body, parts, tokens, due, tries, last, key):
        ns = self.f.fronts(z, held=self.n % HOLDERS == 0)
        if not ns or due < 20 * MS:
            return
        again = r["kind"] == "pure" or r["kind"] == "streaming" and r.get("resumable", False)
        born = self.w.now
        s = Sent(
            attempt=f"{self.rng.getrandbits(64):016x}",
            at=born,
            life="",
            host=r["host"],
            path=path,
            body=body,
            stream=r["kind"] == "streaming",
            again=again,
            due=due,
            tokens=tokens,
            last=last,
            service=r["shares"][0]["service"],
            key=key,
            claims=CLAIMED if self.keys else None,
        )
        n = self.rng.choice(ns)
        s = s._replace(life=n.life, service=self.meant(s, r))

        def over(way, whole):
            k = way.status if whole else "cut"
            self.why[k] = self.why.get(k, 0) + 1
            left = due - (self.w.now - born)
            if whole and (200 <= way.status < 300 or way.status in (400, 401, 404, 413, 431)) or tries <= 1:
                return
            if not again and not (whole and way.status in (408, 421, 429, 503)):
                return
            wait = min(timedelta(seconds=way.wait or 0.05), left / 3)
            self.w.after(
                wait,
                lambda: self.go(
                    row=row,
                    z=z,
                    r=r,
                    path=path,
                    body=body,
                    parts=parts,
                    tokens=tokens,
                    due=due - (self.w.now - born),
                    tries=tries - 1,
                    last=int(way.last or 0) if s.stream else 0,
                    key=key,
                ),
            )

        Way(self.f, s, parts, n, over)

    def meant(self, s, r):
        """The service for which the request counts: as the route's weights draw it."""
        from ...routing import route_table as routes

        n = self.r.configurations.newest(self.w.now)
        p = next((p for p in self.r.configurations.changes if p.number == n), None)
        top = routes.find_route(p.table, s.host, s.path) if p else None
        return routes.choose_service(top, s.attempt) if top else r["shares"][0]["service"]

    def told(self):
        return {str(k): n for k, n in sorted(self.why.items(), key=lambda x: str(x[0]))}

    # the run
    def settle(self, secs=9):
        self.w.run(2)
        self.put()
        self.w.run(secs - 2)

    def peace(self):
        """Everything is back."""
        w, f = self.w, self.f
        w.heal()
        w.loss = 0.0
        self.rate, self.lean, self.long, f.forgets = 1.0, {}, 1.0, 0.0
        if f.mode:
            f.listing("")
        for n in w.nodes.values():
            if n.disk:
                n.disk.stall, n.disk.full, n.disk.slow = False, False, timedelta(0)
            if n.frozen is not None:
                n.freeze(False)
            if n.hub is None:
                n.boot()
        for row in f.rows:
            now = [s for s in f.seats.values() if s.name == row["name"] and s.e.up]
            for s in now:
                s.e.fault_rates.clear()
                s.e.always_healthy = False
                if s.e.paused:
                    s.said(s.e.resume(w.now))
            if not [s for s in now if s.leaves is None]:
                f.start(row)
        for z in sorted(w.region):  # an evacuation holds until it is taken back, through any loss
            w.after(15 * SEC, self.empty, z, False)

    def finish(self, before=None):
        w = self.w
        self.peace()
        back = w.now
        w.run(12 + 12)
        if before:
            self.r.recover(w.now - 4 * SEC, before=before, back=back)
        self.open = False
        w.run(22)
        self.ends()
        for n in w.nodes.values():
            if n.hub is not None and n.frozen is None:
                w.call(
                    n.name,
                    "config-get",
                    (),
                    lambda code, kw: self.r.read(
                        w.now, kw["config"]["number"] if code == 100 and kw.get("config") else None, kw.get("config")
                    ),
                )
        w.run(1)
        return self.r.close(w.now)

    def ends(self):
        """Nothing is left of requests that are over."""
        for n in self.w.nodes.values():
            if n.hub is None or n.core:
                continue
            reqs = n.router_requests
            if reqs:
                self.r.bad(self.w.now, "LEAK", n.name, len(reqs))
            tries = sum(len(r.attempts) for r in n.router_replicas.values())
            if tries:
                self.r.bad(self.w.now, "LEAK", n.name, "tries", tries)
            if self.f.shells[n.name].ways:
                self.r.bad(self.w.now, "LEAK", n.name, "asks", len(self.f.shells[n.name].ways))
