"""Rules about keys of callers (design 17): each reports a planted breach, and is silent of the like done right."""

import pytest

from silverglade.configuration.schema import key_digest
from silverglade.testbed.fake_servers.request_format import SEC
from tests.support.planted_breaches import cfg, judged, kept

BREACHES = []
breach = kept(BREACHES)
TWO = {"ann": {"keys": [key_digest("a1"), key_digest("a2")]}, "bob": {"keys": [key_digest("b1")], "homes": ["b"]}}
ONE = {**TWO, "ann": {"keys": [key_digest("a1")]}}


def keyed(p, number=2, callers=TWO, base=0, ok=True):
    """A configuration with these callers, acknowledged; the first one puts all without callers out of the way."""
    if base == 0:
        p.r.configurations.changes.clear()
    p.put(cfg(number, ("/r/", "s"), callers=callers), base=base, ok=ok)


def ask(p, key="a1"):
    p.ask(key=key, claims="mallory")


@breach("UNASKED")
def told_of_what_the_client_claims(p, good):
    keyed(p)
    ask(p)
    p.run(tenant="ann" if good else "mallory")


@breach("UNASKED")
def told_of_anothers_tenant(p, good):
    keyed(p)
    ask(p)
    p.run(tenant="ann" if good else "bob")


@breach("UNASKED")
def told_of_no_tenant(p, good):
    keyed(p)
    ask(p)
    p.run(tenant="ann" if good else None)


@breach("UNASKED")
def shown_the_key(p, good):
    keyed(p)
    ask(p)
    p.run(tenant="ann", shown_key=None if good else "a1")


@breach("ROUTE")
def run_with_a_key_that_was_never_held(p, good):
    keyed(p)
    ask(p, "a1" if good else "strange")
    p.run(tenant="ann" if good else None)


@breach("ROUTE")
def run_without_a_key(p, good):
    keyed(p)
    ask(p, "a1" if good else None)
    p.run(tenant="ann" if good else None)


@breach("CONFIG")
def run_with_a_dropped_key_in_touch(p, good):
    keyed(p)
    keyed(p, 3, ONE, base=2)
    p.later(2 if good else 4)
    ask(p, "a2")
    p.run(tenant="ann")


@breach("CONFIG")
def a_key_that_was_added_is_refused_in_touch(p, good):
    keyed(p, callers=ONE)
    keyed(p, 3, TWO, base=2)
    p.later(2 if good else 4)
    ask(p, "a2")
    p.own(401)


@breach("CONFIG")
def a_key_that_all_hold_is_refused(p, good):
    keyed(p)
    ask(p, "strange" if good else "a1")
    p.own(401)


@breach("CONFIG")
def run_with_a_key_taken_away_by_a_daemon_out_of_touch(p, good):
    p.r.bounds = p.r.bounds._replace(revoke=5 * SEC)
    keyed(p)
    keyed(p, 3, ONE, base=2)
    p.later(4.9 if good else 5.1)
    ask(p, "a2")
    p.run(tenant="ann", touch=False)


@breach("HOME")
def run_outside_its_callers_homes(p, good):
    keyed(p)
    ask(p, "a1" if good else "b1")
    p.run(tenant="ann" if good else "bob")


@pytest.mark.parametrize("rule,plant", BREACHES, ids=[fn.__name__ for _, fn in BREACHES])
def test_a_planted_breach_of_keys_is_caught_and_the_like_done_right_passes(rule, plant):
    judged(rule, plant)


def test_a_key_that_was_taken_away_is_of_use_out_of_touch_where_revocation_is_not_closed():
    from tests.support.planted_breaches import Plant

    p = Plant()
    keyed(p)
    keyed(p, 3, ONE, base=2)
    p.later(60)
    ask(p, "a2")
    p.run(tenant="ann", touch=False)
    assert p.r.faults == []
