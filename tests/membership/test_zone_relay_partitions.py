"""A zone whose proxy, or the core that it asks, is cut off or frozen (design 5.7): its daemons learn what is acknowledged all the same."""

import pytest

from silverglade.membership.zone_relay import relay_of_zone
from silverglade.runtime.effects import milliseconds
from silverglade.testbed.simulator.scenario import SEC, Scene
from silverglade.testbed.sites import TOWNS

from ..support.source_mutation import without
from .test_membership import rolls, until

ZONE = "far"
APPLIED = 5  # seconds in which a daemon in touch holds what was acknowledged


def version(node):
    return node.store["config"][0]


@pytest.fixture
def s(monkeypatch):
    """A hamlet with a zone more, of eight daemons and no core."""
    town = TOWNS["hamlet"]()
    town["config"]["zones"][ZONE] = dict(town["config"]["zones"]["south"])
    town["daemons"] += [(f"edge-{ZONE}-{i}", ZONE, "s", False) for i in range(8)]
    monkeypatch.setitem(TOWNS, "hamlet", lambda: town)
    scene = Scene(town="hamlet")
    scene.settle(9)
    assert rolls(scene) == {14}
    return scene


def zone_of(s):
    """-> the daemons of the zone, its proxy, the core that this asks."""
    mates = [n for n in s.w.nodes.values() if n.zone == ZONE]
    proxy = relay_of_zone(ZONE, mates[0].members)
    return mates, s.w.nodes[proxy], s.w.nodes[proxy].queried_core


def changed(s, at):
    """Put a configuration there -> its version, once acknowledged."""
    count = len(s.o.acked)
    s.put(at=at)
    assert until(s, lambda: len(s.o.acked) > count) < 4
    return s.o.acked[-1][-1]


def witness(s):
    """A core that is neither primary nor backup."""
    view = next(s.w.nodes[c].control.view for c in s.w.cores)
    return next(c for c in s.w.cores if c != view.primary and c not in view.backups)


def beside_a_cut_off_core(s, both):
    """The zone's proxy asks a core that is cut off from the other cores for 20 s -> what is acknowledged, held by its daemons, in turn."""
    mates, proxy, _ = zone_of(s)
    lone = witness(s)
    others = [c for c in s.w.cores if c != lone]
    s.w.cut([proxy.name], others)  # so that it asks the core that will be cut off
    s.w.run(6)
    assert proxy.queried_core == lone
    s.w.heal()
    s.w.cut(others, [lone], both=both)
    s.w.run(3)
    for _ in range(4):
        new = changed(s, others[0])
        s.w.run(APPLIED)
        yield new, {version(n) for n in mates}
    s.w.heal()
    s.w.run(3)


@pytest.mark.parametrize("both", [True, False])
def test_a_proxy_whose_core_is_cut_off_from_the_other_cores_leaves_it_and_its_zone_learns_of_changes(s, both):
    assert all(held == {new} for new, held in beside_a_cut_off_core(s, both)) and s.o.faults == []


AGED = (
    'is_aged = answer.proof_age_ms < 0 or answer.proof_age_ms > to_milliseconds(self._tuning["aged"])',
    "is_aged = False",
)
HEDGED = (
    "elif self.pending_request and now > self._give_up_at(self.pending_request):",
    "elif self.pending_request and now - self.pending_request.sent_at > self._longest_answer_time():",
)


def without_guards(s, monkeypatch, *guards):
    """The same town whose daemons ask for news without these guards; -> does its zone stay behind?"""
    without(monkeypatch, "silverglade.configuration.updater", *zip(*guards), "silverglade.runtime.daemon_components.Updater")
    for n in s.w.nodes.values():
        n.boot()
    s.w.run(9)
    return any(held != {new} for new, held in beside_a_cut_off_core(s, True))


def test_a_proxy_that_asks_on_whatever_the_age_of_the_proof_stays_behind(s, monkeypatch):
    assert without_guards(s, monkeypatch, AGED, HEDGED)


@pytest.mark.parametrize("guard", [AGED, HEDGED], ids=["aged", "hedged"])
def test_either_guard_keeps_a_zone_from_staying_behind(s, monkeypatch, guard):
    assert not without_guards(s, monkeypatch, guard)


def test_while_its_proxy_is_cut_off_a_zone_learns_of_changes_from_the_cores(s):
    mates, proxy, core = zone_of(s)
    rest = [n for n in mates if n is not proxy]
    s.w.cut([proxy.name], [n for n in s.w.nodes if n != proxy.name and s.w.nodes[n].zone != ZONE])  # its zone it still hears
    for _ in range(4):
        new = changed(s, core)
        s.w.run(APPLIED)
        assert {version(n) for n in rest} == {new}
    assert version(proxy) < new
    s.w.heal()
    assert until(s, lambda: version(proxy) == new) < APPLIED
    assert s.o.faults == []


def test_a_frozen_proxy_that_thaws_tells_nobody_an_older_version_and_no_proof_newer_than_its_own(s):
    mates, proxy, core = zone_of(s)
    rest = [n for n in mates if n is not proxy]
    proxy.freeze(True)
    s.w.run(2)
    new = changed(s, core)
    s.w.run(18)
    assert {version(n) for n in rest} == {new}
    newest = changed(s, core)
    proxy.freeze(False)
    held = {n.name: version(n) for n in rest}
    for _ in range(80):
        s.w.run(0.05)
        for n in rest:
            assert version(n) >= held[n.name]
            held[n.name] = version(n)
    assert {version(n) for n in mates} == {newest} and s.o.faults == []


def test_the_age_of_a_proof_never_shrinks_over_the_hops(s):
    """A daemon's proof is no newer than what its proxy holds, and that no newer than its core's (all clocks are one here)."""
    mates, proxy, core = zone_of(s)
    for _ in range(100):
        s.w.run(0.1)
        fresh = proxy.store_proved_at
        assert fresh <= s.w.nodes[core].control.proved_at + milliseconds(1)  # a core tells whole milliseconds, not rounded up
        assert all(n.store_proved_at <= fresh for n in mates)
    s.w.cut([core, *(n.name for n in mates)], [n for n in s.w.nodes if n != core and s.w.nodes[n].zone != ZONE])
    s.w.run(1)  # what was on its way has come
    was = max(n.store_proved_at for n in mates)
    s.w.run(20)  # nothing but the cut-off core to be asked: no proof can come
    assert max(n.store_proved_at for n in mates) <= was + 1 * SEC
