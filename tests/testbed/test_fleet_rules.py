"""Rules about configurations, replicas and the whole fleet: each reports a planted breach, not the like done right."""

import pytest

from silverglade.testbed.fake_servers.request_format import plain_answer
from tests.support.planted_breaches import SEC, cfg, judged, kept

BREACHES = []
breach = kept(BREACHES)


@breach("ROUTE")
def service_of_no_configuration(p, good):
    p.ask()
    p.run(service="s" if good else "other")


@breach("DRAIN")
def work_for_one_that_leaves(p, good):
    p.r.leaving(p.now, "r1")
    p.later(4.9 if good else 5.1)
    p.ask()
    p.arrive()


@breach("DRAIN")
def work_for_one_that_leaves_by_a_list_out_of_order(p, good):
    p.r.leaving(p.now, "r1")
    p.r.listing(p.now, False)
    p.later(2 if good else 0.5)
    p.r.listing(p.now, True)
    p.later(4 if good else 5.1)
    p.ask()
    p.arrive()


@breach("LOST")
def broken_off_in_calm_times(p, good):
    p.ask()
    p.run()
    p.end(whole=False, calm=not good)


@breach("LOST")
def broken_off_though_the_replica_did_not(p, good):
    p.ask()
    run = p.run()
    if good:
        p.r.cut_attempts.add("a")
    p.head(run)
    p.end(whole=False, calm=True)


@breach("LOST")
def closed_unanswered(p, good):
    p.ask()
    p.later(0.1 if good else 0.3)
    p.end(whole=False, calm=True)


@breach("CONFIG")
def handled_as_of_old(p, good):
    p.put(cfg(2, ("/r/", "t")), base=1, ok=True)
    p.later(2.9 if good else 3.1)
    p.ask()
    p.run()


@breach("CONFIG")
def route_missed(p, good):
    p.put(cfg(2, ("/r/", "s"), ("/q/", "s")), base=1, ok=True)
    p.later(2.9 if good else 3.1)
    p.ask(path="/q/x")
    p.own(404)


@breach("CONFIG")
def route_missed_by_one_in_touch(p, good):
    p.put(cfg(2, ("/r/", "s"), ("/q/", "s")), base=1, ok=True)
    p.later(9)
    p.ask(path="/q/x")
    p.r.head(p.now, "a", 404, None, touch=not good)


@breach("CONFIG")
def went_back(p, good):
    p.put(cfg(2, ("/r/", "t")), base=1, ok=None)
    p.ask()
    p.run(service="t")
    p.later(1)
    p.ask("b", life="d2" if good else "d1")
    p.run("b")


@breach("CONFIG")
def invalid_in_force(p, good):
    bad = p.r.put(p.now, cfg(2, ("/r/", "s"), ("/q/", "t")), base=1)
    p.r.told(p.now, bad, None if good else False)
    p.ask(path="/q/x")
    p.run(service="t")


@breach("CONFIG")
def lost_race_in_force(p, good):
    p.put(cfg(2, ("/r/", "t")), base=1, ok=True)
    p.put(cfg(3, ("/r/", "u")), base=2 if good else 1, ok=None)
    p.ask()
    p.run(service="u")


@breach("CONFIG")
def invalid_acknowledged(p, good):
    p.put({"number": 2}, base=1, ok=not good, valid=False)


@breach("CONFIG")
def both_of_a_race_acknowledged(p, good):
    p.put(cfg(2, ("/r/", "t")), base=1, ok=True)
    p.put(cfg(3, ("/r/", "u")), base=1, ok=not good)


@breach("CONFIG")
def acknowledged_one_forgotten(p, good):
    c = cfg(2, ("/r/", "t"))
    p.put(c, base=1, ok=True)
    p.r.read(p.now, 2 if good else 1, c if good else None)


@breach("CONFIG")
def read_back_changed(p, good):
    c = cfg(2, ("/r/", "t"))
    p.put(c, base=1, ok=True)
    p.r.read(p.now, 2, c if good else cfg(2, ("/r/", "s")))


@breach("CONFIG")
def refused_one_read_back(p, good):
    p.put(cfg(2, ("/r/", "t")), base=1, ok=None if good else False)
    p.r.read(p.now, 2)


@breach("BUDGET")
def too_many_further_tries(p, good):
    for i in range(20):
        p.ask(f"a{i}", again=True)
        p.later(0.1)
    for i in range(7 if good else 8):  # 0.2 of 20, and 3
        p.arrive(f"a{i}")
        p.arrive(f"a{i}", rep="r2")


@breach("BUDGET")
def too_many_further_tries_in_some_window(p, good):
    for i in range(20):
        p.ask(f"a{i}", again=True)
    p.later(40)
    for i in range(4):
        p.arrive(f"a{i}")
        p.arrive(f"a{i}", rep="r2")
        p.later(4 if good else 2)


@breach("FAILBACK")
def cold_one_flooded(p, good):
    for i in range(15):  # it bears 4 a second: 4 x 1.5 + 5
        p.ask(f"a{i}")
        p.arrive(f"a{i}", cold_per_s=4.0)
        p.later(0.095 if good else 0.05)


@breach("HOME")
def outside_its_homes(p, good):
    p.put(cfg(2, ("/r/", "s"), ("/q/", "s", ["a"])), base=1, ok=True)
    p.ask(path="/q/x")
    p.arrive(region="a" if good else "b", zone="b1")


@breach("HOME")
def homes_that_were_changed(p, good):
    p.put(cfg(2, ("/r/", "s", ["a"])), base=1, ok=True)
    p.later(2.9 if good else 3.1)
    p.ask()
    p.arrive(region="b", zone="b1")


@breach("TRIES")
def more_tries_than_the_route_has(p, good):
    p.ask(again=True)
    for i in range(3 if good else 4):
        p.arrive(rep=f"r{i}")


@breach("TRIES")
def more_tries_beside_another_lifes_word(p, good):
    p.ask(again=True)
    for i in range(9):
        p.ask(f"other-{i}")  # for the budget, which counts a 421 too
    p.arrive(rep="gone", status=421)
    for i in range(3 if good else 4):
        p.arrive(rep=f"r{i}")


@breach("DUE")
def more_time_than_the_client_has(p, good):
    p.ask()
    p.later(1)
    p.arrive(left=9.4 * SEC if good else 9.5 * SEC)


@breach("DUE")
def more_time_than_the_client_has_from_one_in_touch(p, good):
    p.ask()
    p.later(5)  # a daemon that was frozen cannot know how long the request lay there
    p.arrive(left=9 * SEC, touch=not good)


@breach("EVAC")
def work_in_an_emptied_zone(p, good):
    p.r.drained(p.now, "a1", True)
    p.later(4.9 if good else 5.1)
    p.ask()
    p.arrive()


@breach("EVAC")
def work_in_a_zone_before_it_is_taken_back(p, good):
    p.r.drained(p.now, "a1", True)
    p.later(6)
    if good:
        p.r.drained(p.now, "a1", False)
    p.later(1)
    p.ask()
    p.arrive()


@breach("RECOVER")
def not_served_again(p, good):
    for i in range(60):
        p.ask(f"a{i}", stream=False)
        if i < 20 or good and i % 3 == 0:
            run = p.run(f"a{i}")
            p.head(run, f"a{i}")
            p.r.data(f"a{i}", plain_answer(run, p.r.sent[f"a{i}"]))
            p.end(f"a{i}")
        p.later(1)
    p.r.recover(p.now, before=(60 * SEC, 80 * SEC), back=81 * SEC)


@breach("DENIED")
def proper_ones_denied(p, good):
    for i in range(6):
        p.ask(f"a{i}", path="/none/" if good else "/r/")
        p.own(404 if good else 403, f"a{i}")
    p.r.close(p.now)


@breach("SILENT")
def never_answered(p, good):
    p.ask()
    if good:
        p.own(503)
    p.r.forgotten(p.now, "a")


@pytest.mark.parametrize("rule,plant", BREACHES, ids=[fn.__name__ for _, fn in BREACHES])
def test_a_planted_breach_is_caught_and_the_like_done_right_passes(rule, plant):
    judged(rule, plant)
