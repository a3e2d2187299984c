"""Slot ledgers (design 7.3): one holder per replica hands out its slots, under an epoch."""

from ..runtime.effects import IDLE, ZERO, log, post, send
from .registry import ADDR, INC, LEAVING, S_EPOCH, S_NUM, SLOTS, ZONE, evacuated_zones


class Slots:
    """One replica's ledger: leases, cold ramp, who waits for room."""

    def __init__(self, *, epoch, inc, now):
        self.epoch, self.inc, self.num, self.born = epoch, inc, 0, now
        self.ghosts = []  # leases ended with the run perhaps going on
        self.leases, self.hungry = {}, {}  # lease -> (owner, tenant, till); tenant -> (owner, at)
        self.cap, self.state, self.warm, self.run = 1, "starting", False, 0
        self.use, self.served, self.due, self.heard = 0.0, 0.0, ZERO, None

    def used(self):
        return max(len(self.leases) + len(self.ghosts), self.run)

    def held(self, tenant):
        return sum(t == tenant for _, t, _ in self.leases.values())


def ledger(*, me, opt):
    reps, mine, duties, evac, out = {}, {}, {}, set(), []
    roll, fresh = (), None

    def open_(now):
        """Ledgers wanted (duties that name me) against ledgers held."""
        want = {r: e for r, e in duties.items() if r in reps}
        for rid in [r for r in mine if r not in want]:
            del mine[rid]
        for rid, e in want.items():
            inc = reps[rid][0][INC]
            m = mine.get(rid)
            if m is None or m.inc != inc:
                mine[rid] = Slots(epoch=e, inc=inc, now=now)
            m = mine[rid]
            m.epoch, s = e, reps[rid][1]
            if s and s[S_EPOCH] == e and s[S_NUM] > m.num:
                m.num = s[S_NUM]  # told in an earlier life of mine: go on from there

    def room(m, rid, now):
        r = reps[rid][0]
        if (
            m.state != "ready"
            or now - m.born < opt["learn"]
            or r[LEAVING]
            or r[ZONE] in evac
            or fresh is None
            or now - fresh > opt["alone"]
        ):
            return 0
        return max(0, min(m.cap, r[SLOTS]) - m.used())

    def fair(m, tenant, now):
        """A tenant that holds more yields to one that waits with fewer."""
        m.hungry = {t: h for t, h in m.hungry.items() if now - h[1] < opt["settle"] * 2}
        return all(m.held(t) >= m.held(tenant) for t in m.hungry if t != tenant)

    def lease(m, lid, owner, tenant, now):
        m.leases[lid] = (owner, tenant, now + opt["lease"])

    def offer(rid, m, now):
        n = 0
        while room(m, rid, now) and m.hungry:
            t = min(m.hungry, key=lambda t: (m.held(t), m.hungry[t][1]))
            owner, at = m.hungry.pop(t)
            if now - at < opt["settle"] * 2:
                n, m.num = n + 1, m.num + 1
                lid = f"{rid}/{m.epoch}/{m.num}"
                lease(m, lid, owner, t, now)
                out.append(send(owner, "offer", rid, m.epoch, lid, t))

    def tell(rid, m):
        m.num += 1
        out.append(
            post(
                "replica_registry",
                "status",
                (rid, m.inc, m.epoch, m.num, m.state, m.use, m.served, m.run, min(m.cap, reps[rid][0][SLOTS]), m.used()),
            )
        )

    while True:
        now, ev = yield tuple(out)
        out = []
        match ev:
            case ("fresh", f):
                fresh = f
            case ("roll", r):
                roll = {x[0] for x in r}
            case ("book", b, _):
                evac = evacuated_zones(b)
                duties = {k[12:]: v[0] for k, (_, v) in b.items() if k.startswith("duty/ledger/") and v[1] == me}
                open_(now)
            case ("replicas", rs):
                reps = rs
                open_(now)
            case ("froze",):
                mine.clear()  # a frozen holder distrusts its leases
                open_(now)
            case ("pulse",):
                for rid, m in mine.items():
                    if now >= m.due:
                        m.due = now + opt["probe"]
                        out.append(("probe", rid, m.inc, reps[rid][0][ADDR]))
                        if m.heard and now - m.heard > opt["stale"] / 2 and m.state != "dark":
                            m.state, m.warm, m.cap = "dark", False, 1
                            out.append(log("replica-dark", replica=rid))
                            tell(rid, m)
                    dead = [i for i, (o, _, till) in m.leases.items() if now > till or o not in roll]
                    for i in dead:
                        del m.leases[i]
                        m.ghosts.append(now + opt["stale"])
                    m.ghosts = [t for t in m.ghosts if t > now]
                    offer(rid, m, now)
                if not any(m.leases or m.ghosts or m.hungry for m in mine.values()):
                    out.append(("due", min((m.due for m in mine.values()), default=IDLE)))
            case ("probed", rid, inc, got):
                m = mine.get(rid)
                if m is None or inc != m.inc:
                    continue
                if got is None or got[0] != m.inc:  # silent, or another life of it
                    continue
                _, state, m.use, m.served, m.run, warm = got
                m.heard = now
                m.ghosts = m.ghosts[: m.run]
                if warm and not m.warm:
                    m.cap = reps[rid][0][SLOTS]
                if state != m.state:
                    out.append(log("replica-state", replica=rid, was=m.state, now=state))
                m.warm, m.state = warm, state
                tell(rid, m)
                offer(rid, m, now)
            case ("msg", frm, ("lease", str(rid), int(e), str(lid), str(tenant))):
                m = mine.get(rid)
                if m is None or e != m.epoch:
                    out.append(send(frm, "unleased", lid, rid, "moved"))
                elif lid in m.leases:
                    out.append(send(frm, "leased", lid, rid, m.epoch))
                elif room(m, rid, now) and fair(m, tenant, now):
                    lease(m, lid, frm, tenant, now)
                    out.append(send(frm, "leased", lid, rid, m.epoch))
                else:
                    m.hungry[tenant] = (frm, now)
                    out.append(send(frm, "unleased", lid, rid, "full"))
            case ("msg", frm, ("renew", str(rid), int(e), tuple(held))):
                m = mine.get(rid)
                if m and e == m.epoch:  # a holder new to it learns what is out
                    for lid, tenant in held:
                        lease(m, lid, frm, tenant, now)
            case ("msg", frm, ("release", str(rid), str(lid), bool(good))):
                m = mine.get(rid)
                if m and m.leases.pop(lid, None):
                    if not good:
                        m.ghosts.append(now + opt["stale"])
                    elif m.run > len(m.leases) + len(m.ghosts):
                        m.run -= 1  # until the next probe says
                    if good and m.cap < reps[rid][0][SLOTS]:
                        m.cap += 1  # the cold ramp
                    offer(rid, m, now)
