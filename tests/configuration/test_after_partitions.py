"""After a cut is healed (design 3.1, 5.7): how soon everybody in touch knows the newest configuration; incident behind-after-a-cut."""

import pytest

from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import SEC, Scene
from silverglade.transport import connections as links

from ..membership.test_membership import until

APPLIED = 3.0  # seconds within which a change is in force at every daemon in touch
CONTACT = 4.0  # seconds after a cut until a daemon counts as in touch
PLATFORM = dict(trust=True, alone=86400.0, aged=0.6 * APPLIED, hedge_after=0.7 * APPLIED)


def versions(s, names):
    return {s.w.nodes[n].store.get("config", ((0, 0), None))[0] for n in names}


def behind_after(seed, length, *, town="banyan"):
    """A region is cut off for so long while changes go on -> seconds after the heal until its daemons hold the newest."""
    s = Scene(town=town, seed=seed, opt=tuning(**PLATFORM))
    s.settle(6)
    zone = sorted(s.w.region)[seed % len(s.w.region)]
    inside = [n.name for n in s.w.nodes.values() if n.zone == zone]
    outside = [n for n in s.w.nodes if n not in inside]
    s.w.cut(inside, outside)
    for _ in range(int(length)):
        s.w.run(1.0)
        s.put(at=outside[-1])
    s.w.run(length % 1 + 0.3)
    s.w.heal()
    new = max(versions(s, outside))
    assert length < 3 or max(versions(s, inside)) < new  # shorter ones end before control can do without the region
    took = until(s, lambda: min(versions(s, inside)) >= new, 20)
    assert s.o.faults == []
    return took


LENGTHS = (1, 2.5, 3.1, 5, 6.3, 6.6, 9, 12.7)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("length", LENGTHS)
def test_a_region_that_was_cut_off_knows_the_newest_before_it_counts_as_in_touch(seed, length):
    assert behind_after(seed, length) < CONTACT - 1


def test_without_a_bound_on_what_nobody_takes_a_region_stays_behind(monkeypatch):
    monkeypatch.setattr(links, "UNACKNOWLEDGED_TIMEOUT_MS", 10**6)
    assert max(behind_after(1, length) for length in LENGTHS) > CONTACT


@pytest.mark.parametrize("seed", range(20))
def test_beside_a_core_that_is_cut_off_a_change_comes_in_time(seed):
    """The sum in docs/design.md 5.7: the proof grows old, another core is asked, it answers."""
    s = Scene(town="banyan", seed=seed, opt=tuning(**PLATFORM))
    s.settle(6 + seed / 10)
    alone = sorted(s.w.cores)[seed % 3]
    rest = [c for c in s.w.cores if c != alone]
    s.w.cut([alone], rest)
    s.put(at=rest[0])
    had = len(s.o.acked)
    assert until(s, lambda: len(s.o.acked) > had, 20) < 20
    acked, new = s.w.now, s.o.acked[-1][-1]
    edges = [n.name for n in s.w.nodes.values() if not n.core]
    until(s, lambda: min(versions(s, edges)) >= new)
    assert s.w.now - acked < 0.8 * APPLIED * SEC and s.o.faults == []
