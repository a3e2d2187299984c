"""The oracle (design 10.3): what every order ran and what its visitor was told."""
from collections import defaultdict
from datetime import timedelta


SEC = timedelta(seconds=1)
LEAVE = timedelta(seconds=5)
EMPTY = timedelta(seconds=5)
FLIGHT = timedelta(milliseconds=100)   # an answer under way while another ask of the key runs


class Oracle:
    def __init__(self, *, world):
        self.w = world
        self.orders = {}                        # oid -> what was asked and told
        self.runs, self.by_key = {}, defaultdict(list)
        self.ended, self.faults, self.events = set(), [], defaultdict(int)
        self.left, self.emptied, self.acked, self.held = {}, [], [], {}
        self.fresh = self.again = 0

    def bad(self, rule, *what):
        self.faults.append((round(self.w.now / SEC, 3), rule, *what))

    # visitors
    def asked(self, oid, **facts):
        self.orders[oid] = dict(facts, oid=oid, at=self.w.now, pieces=[], told=None, when=None)
        if facts["attempt"] < 2:
            self.fresh += 1

    def result(self, oid, r):
        o = self.orders.get(oid)
        if o is None or r[0] == "key":
            return
        if o["told"] is not None:
            self.bad("answered-twice", oid, o["told"], r[:3])
            return
        match r:
            case ("piece", k, data):
                o["pieces"].append((k, bytes(data)))
            case ("whole", data):
                o["told"], o["when"] = ("ok",), self.w.now
                did = bytes(data).split(b"|")[0].decode()
                if bytes(data) != f"{did}|whole".encode() or did.rsplit(".", 1)[0] != oid:
                    self.bad("foreign-body", oid, data)
                if did not in self.ended:
                    self.bad("success-unearned", oid)
            case ("done", *_):
                o["told"], o["when"] = ("ok",), self.w.now
                dids = {d.split(b"|")[0].decode() for _, d in o["pieces"]}
                if len(dids) != 1 or next(iter(dids)).rsplit(".", 1)[0] != oid:
                    self.bad("joined-runs", oid, dids)
                elif next(iter(dids)) not in self.ended:
                    self.bad("success-unearned", oid)
                if [k for k, _ in o["pieces"]] != list(range(1, len(o["pieces"]) + 1)) or len(o["pieces"]) != 5:
                    self.bad("pieces", oid, [k for k, _ in o["pieces"]])
            case ("fault", code, ran, *_):
                o["told"], o["when"] = ("fault", code, ran), self.w.now
                self.events[f"fault-{code}"] += 1

    # replicas
    def ran(self, rep, did, meta, body, running):
        oid = did.rsplit(".", 1)[0]
        o = self.orders.get(oid)
        now = self.w.now
        if o is None:
            return self.bad("run-of-nothing", did)
        if did in self.runs:
            self.bad("dispatch-twice", did)
        self.runs[did] = (now, rep.rid, oid)
        k = (o["tenant"], o["key"])
        if not o["resumable"] and self.by_key[k]:
            self.bad("ran-twice", k, did, self.by_key[k])
        if self.by_key[k]:
            self.again += 1
        self.by_key[k].append(did)
        if rep.zone not in self.homes(o["tenant"]):
            self.bad("outside-homes", did, rep.zone)
        if meta["tenant"] != o["tenant"] or bytes(body) != o["body"]:
            self.bad("foreign-prompt", did)
        if running > rep.bear():
            self.bad("flooded", rep.rid, running, rep.bear())
        t = self.left.get((rep.rid, rep.inc))
        if t is not None and now > t + LEAVE:
            self.bad("work-after-leaving", rep.rid, round((now - t) / SEC, 2))
        for z, a, b in self.emptied:
            if z == rep.zone and now > a + EMPTY and (b is None or now < b):
                self.bad("work-after-emptying", did, z, round((now - a) / SEC, 2))
        return None

    def finished(self, did):
        self.ended.add(did)

    def homes(self, tenant):
        return self.w.config["tenants"][tenant]["homes"]

    # control
    def log(self, n, ev, kw):
        self.events[ev] += 1
        if ev not in ("scaler", "daemon-live"):
            self.w.trace.append((round(self.w.now / SEC, 3), n.name, ev, kw))

    def look(self):
        """Versions in force never go back in one life; called now and then by the scene."""
        for n in self.w.nodes.values():
            if n.hub is None or n.frozen is not None:
                continue

            def got(code, kw, n=n, life=n.life):
                v = tuple(kw.get("version", (0, 0)))
                if v < self.held.get(life, (0, 0)):
                    self.bad("slipped-back", n.name, v, self.held[life])
                self.held[life] = v
            self.w.call(n.name, "config-get", (), got)

    def put(self, code, kw, tag):
        """An operator's outcome: acknowledged ones must last, refused ones never show."""
        self.acked.append((self.w.now, tag, code, tuple(kw.get("version", ()))))

    def close(self, tag_of):
        """After everything is back: the last checks. tag_of(config) names a configuration."""
        oks = [(v, t) for _, t, c, v in self.acked if c == 100]
        refused = {t for _, t, c, _ in self.acked if c not in (100, 503, 705)}
        seen = {}
        for n in self.w.nodes.values():
            if n.hub is not None and n.frozen is None:
                self.w.call(n.name, "config-get", (), lambda c, kw, n=n: seen.update(
                    {n.name: (tuple(kw["version"]), tag_of(kw["config"]))}))
        for name, (v, t) in sorted(seen.items()):
            if oks and (v, t) < max(oks) and v <= max(oks)[0]:
                self.bad("acknowledged-forgotten", name, v, t, max(oks))
            if t in refused:
                self.bad("refused-in-force", name, t)
        if len(set(seen.values())) > 1:
            self.bad("configs-differ", seen)
        for o in self.orders.values():
            if o["told"] and o["told"][0] == "fault" and o["told"][2] == "no":
                k = (o["tenant"], o["key"])
                for d in self.by_key[k]:
                    at, _, oid = self.runs[d]
                    if oid == o["oid"] or at <= o["when"] - FLIGHT:
                        self.bad("not-run-but-ran", o["oid"], o["told"], d)
        return self.faults


