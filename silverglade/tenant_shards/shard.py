"""One shard in its owner's hands (design 6.3, 6.4).

Steps: adopt (fetch the follower's claims under my epoch), open, copy (a new follower gets
every claim, then control names it, then adopt again). Unresumable orders wait while not open.
"""

from boltons.cacheutils import LRI

from ..runtime.effects import log, send


def aged(claims, most):
    """Keys whose claims are older than the newest `most`, once an eighth more has gathered (6.3)."""
    if len(claims) <= most + most // 8:
        return ()
    floor = max(c[2] for c in claims.values()) - most
    return tuple(k for k, c in claims.items() if c[2] <= floor)


class Shard:
    def __init__(self, *, name, epoch, follower, me, claims, most):
        self.name, self.epoch, self.follower, self.me = name, epoch, follower, me
        self.claims = claims  # None: not known here
        self.open, self.sent, self.to, self.num = False, None, "", 0
        self.life = None  # the follower's life as last seen
        self.bad, self.since = {}, (None, None)  # cores that let me wait; (step, to) since when
        self.most, self.top = most, max((c[2] for c in (claims or {}).values()), default=0)
        self.tried = LRI(max_size=most)  # resumable keys granted here, the last of them
        self.asked = LRI(max_size=most)  # key digest -> the order that first asked with it
        self.step = "adopt" if follower else "copy"
        if not follower:
            self.claims = {}  # no follower yet: nothing was ever claimed

    def full(self, epoch):
        """Are my claims still whole under this epoch? Only if nobody owned it between."""
        return self.claims is not None and epoch == self.epoch + 1

    def claim(self, kd, gid):
        old = self.claims.get(kd)
        if not old:
            self.top += 1
        no = old[2] if old else self.top
        self.claims[kd] = (gid, "claimed", no)
        for k in aged(self.claims, self.most):
            del self.claims[k]
        return [send(self.follower, "claim", self.name, self.epoch, gid, kd, gid, no)]

    def tries(self, kd):
        self.tried[kd] = True

    def mark(self, kd, gid, st):
        c = (self.claims or {}).get(kd)
        if not c or c[0] != gid:
            return []
        if st == "free":
            del self.claims[kd]
        else:
            self.claims[kd] = (gid, st, c[2])
        return [send(self.follower, "mark", self.name, self.epoch, kd, gid, st)]

    def doubt(self):
        """After a freeze: another may own it by now, so ask the follower again."""
        if self.step == "open":
            self.open, self.step, self.sent = False, "adopt", None

    def follow(self, life):
        """A follower in a new life may have lost its disk: ask what it holds (6.4)."""
        if life is not None and life != self.life:
            if self.life is not None:
                self.doubt()
            self.life = life

    def lost(self, e, why):
        """The follower refused a claim: it is empty, or follows a newer epoch."""
        if e == self.epoch and why in ("none", "old"):
            self.open, self.sent = False, None
            self.step = "copy" if why == "none" else "adopt"

    def hear(self, frm, kind, e, rest):
        if e != self.epoch:
            return []
        if kind == "adopted" and frm == self.follower and self.step == "adopt":
            got = {k: (g, s, n) for k, g, s, n in rest[0]}
            mine = self.claims or {}
            self.claims = {**got, **mine}
            self.top = max([self.top] + [c[2] for c in got.values()])
            if any(k not in got and c[2] > self.top - self.most for k, c in mine.items()):  # it holds less than I do: copy anew
                self.step, self.sent = "copy", None
                return []
            self.open, self.step = True, "open"
            return [log("shard-open", shard=self.name, epoch=e, claims=len(got))]
        if kind == "unadopted" and self.step == "adopt" and rest[0] == "none":
            if self.claims is not None:
                self.step, self.sent = "copy", None
                return []
            self.step = "shut"
            return [log("claims-lost", shard=self.name, follower=frm)]
        if kind == "copied" and frm == self.to and self.step == "copy" and rest == [self.num]:
            if self.to == self.follower:
                self.step, self.sent = "adopt", None
                return []
            self.step, self.sent = "name", None
        return []

    def pulse(self, now, live, spare, near, opt):
        """near: cores of my own zone, when there are others: one loss must not take both."""
        if self.since[0] != (self.step, self.to):
            self.since = ((self.step, self.to), now)
        late = now - self.since[1] > opt["claim_wait"]
        if late and self.step == "copy" and self.to:
            self.bad[self.to] = now
        elif late and self.step == "adopt" and self.claims is not None:
            self.bad[self.follower] = now
        self.bad = {c: t for c, t in self.bad.items() if now - t < opt["gone"] * 2}
        if self.step == "open" and self.follower in live and self.follower not in self.bad and self.follower not in near:
            return []
        cs = [c for c in spare(self.name) if c not in self.bad]
        gone = self.follower not in live or ((self.follower in self.bad or self.follower in near) and bool(cs))
        if self.step in ("open", "adopt") and self.follower and gone and self.claims is not None:
            self.open, self.step, self.sent = False, "copy", None
        if self.step == "shut" and not gone and (self.sent is None or now - self.sent > opt["gone"]):
            self.step = "adopt"
        if self.step == "open" or (self.sent is not None and now - self.sent < opt["takeover"] / 3):
            return []
        self.sent = now
        if self.step == "adopt":
            return [send(self.follower, "adopt", self.name, self.epoch)]
        if self.step == "copy":
            self.to = self.follower if not gone else cs[0] if cs else ""
            self.num += 1
            return (
                [send(self.to, "copy", self.name, self.epoch, self.num, tuple((k, *v) for k, v in sorted(self.claims.items())))]
                if self.to
                else []
            )
        if self.step == "name":
            if self.to not in live:
                self.step = "copy"
                return []
            return [("name", ("shard", self.name, self.epoch, self.me, self.to))]
        return []
