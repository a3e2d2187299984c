"""Stand-in replicas for the simulator (design 10.2): prefill, then decode; cold at first."""

from datetime import timedelta

from ...runtime.effects import ZERO, milliseconds

SEC = timedelta(seconds=1)


class Replica:
    def __init__(self, *, world, rid, zone, slots=4, kind="model", homes=None, prefixes=(), prefill_ms=60, piece_ms=20, pieces=5):
        self.w, self.rid, self.zone, self.slots, self.kind = world, rid, zone, slots, kind
        self.homes, self.prefixes = homes or [zone], list(prefixes)
        self.prefill, self.step, self.pieces = prefill_ms, piece_ms, pieces
        self.pace = (prefill_ms, piece_ms)
        self.inc, self.up, self.dark, self.state, self.addr = 0, False, False, "ready", ""
        self.runs, self.done, self.served, self.cache = {}, 0, 0, set()
        self.no = world.numbered()  # an address of its own for each name
        self.sabotage = None  # a fault to answer with, see take()

    def boot(self, warm=False):
        self.inc += 1
        self.up, self.dark, self.state, self.runs = True, False, "ready", {}
        self.done, self.served, self.cache = (9 if warm else 0), 0, set()
        self.w.note("replica-up", self.rid, self.inc)
        self.renew(self.inc)

    def annotations(self):
        return dict(
            incarnation=self.inc,
            address=self.ip(),
            zone=self.zone,
            kind=self.kind,
            homes=self.homes,
            prefixes=self.prefixes,
            slots=self.slots,
        )

    def renew(self, inc):
        if not self.up or inc != self.inc:
            return
        ns = [n for n in self.w.nodes.values() if n.hub and n.frozen is None and n.zone == self.zone and self.w.open(n.name, self.rid)] or [
            n for n in self.w.nodes.values() if n.hub and n.frozen is None and self.w.open(n.name, self.rid)
        ]
        if ns and not self.dark:
            self.w.call(self.w.rng.choice(ns).name, "replica-put", (self.rid, self.annotations()))
        self.w.after(milliseconds(1000), self.renew, inc)

    def ip(self):
        self.addr = f"10.{100 + self.no}.{self.inc // 250}.{self.inc % 250 + 1}:80"
        return self.addr

    def bear(self):
        """How many runs it can carry without falling over: little when cold."""
        return self.slots if self.done >= 4 else 2 + self.done

    def kill(self):
        self.up = False
        for did, (n, life, *_) in list(self.runs.items()):
            self.w.after(self.w.hop(self.zone, n.zone), self.w.back, n, life, did, ("fault", "maybe"))
        self.runs = {}
        self.w.note("replica-kill", self.rid)

    def probe(self, n, life, rid, inc):
        if not self.up or self.dark or n.life != life:
            return
        use = len(self.runs) / self.slots
        n.feed(("probed", rid, inc, (self.inc, self.state, use, float(self.served), len(self.runs), self.done >= 4)))

    def take(self, n, life, did, meta, body):
        inc = self.inc
        if not self.up:
            return self.w.after(self.w.hop(n.zone, self.zone), self.w.back, n, life, did, ("refused",))
        if self.dark:
            return None
        if self.sabotage == "refuse":
            return self.w.after(self.w.hop(n.zone, self.zone), self.w.back, n, life, did, ("refused",))
        self.runs[did] = (n, life)
        self.w.oracle.ran(self, did, meta, body, len(self.runs))
        cold = 0 if meta["prefix"] in self.cache or not meta["prefix"] else 2
        self.cache.add(meta["prefix"])
        t = milliseconds(int(self.prefill * (1 + cold) * (1 + len(self.runs) / self.slots)))
        if meta["stream"]:
            return self.w.after(t, self.piece, n, life, did, inc, 1)
        return self.w.after(t * 2, self.whole, n, life, did, inc)

    def alive(self, did, inc):
        return self.up and inc == self.inc and did in self.runs

    def whole(self, n, life, did, inc):
        if self.alive(did, inc):
            self.finish(did)
            if not self.dark:
                self.say(n, life, did, ("fault", "yes") if self.sabotage == "fault" else ("whole", f"{did}|whole".encode()))

    def piece(self, n, life, did, inc, k):
        if not self.alive(did, inc):
            return
        if self.sabotage == "skip" and k == 3:
            k = 4
        if not self.dark:
            self.say(n, life, did, ("piece", k, f"{did}|{k}".encode()))
        if k >= self.pieces:
            self.finish(did)
            if not self.dark:
                self.say(n, life, did, ("fault", "yes") if self.sabotage == "fault" else ("done", k))
        else:
            self.w.after(milliseconds(self.step), self.piece, n, life, did, inc, k + 1)

    def say(self, n, life, did, what):
        if self.w.open(self.rid, n.name):
            at = self.w.hop(self.zone, n.zone)
            key = (self.rid, did)
            due = max(self.w.now + at, self.w.links.get(key, ZERO))
            self.w.links[key] = due
            self.w.after(due - self.w.now, self.w.back, n, life, did, what)

    def finish(self, did):
        self.runs.pop(did, None)
        self.done += 1
        self.served += 1
        self.w.oracle.finished(did)

    def hangup(self, did):
        self.runs.pop(did, None)
