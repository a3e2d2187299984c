"""What it costs to hold a fleet together (docs/CAPACITY.md): hollow daemons in the simulator.

No orders and no replicas: what is sent here is sent for ever. Bytes are those of the frames.
"""

from collections import Counter

from ...transport import framing as wire
from ..simulator.scenario import Scene
from ..sites import CHAT, LOOKUP, TOWNS, tenant, town


def plain(daemons):
    """So many daemons over three regions, one core in each; above 60 each region has four zones."""
    per = 4 if daemons > 60 else 1
    zones = {f"z{r}{i}": f"r{r}" for i in range(per) for r in range(3)}
    t = town(
        zones=zones,
        edges=0,
        replicas={},
        accounts={},
        delay=15.0,
        mix=[],
        tenants={"one": tenant("one", ["z00"], dict(lookup=LOOKUP, chat=CHAT))},
    )
    zs = list(zones)
    t["daemons"] = [(f"core-{z}", z, zones[z], True) for z in zs[:3]]
    t["daemons"] += [(f"edge-{i}", zs[i % len(zs)], zones[zs[i % len(zs)]], False) for i in range(daemons - 3)]
    return t


class Count:
    """Bytes sent and parts woken, by daemon, while it is on."""

    def __init__(self, w):
        self.w, self.on, self.sent, self.far, self.kinds, self.woken = w, False, Counter(), Counter(), Counter(), Counter()
        was = w.deliver

        def deliver(frm, to, body):
            if self.on:
                n = len(wire.encode_frame(sender=frm.name, process_id=frm.life, body=body))
                at = w.by_addr.get(to[1:]) if to.startswith("@") else w.nodes.get(to)
                self.sent[frm.name] += n
                self.kinds[body[0]] += n
                if at is not None and at.region != frm.region:
                    self.far[frm.name] += n
            was(frm, to, body)

        w.deliver = deliver
        for n in w.nodes.values():
            n.feed = self.counted(n, n.feed)

    def counted(self, n, feed):
        def fed(ev):
            self.woken[n.name] += self.on
            feed(ev)

        return fed


def measure(*, daemons, secs=20, warm=12.0):
    """-> figures a second over a quiet while, after the fleet has come up and a configuration is in force."""
    TOWNS["plain"] = lambda: plain(daemons)
    try:
        s = Scene(town="plain")
    finally:
        del TOWNS["plain"]
    c = Count(s.w)
    s.settle(warm)
    c.on = True
    s.w.run(secs)
    names = list(s.w.nodes)
    rolls = {len(n.members) for n in s.w.nodes.values()}

    def per(count, of=names):
        return sum(count[i] for i in of) / len(of) / secs

    edges = [i for i in names if i.startswith("edge")]
    return dict(
        daemons=daemons,
        rolls=sorted(rolls),
        mean=per(c.sent),
        most=max(c.sent.values()) / secs,
        edges=sorted(c.sent[i] / secs for i in edges),
        edge=per(c.sent, edges),
        most_edge=max(c.sent[i] for i in edges) / secs,
        far=per(c.far),
        woken=per(c.woken),
        woken_edge=per(c.woken, edges),
        kinds={k: n / secs / daemons for k, n in c.kinds.most_common()},
    )


def main(daemons, secs):
    f = measure(daemons=daemons, secs=secs)
    print(f"{f['daemons']} daemons, all know of {'/'.join(map(str, f['rolls']))}, {secs} s without traffic")
    print(
        f"bytes a second sent by a daemon: mean {f['mean']:.0f}, most {f['most']:.0f};"
        f" not a core: mean {f['edge']:.0f}, most {f['most_edge']:.0f}"
    )
    print(f"of that across regions: {f['far']:.0f}")
    print(f"events a second: mean {f['woken']:.1f}, not a core {f['woken_edge']:.1f}")
    print("by kind: " + ", ".join(f"{k} {n:.0f}" for k, n in f["kinds"].items() if n >= 0.5))
    return 0 if f["rolls"] == [daemons] else 1
