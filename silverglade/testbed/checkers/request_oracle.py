"""The oracle (design 10.3): what every order ran and what its visitor was told."""

from collections import defaultdict
from datetime import timedelta

from ...configuration.schema import key_digest
from .invariant_monitor import InvariantMonitor, PutHistory, Retries

SEC = timedelta(seconds=1)
LEAVE = timedelta(seconds=5)
EMPTY = timedelta(seconds=5)
SHARE = 0.2


class Oracle:
    def __init__(self, *, world):
        self.w = world
        self.orders = {}  # oid -> what was asked and told
        self.runs, self.by_key = {}, defaultdict(list)
        self.ended, self.faults, self.events = set(), [], defaultdict(int)
        self.left, self.emptied, self.acked = {}, [], []
        self.put_history, self.retries, self.monitor = PutHistory(), Retries(), InvariantMonitor(world=world, bad=self.bad)
        # An answer that was given while another ask of the same key was let run is still on its way
        # for two hops at most: owner to ingress, ingress to the daemon that the visitor called.
        self.flight = timedelta(milliseconds=2 * 1.3 * world.delay + 1)
        # "given up is answered at once": by its due the order is given up; the answer crosses two hops,
        # and a daemon looks at its clock on each pulse.
        self.slack = self.flight + world.opt["settle"] + 2 * world.opt["pulse"]
        self.again = 0

    def bad(self, rule, *what):
        self.faults.append((round(self.w.now / SEC, 3), rule, *what))

    # visitors
    def asked(self, oid, **facts):
        self.orders[oid] = dict(facts, oid=oid, at=self.w.now, pieces=[], told=None, when=None)
        self.retries.asked(self.w.now, (facts["tenant"], facts["key"]), oid)

    def result(self, oid, r):
        o = self.orders.get(oid)
        if o is None or r[0] == "key":
            return
        if o["told"] is not None:
            self.bad("answered-twice", oid, o["told"], r[:3])
            return
        if r[0] in ("whole", "done", "fault"):
            self.prompt(o)
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

    def prompt(self, o):
        """Nobody is kept waiting once the order was given up, which it is by its due."""
        n = self.w.nodes[o["who"]]
        late = self.w.now - (o["at"] + o["left"])
        if late > self.slack and n.life == o["life"] and n.steady(o["at"]):
            self.bad("late-answer", o["oid"], o["who"], round(late / SEC, 2))

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
        self.by_key[k].append(did)
        got = self.retries.ran(now, k, oid, int(did.rsplit(".", 1)[1]))
        if got:
            self.again += 1
            if got[0] > SHARE * got[1] + 1:
                self.bad("retries", *got)
        if rep.zone not in self.put_history.homes(o["tenant"], now):
            self.bad("outside-homes", did, rep.zone)
        if key_digest(o["bearer"]) not in self.put_history.keys(o["tenant"], o["at"]):  # as it was let in
            self.bad("key-not-in-force", did, o["tenant"])
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

    # control
    def log(self, n, ev, kw):
        self.events[ev] += 1
        if ev not in ("scaler", "daemon-live"):
            self.w.trace.append((round(self.w.now / SEC, 3), n.name, ev, kw))

    def put(self, code, kw, tag):
        """An operator's outcome: acknowledged ones must last, refused ones never show."""
        v = tuple(kw.get("version", ()))
        self.acked.append((self.w.now, tag, code, v))
        self.put_history.told(self.w.now, tag, code, v)
        if code == 100:
            self.monitor.acknowledged(v)

    def close(self, tag_of):
        """After everything is back: the last checks. tag_of(config) names a configuration."""
        oks = [(v, t) for _, t, c, v in self.acked if c == 100]
        refused = {t for _, t, c, _ in self.acked if c not in (100, 503, 705)}
        seen = {}
        for n in self.w.nodes.values():
            if n.hub is not None and n.frozen is None:
                self.w.call(
                    n.name, "config-get", (), lambda c, kw, n=n: seen.update({n.name: (tuple(kw["version"]), tag_of(kw["config"]))})
                )
        for name, (v, t) in sorted(seen.items()):
            if oks and (v, t) < max(oks) and v <= max(oks)[0]:
                self.bad("acknowledged-forgotten", name, v, t, max(oks))
            if t in refused:
                self.bad("refused-in-force", name, t)
        if len(set(seen.values())) > 1:
            self.bad("configs-differ", seen)
        return self.promises()

    def promises(self):
        """What was promised not to have run had not, and did not afterwards."""
        for o in self.orders.values():
            if o["told"] and o["told"][0] == "fault" and o["told"][2] == "no":
                k = (o["tenant"], o["key"])
                for d in self.by_key[k]:
                    at, _, oid = self.runs[d]
                    if oid == o["oid"] or at <= o["when"] - self.flight:
                        self.bad("not-run-but-ran", o["oid"], o["told"], d)
        return self.faults
