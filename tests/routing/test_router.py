"""The part that decides over forwarded requests: what it may never do, caused event by event."""

import random
from datetime import timedelta

import pytest

from silverglade.configuration import schema as config
from silverglade.routing import replica_selection as choose
from silverglade.routing import route_table as routes
from silverglade.routing.router import forward
from silverglade.runtime.effects import start
from silverglade.runtime.settings import tuning

SEC = timedelta(seconds=1)
OPT = tuning()
ZONES = {"a1": {"region": "a"}, "b1": {"region": "b"}, "c1": {"region": "c"}}


def route(name="r", host="h", prefix="/r/", kind="streaming", **kw):
    return dict(dict(name=name, host=host, prefix=prefix, kind=kind, due_ms=4000, shares=[{"service": "s", "weight": 1}]), **kw)


def cfg(*rs, number=1, **services):
    raw = dict(number=number, zones=ZONES, tenants={}, routes=list(rs), services={"s": dict(conns=100, slots=8), **services})
    got, bad = config.parse_configuration(raw)
    assert not bad, bad
    return got


def rep(i, zone="a1", service="s", leaving=False, cold=0):
    return (i, f"10.0.0.{i}:80", zone, ZONES[zone]["region"], service, 8, leaving, cold, -1)


class Bench:
    def __init__(self, *rs, reps=(rep("1"), rep("2")), region="a", **services):
        self.p, self.now, self.n = start(forward(me="d1", region=region, opt=tuning())), timedelta(seconds=100), 0
        self.put(*rs, **services)
        self.feed("roll", tuple(("d%d" % i, "", 1, 1, "a1", "a", "", "", False, "ready", (), ()) for i in (1, 2, 3)))
        self.feed("listed", reps, True)
        self.go(30)  # past every time of settling

    def put(self, *rs, number=1, **services):
        self.book = {"config": ((1, number), cfg(*rs, number=number, **services))}
        self.feed("book", self.book, (1, number))

    def empty(self, zone, on=True):
        self.book = {**self.book, f"evac/{zone}": ((1, 99), on)}
        self.feed("book", self.book, (1, 99))

    def feed(self, *ev):
        return [e for e in self.p.send((self.now, ev)) if e[0] not in ("log", "post", "due", "limits", "forget", "renew")]

    def go(self, secs):
        self.now += timedelta(seconds=secs)
        return self.feed("pulse")

    def ask(self, path="/r/x", host="h", attempt=None, proved=0.0, **kw):
        """proved: seconds since the proof that what is held is the newest; None: there is none."""
        self.n += 1
        self.feed("fresh", None if proved is None else self.now - timedelta(seconds=proved))
        f = dict(
            host=host,
            path=path,
            method="POST",
            attempt=attempt or f"t{self.n}",
            deadline_ms=4000,
            prefix=(),
            tokens=None,
            model="",
            last_event=None,
            size=0,
        )
        return f"q{self.n}", self.feed("request", f"q{self.n}", dict(f, **kw))

    def tried(self, rid, n, what, *more):
        return self.feed("tried", rid, n, what, *more)


def one(effects, kind):
    assert [e[0] for e in effects] == [kind], effects
    return effects[0]


def test_longest_prefix_of_the_host_goes():
    t = routes.table(cfg(route("x", prefix="/a/"), route("y", prefix="/a/b/"), route("z", host="g", prefix="/")))
    for host, path, want in (
        ("h", "/a/b/c", "y"),
        ("h", "/a/c", "x"),
        ("h", "/a", None),
        ("h", "/b/", None),
        ("g", "/q", "z"),
        ("k", "/", None),
    ):
        got = routes.find_route(t, host, path)
        assert (got and got["name"]) == want


def test_routes_match_an_oracle():
    rng = random.Random(5)
    for _ in range(200):
        ps = {"/" + "".join(rng.choice("ab") + "/" for _ in range(rng.randrange(4))) for _ in range(6)}
        t = routes.table(cfg(*(route(p, prefix=p) for p in sorted(ps))))
        path = "/" + "".join(rng.choice("ab") + rng.choice(("/", "", "x")) for _ in range(4))
        want = max((p for p in ps if path.startswith(p)), key=len, default=None)
        got = routes.find_route(t, "h", path)
        assert (got and got["prefix"]) == want


def test_weights_are_kept_and_zero_gets_nothing():
    r = route(shares=[{"service": "s", "weight": 9}, {"service": "u", "weight": 1}, {"service": "z", "weight": 0}])
    n = [routes.service(r, f"k{i}") for i in range(4000)]
    assert 250 < n.count("u") < 550 and n.count("z") == 0


def test_no_configuration_or_list_is_answered_at_once_and_promises_nothing_ran():
    b = Bench(route())
    b.p = start(forward(me="d1", region="a", opt=tuning()))
    _, (status, *rest) = b.ask()[1][0], b.ask()[1][0][2:]
    assert status == 503 and rest[0] > 0


def test_unknown_route_is_404_only_from_one_who_is_sure_of_its_configuration():
    b = Bench(route())
    assert one(b.ask("/q/")[1], "answer")[2] == 404
    assert one(b.ask("/q/", proved=OPT["certain"] / SEC)[1], "answer")[2] == 404
    for proved in (OPT["certain"] / SEC + 0.01, 60, None):
        _, _, status, wait, code = one(b.ask("/q/", proved=proved)[1], "answer")
        assert (status, code) == (503, 812) and wait > 0
        one(b.ask(proved=proved)[1], "try")  # a route that is known is served on


@pytest.mark.parametrize("kind, resumable", [("effectful", False), ("streaming", False)])
@pytest.mark.parametrize("what", ["lost", "cut"])
def test_what_may_have_run_is_never_sent_again(kind, resumable, what):
    b = Bench(route(kind=kind, resumable=resumable, tries=3))
    rid, es = b.ask()
    one(es, "try")
    got = one(b.tried(rid, 1, what, None), "answer")
    assert got[2] == 502  # and no promise that it did not run
    assert b.tried(rid, 1, "unsent", "late word") == []


def test_a_silent_replica_is_never_given_up_for_what_may_not_repeat():
    b = Bench(route(kind="effectful", tries=3))
    b.ask()
    assert b.go(1) == b.go(1) == b.go(1) == []


def test_not_run_goes_elsewhere_while_tries_are_left_then_is_told():
    b = Bench(route(kind="effectful", tries=2), reps=(rep("1"), rep("2"), rep("3")))
    for _ in range(40):
        rid, es = b.ask()
        first = one(es, "try")[3]["replica"]
        es = b.tried(rid, 1, "not-run", 503, None)
        if es[0][0] == "answer":  # the budget of repeats, when it is used up
            assert es[0][2] == 503
            continue
        assert one(es, "try")[3]["replica"] != first
        got = one(b.tried(rid, 2, "not-run", 503, 0.7), "answer")
        assert got[2] == 503 and got[3] == 0.7


def test_unsent_costs_no_try_but_ends():
    b = Bench(route(kind="effectful", tries=1), reps=tuple(rep(str(i)) for i in range(1, 9)))
    rid, es = b.ask()
    n, seen = 1, set()
    while es[0][0] == "try":
        assert es[0][3]["replica"] not in seen
        seen.add(es[0][3]["replica"])
        es = b.tried(rid, n, "unsent", "refused")
        n += 1
    assert len(seen) == 4 and es[0][:3] == ("answer", rid, 503)


def test_a_pure_request_that_may_have_run_and_finds_no_other_is_no_promise():
    b = Bench(route(kind="pure", tries=2), reps=(rep("1"),))
    rid, _ = b.ask()
    assert one(b.tried(rid, 1, "lost", "reset"), "answer")[2] == 502


def test_a_resumable_stream_goes_on_behind_its_last_event():
    b = Bench(route(resumable=True, tries=2), reps=(rep("1"), rep("2")))
    rid, es = b.ask()
    first = one(es, "try")[3]
    assert first["resume"] is False and first["last_event"] is None
    b.tried(rid, 1, "began", 200)
    es = b.tried(rid, 1, "cut", "7")
    t = one(es, "try")
    assert t[3]["resume"] is True and t[3]["last_event"] == "7" and t[3]["replica"] != first["replica"]
    assert one(b.tried(rid, 2, "cut", "9"), "break")[1] == rid  # tries are used: broken, never ended as whole


def test_a_stream_whose_head_was_passed_on_is_broken_never_answered_twice():
    b = Bench(route(resumable=False, tries=3))
    rid, _ = b.ask()
    b.tried(rid, 1, "began", 200)
    assert one(b.tried(rid, 1, "cut", "3"), "break")[1] == rid


def test_homes_bind_also_when_the_home_is_gone():
    b = Bench(route(homes=["b"]), reps=(rep("1", "a1"), rep("2", "b1")))
    assert one(b.ask()[1], "try")[3]["replica"] == "2"
    b.feed("listed", (rep("1", "a1"),), True)
    assert one(b.ask()[1], "answer")[2] == 503


def test_leaving_gone_and_emptied_replicas_get_nothing():
    b = Bench(route(), reps=(rep("1"), rep("2", "b1")))
    b.feed("listed", (rep("1", leaving=True), rep("2", "b1")), True)
    b.feed("listed", (rep("1"), rep("2", "b1")))  # leaving is not taken back within a life
    assert {one(b.ask()[1], "try")[3]["replica"] for _ in range(9)} == {"2"}
    b.empty("b1")
    assert one(b.ask()[1], "answer")[2] == 503
    b.empty("b1", False)
    assert one(b.ask()[1], "try")[3]["replica"] == "2"
    b.feed("listed", (), True)
    assert one(b.ask()[1], "answer")[2] == 503


def test_another_life_at_the_address_is_not_tried_again():
    b = Bench(route(tries=2), reps=(rep("1"), rep("2", "b1")))
    rid, _ = b.ask()
    b.tried(rid, 1, "not-run", 421, None)
    assert {one(b.ask()[1], "try")[3]["replica"] for _ in range(9)} == {"2"}


def test_every_try_names_the_life_it_is_meant_for():
    b = Bench(route())
    assert one(b.ask()[1], "try")[3]["expect"] is True


def test_cold_replicas_get_their_share_alone():
    b = Bench(route(), reps=(rep("1", cold=60000),), s=dict(conns=100, slots=8, cold_ms=3000, cold_per_s=6))
    b.feed("pulse")
    got = [b.ask()[1][0] for _ in range(20)]
    assert [e[0] for e in got].count("try") == 2 and all(e[2] == 503 for e in got if e[0] == "answer")
    b.go(1.01)
    assert b.ask()[1][0][0] == "try"


def test_a_zone_taken_back_is_held_for_cold():
    b = Bench(route(), reps=(rep("1"),), s=dict(conns=100, slots=8, cold_ms=3000, cold_per_s=6))
    b.empty("a1")
    b.empty("a1", False)
    assert [b.ask()[1][0][0] for _ in range(20)].count("try") == 2


def test_repeats_are_held_to_their_share():
    b = Bench(route(kind="pure", tries=2), reps=(rep("1"), rep("2"), rep("3")))
    sent = asked = 0
    for _ in range(600):
        rid, es = b.ask()
        asked += 1
        sent += b.tried(rid, 1, "lost", "reset")[0][0] == "try"
        b.go(0.02)
    assert sent <= 0.2 * asked + 50 / 3


def test_a_late_deadline_is_answered_without_a_send():
    b = Bench(route())
    assert one(b.ask(deadline_ms=10)[1], "answer")[2] == 504


def test_the_same_parts_meet_at_the_same_replica_from_every_daemon():
    reps = tuple(rep(str(i)) for i in range(1, 7))
    at = set()
    for me in ("a", "b", "c"):
        b = Bench(route(by_prefix=True), reps=reps)
        rid, es = b.ask(prefix=(("p1", 900), ("p2", 300), (me, 100)))
        at.add(one(es, "try")[3]["replica"])
        b.tried(rid, 1, "done")
    assert len(at) == 1


def test_a_hot_part_overflows_to_the_next():
    b = Bench(route(by_prefix=True), reps=tuple(rep(str(i)) for i in range(1, 4)))
    at = [one(b.ask(prefix=(("p1", 900), (str(i), 100)), tokens=(1000, 300))[1], "try")[3]["replica"] for i in range(12)]
    assert len(set(at)) > 1 and at[0] == at[1]


def test_a_full_home_spills_and_an_idle_one_does_not():
    b = Bench(route(), reps=(rep("1"), rep("2", "b1")))
    at = [one(b.ask()[1], "try")[3]["replica"] for _ in range(8)]
    assert at[0] == "1" and "2" in at


def test_the_shared_parts_are_all_but_the_last():
    assert choose.shared((("a", 1), ("b", 2), ("c", 3))) == "a,b" and choose.shared((("a", 1),)) == ""


def test_what_may_repeat_leaves_a_silent_replica_and_what_may_not_stays():
    b = Bench(route(resumable=True, tries=2, gap_ms=600), reps=(rep("1"), rep("2")))
    rid, es = b.ask()
    first = one(es, "try")[3]
    assert first["patience"] > timedelta(0) and first["pause"] == timedelta(milliseconds=360)
    b.tried(rid, 1, "began", 200)
    t = one(b.tried(rid, 1, "silent", "4"), "try")
    assert t[2] == 2 and t[3]["resume"] and t[3]["last_event"] == "4" and t[3]["replica"] != first["replica"]
    assert b.tried(rid, 1, "cut", "5") == []  # the old try's last word changes nothing
    assert b.tried(rid, 2, "silent", "6") == []  # tries are used: it is waited for
    assert b.tried(rid, 2, "done") == []
    b = Bench(route(kind="effectful", tries=3))
    rid, es = b.ask()
    silent = one(es, "try")[3]["replica"]
    assert b.tried(rid, 1, "silent", None) == []
    assert silent not in {one(b.ask()[1], "try")[3]["replica"] for _ in range(4)}  # others go first
    b.go(20)
    assert [one(b.ask()[1], "try")[3]["replica"] for _ in range(9)].count(silent) == 0  # it still holds one that is silent
    b.tried(rid, 1, "gone")
    assert [one(b.ask()[1], "try")[3]["replica"] for _ in range(9)].count(silent) == 1  # one at a time tries it again


def test_what_its_prober_does_not_hear_is_passed_over_until_it_does():
    b = Bench(route(), reps=(rep("1"), rep("2", "b1")))
    b.feed("loads", {"1": (-1, -1, 8)})
    assert {one(b.ask()[1], "try")[3]["replica"] for _ in range(4)} == {"2"}
    b.feed("loads", {"1": (0, 0, 8)})
    assert one(b.ask()[1], "try")[3]["replica"] == "1"
    b.feed("loads", {"1": (-1, -1, 8), "2": (-1, -1, 8)})
    assert one(b.ask()[1], "try")  # nobody is heard: then whoever there is


def test_a_silent_replica_alone_is_waited_for():
    b = Bench(route(kind="pure", tries=2), reps=(rep("1"),))
    rid, _ = b.ask()
    assert b.tried(rid, 1, "silent", None) == [] and b.tried(rid, 1, "done") == []


def test_another_life_at_an_address_costs_no_try():
    b = Bench(route(kind="effectful", tries=1), reps=(rep("1"), rep("2")))
    b.go(10)
    rid, es = b.ask()
    first = one(es, "try")[3]["replica"]
    es = [e for e in b.tried(rid, 1, "not-run", 421, None) if e[0] != "forget"]
    assert one(es, "try")[3]["replica"] != first


def test_what_goes_on_after_another_lifes_word_is_paid_for_like_any_arrival_beyond_the_first(monkeypatch):
    from silverglade.routing import router as part

    monkeypatch.setattr(part.Budget, "spend", lambda *a, **kw: False)  # nothing is left
    b = Bench(route(kind="effectful", tries=2), reps=(rep("1"), rep("2")))
    rid, es = b.ask()
    one(es, "try")
    assert one(b.tried(rid, 1, "not-run", 421, None), "answer")[2] == 503


def test_the_retry_budget_pays_for_each_arrival_beyond_the_first_and_for_nothing_unsent(monkeypatch):
    from silverglade.routing import router as part

    spent = []
    monkeypatch.setattr(part.Budget, "spend", lambda self, now, service, *, daemons: spent.append(service) or True)
    b = Bench(route(kind="effectful", tries=3), reps=tuple(rep(str(i)) for i in range(1, 9)))
    rid, _ = b.ask()
    words = [("unsent", "refused"), ("not-run", 421, None), ("unsent", "refused"), ("not-run", 503, None)]
    paid = []
    for n, word in enumerate(words, 1):
        b.tried(rid, n, *word)
        paid.append(len(spent))
    assert paid == [0, 1, 2, 3]  # a send that replaces an unsent one is paid for again: the first charge is not given back
    b.tried(rid, 5, "done")


def test_a_421_to_a_request_that_names_a_version_says_nothing_of_the_replicas_life():
    b = Bench(route(kind="effectful", tries=1), reps=(rep("1"), rep("2")))
    rid, es = b.ask(version="3")
    first = one(es, "try")[3]["replica"]
    assert one(b.tried(rid, 1, "not-run", 421, None), "try")[3]["replica"] != first
    b.go(1)
    assert {one(b.ask()[1], "try")[3]["replica"] for _ in range(12)} == {"1", "2"}  # both are still there
