"""Rules of the forwarding path that are fed by hand, for planted breaches."""

from datetime import timedelta

from silverglade.configuration import schema as config
from silverglade.testbed.checkers.forwarding_records import Bounds, Sent
from silverglade.testbed.checkers.forwarding_rules import Rules
from silverglade.testbed.fake_servers.request_format import event_count, seal

SEC = timedelta(seconds=1)


def cfg(number, *routes, **kw):
    """Routes as (prefix, service) or (prefix, service, homes)."""
    got, bad = config.parse_configuration(
        dict(
            number=number,
            zones={"a1": {"region": "a"}, "b1": {"region": "b"}},
            tenants={},
            services=dict.fromkeys({s for _, s, *_ in routes}, {}),
            routes=[
                dict(
                    name=p,
                    host="h",
                    prefix=p,
                    kind="streaming",
                    due_ms=4000,
                    homes=(r or [[]])[0],
                    tries=3,
                    shares=[dict(service=s, weight=1)],
                )
                for p, s, *r in routes
            ],
            **kw,
        )
    )
    assert not bad, bad
    return got


class Plant:
    """Rules that are fed by hand: a configuration is in force, a minute has passed."""

    def __init__(self):
        self.r, self.now, self.n = Rules(bounds=Bounds(slack=3)), 0 * SEC, 0
        self.put(cfg(1, ("/r/", "s")), base=0, ok=True)
        self.now = 60 * SEC

    def put(self, c, base, ok, **kw):
        p = self.r.put(self.now, c, base=base, **kw)
        self.r.told(self.now, p, ok)
        return p

    def ask(self, attempt="a", path="/r/x", **kw):
        self.r.asked(
            Sent(**dict(dict(attempt=attempt, at=self.now, life="d1", host="h", path=path, body=b"b", service="s", tokens=(10, 80)), **kw))
        )
        return attempt

    def arrive(self, attempt="a", rep="r1", **kw):
        self.r.arrived(self.now, attempt, **dict(dict(rep=rep, service="s", zone="a1", region="a", sent=self.now, touch=True), **kw))

    def run(self, attempt="a", rep="r1", service="s", **kw):
        self.n += 1
        run = f"{rep}.{self.n}"
        self.arrive(attempt, rep, service=service)
        self.r.ran(self.now, attempt, run=run, rep=rep, service=service, seal=seal(run, attempt), **dict(dict(stride=1), **kw))
        return run

    def head(self, run, attempt="a", status=200):
        self.r.head(self.now, attempt, status, seal(run, attempt))

    def stream(self, run, ns, attempt="a"):
        for n in ns:
            self.r.event(self.now, attempt, n, f"{run} {n}".encode())

    def all(self, attempt="a"):
        s = self.r.sent[attempt]
        return range(1, event_count(s.body, s.tokens[1], 1) + 1)

    def end(self, attempt="a", **kw):
        self.r.ended(self.now, attempt, **dict(dict(whole=True), **kw))

    def own(self, status, attempt="a"):
        self.r.head(self.now, attempt, status, None)
        self.end(attempt, own=True)

    def later(self, secs):
        self.now += timedelta(seconds=secs)


def kept(into):
    def breach(rule):
        """A function (plant, good): with good it does the like of the breach rightly."""

        def keep(fn):
            into.append((rule, fn))
            return fn

        return keep

    return breach


def judged(rule, plant):
    """Is a planted breach caught, as this rule alone, and the like done right passed over?"""
    p = Plant()
    plant(p, False)
    assert {f[1] for f in p.r.faults} == {rule}
    p = Plant()
    plant(p, True)
    assert p.r.faults == []
