"""The failures that threaten what must never happen (docs/proof.md), one directed run each;
tests/system/test_safety_rules.py plays them."""

from datetime import timedelta

from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import Scene

SEC = timedelta(seconds=1)


def hamlet(seed=1, **kw):
    s = Scene(town="hamlet", seed=seed, **kw)
    s.settle()
    return s


def rules(s):
    return {b[1] for b in s.o.faults}


def burst(s, n, secs=1.0, **kw):
    for i in range(n):
        s.w.after(timedelta(seconds=secs * i / n), lambda: s.order(retry=False, **kw))


def holder(s, key):
    return s.w.nodes[s.live()[0]].store["duty/" + key][1]


# 1: runs twice
def owner_dies_after_the_grant():
    s = hamlet()
    own = holder(s, "shard/pair")[1]
    at = next(n for n in s.live() if n != own and not n.startswith("core") and "north" not in n)
    for i in range(4):
        s.order(tenant="pair", cls="chat", key=f"twice{i}", at=at, retry=False)
    s.w.run(0.25)
    s.w.nodes[own].kill()
    s.w.run(4)
    for i in range(4):
        s.order(tenant="pair", cls="chat", key=f"twice{i}", at=at, retry=False)
    s.w.run(8)
    return s


# 2: "not run" promised
def a_cut_off_daemon_is_asked_again():
    s = hamlet()
    s.order(tenant="pair", cls="chat", key="again", at="edge-middle-0", retry=False)
    s.w.run(1)
    s.w.cut(["edge-south-0"], [x for x in list(s.w.nodes) + list(s.w.replicas) if x != "edge-south-0"])
    s.w.run(6)
    s.order(tenant="pair", cls="chat", key="again", at="edge-south-0", attempt=2, retry=False)
    s.w.run(25)
    s.o.close(lambda c: c["body_cap"])
    return s


def a_visitor_moves_on_while_its_daemon_waits():
    s = hamlet()
    own = holder(s, "shard/pair")[1]
    at = next(n for n in s.live() if n != own and "core" not in n and "north" not in n)
    s.w.cut([at], [x for x in list(s.w.nodes) + list(s.w.replicas) if x != at])
    s.order(tenant="pair", cls="chat", key="moved", at=at, retry=False)
    s.w.run(1)
    s.order(tenant="pair", cls="chat", key="moved", at=own, retry=False)
    s.w.run(14)
    s.w.heal()
    s.w.run(20)
    s.o.close(lambda c: c["body_cap"])
    return s


def a_key_is_asked_twice_and_the_first_ask_is_held_up():
    s = hamlet()
    burst(s, 20, secs=4, tenant="pair", cls="lookup")
    s.w.run(6)  # a budget for the retry
    own, fol = holder(s, "shard/pair")[1:]
    led = holder(s, "ledger/model-middle-0")[1]
    assert own not in (led, fol)
    at = next(n for n in s.live(zone="south") if n not in (own, led))
    s.w.cut([own], [led], both=False)  # the first ask finds no slot for a while
    s.order(tenant="pair", cls="chat", key="held", at=at, retry=False)
    s.w.run(0.2)
    s.w.heal()
    s.order(tenant="pair", cls="chat", key="held", at="edge-middle-0", retry=False, attempt=2)
    s.w.run(1.1)
    s.w.cut([fol], [own], both=False)  # and does not hear that the key is claimed
    s.w.run(8)
    s.o.promises()
    return s


# 3, 4: bodies and streams
def a_replica_skips_a_piece():
    s = hamlet()
    for r in s.w.replicas.values():
        r.sabotage = "skip"
    burst(s, 4, tenant="pair", cls="lookup")
    s.w.run(6)
    return s


def a_replica_fails_at_the_end():
    s = hamlet()
    for r in s.w.replicas.values():
        r.sabotage = "fault"
    burst(s, 4, tenant="pair", cls="receipt")
    burst(s, 4, tenant="pair", cls="chat")
    s.w.run(6)
    return s


def a_run_breaks_off_after_its_first_piece():
    s = hamlet(opt=tuning(retry_share=1.0, retry_stop=1.0))
    burst(s, 4, secs=0.1, tenant="pair", cls="lookup")
    s.w.after(0.16 * SEC, s.w.replicas["model-middle-0"].kill)
    s.w.run(6)
    return s


# 5: outside the homes
def the_home_has_no_replica_left():
    s = hamlet()
    s.w.replicas["model-north-0"].kill()
    s.w.run(3)
    burst(s, 6, tenant="lone", cls="lookup")
    s.w.run(6)
    return s


# 6: leaving
def a_leaving_replica_stays_up():
    s = hamlet()
    s.traffic()
    s.leave("model-middle-0")
    s.w.run(12)
    return s


def a_replica_is_marked_where_it_is_not_known_yet():
    s = hamlet()
    r = s.w.replicas["model-middle-0"]
    r.kill()
    s.w.run(1)
    s.traffic()
    r.boot()  # one daemon knows its new life, another is told
    at = next(n for n in s.live() if r.inc != s.w.nodes[n].replica_records["model-middle-0"][1])
    s.o.left[("model-middle-0", r.inc)] = s.w.now
    s.w.call(at, "platform", ((("model-middle-0", r.inc, True),),))
    s.w.run(12)
    return s


# 7: emptied zones
def a_zone_is_emptied():
    s = hamlet()
    s.traffic()
    s.empty("middle")
    s.w.run(12)
    return s


def a_zone_is_emptied_while_cut_off():
    s = hamlet()
    s.traffic()
    mine = [n.name for n in s.w.nodes.values() if n.zone == "north"] + ["model-north-0"]
    s.w.cut(mine, [x for x in list(s.w.nodes) + list(s.w.replicas) if x not in mine])
    s.w.run(0.5)
    at = next(n for n in s.live() if n not in mine)
    s.rng.choice, was = (lambda xs: at if at in xs else was(xs)), s.rng.choice
    s.w.after(3 * SEC, s.empty, "north")  # by then the rest has a primary again
    s.w.run(3.1)
    s.rng.choice = was
    s.w.run(12)
    return s


# 8: in force, never back
def a_daemon_is_told_by_a_core_that_is_behind():
    s = hamlet()
    v = s.w.nodes["edge-north-0"].known_view
    behind = next(c for c in s.w.cores if c not in v[1:])
    s.w.cut([behind], [c for c in s.w.cores if c != behind])
    s.w.run(1)
    s.put(at=v[1])
    s.w.after(2 * SEC, s.w.cut, ["edge-north-0"], [c for c in s.w.cores if c != behind])
    s.w.run(8)
    return s


def a_daemon_restarts_beside_a_core_that_is_behind():
    s = hamlet()
    v = s.w.nodes["edge-north-0"].known_view
    behind = next(c for c in s.w.cores if c not in v[1:])
    s.w.cut([behind], [c for c in s.w.cores if c != behind])
    s.put(at=v[1])
    s.w.run(0.5)  # in force at the edge; the core does not know yet
    s.w.cut(["edge-north-0"], [c for c in s.w.cores if c != behind])
    s.w.nodes["edge-north-0"].kill()
    s.w.nodes["edge-north-0"].boot()
    s.w.run(8)
    s.w.heal()
    s.w.run(4)
    if s.w.nodes["edge-north-0"].store_version[1] < 2:
        s.o.bad("not-in-force", "edge-north-0")
    return s


# 9: acknowledged, refused
def power_is_lost_after_an_acknowledgement():
    s = hamlet()
    prim = s.w.nodes["edge-north-0"].known_view[1]
    s.w.cut([prim], [c for c in s.w.cores if c != prim])
    s.put(at="edge-north-0")
    s.w.run(1)
    s.w.empty_disk(prim)
    s.w.heal()
    s.w.run(4)
    s.w.nodes[prim].boot()
    s.w.run(8)
    s.o.close(lambda c: c["body_cap"])
    s.w.run(1)
    return s


def two_operators_race():
    s = hamlet()
    v = s.w.nodes["edge-north-0"].store["config"][0]
    n = len(s.o.acked)
    s.put(at="edge-north-0", base=v)
    s.put(at="edge-south-0", base=v)
    s.w.run(3)
    got = sorted(c for _, _, c, _ in s.o.acked[n:])
    if got != [100, 501]:
        s.o.bad("both-won", got)
    s.o.close(lambda c: c["body_cap"])
    s.w.run(1)
    return s


# 10: cold replicas
def a_replica_returns_cold_into_a_crowd():
    s = hamlet()
    s.w.replicas["model-middle-0"].kill()
    s.w.replicas["model-south-0"].kill()
    s.w.run(3)
    burst(s, 40, secs=3, tenant="pair", cls="chat")
    s.w.after(1 * SEC, s.w.replicas["model-middle-0"].boot)
    s.w.run(12)
    return s


# 11: retries
def every_replica_fails():
    s = hamlet()
    for r in s.w.replicas.values():
        r.sabotage = "fault"
    burst(s, 60, secs=10, tenant="pair", cls="receipt")
    s.w.run(16)
    return s


# 12: back in time
def the_primary_and_an_owner_are_lost():
    s = hamlet()
    s.traffic()
    own = holder(s, "shard/pair")[1]
    prim = s.w.nodes["edge-north-0"].known_view[1]
    s.w.nodes[prim].kill()
    if not own.startswith("core"):
        s.w.nodes[own].kill()
    s.w.nodes["edge-middle-0"].kill()
    s.w.run(12)
    s.open = False
    oids = [
        s.order(tenant=t, cls=c, retry=False, at=s.live(zone=z)[0])
        for t, d in s.t["config"]["tenants"].items()
        for z in d["homes"][:1]
        for c in d["classes"]
        if s.live(zone=z)
    ]
    s.w.run(6)
    for o in oids:
        if s.o.orders[o]["told"] != ("ok",):
            s.o.bad("not-back", s.o.orders[o]["tenant"], s.o.orders[o]["told"])
    return s
