"""Propagation of the newest configuration after a partition heals (design 3.1, 5.7); guards against incident behind-after-a-cut."""

import pytest

from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import SEC, Scene
from silverglade.transport import connections as links

from ..membership.test_membership import until

APPLIED_WITHIN_S = 3.0  # seconds within which a change is in force at every reachable daemon
REACHABLE_AFTER_S = 4.0  # seconds after a partition heals until a daemon counts as reachable
PLATFORM = dict(trust=True, alone=86400.0, aged=0.6 * APPLIED_WITHIN_S, hedge_after=0.7 * APPLIED_WITHIN_S)


def versions(s, names):
    return {s.w.nodes[n].store.get("config", ((0, 0), None))[0] for n in names}


def catch_up_time(seed, length, *, town="banyan"):
    """Partition a region for `length` seconds during changes -> seconds from the heal until its daemons hold the newest version."""
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
    assert length < 3 or max(versions(s, inside)) < new  # a shorter partition heals before control has moved on without the region
    elapsed = until(s, lambda: min(versions(s, inside)) >= new, 20)
    assert s.o.faults == []
    return elapsed


PARTITION_LENGTHS_S = (1, 2.5, 3.1, 5, 6.3, 6.6, 9, 12.7)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("length", PARTITION_LENGTHS_S)
def test_a_partitioned_region_holds_the_newest_version_before_it_counts_as_reachable(seed, length):
    assert catch_up_time(seed, length) < REACHABLE_AFTER_S - 1


def test_without_a_timeout_for_unacknowledged_data_a_region_stays_outdated(monkeypatch):
    monkeypatch.setattr(links, "UNACKNOWLEDGED_TIMEOUT_MS", 10**6)
    assert max(catch_up_time(1, length) for length in PARTITION_LENGTHS_S) > REACHABLE_AFTER_S


@pytest.mark.parametrize("seed", range(20))
def test_a_change_arrives_in_time_although_one_core_is_partitioned(seed):
    """The time budget of design 5.7: the proof becomes too old, another core is queried, and it answers."""
    s = Scene(town="banyan", seed=seed, opt=tuning(**PLATFORM))
    s.settle(6 + seed / 10)
    isolated = sorted(s.w.cores)[seed % 3]
    rest = [c for c in s.w.cores if c != isolated]
    s.w.cut([isolated], rest)
    s.put(at=rest[0])
    acked_before = len(s.o.acked)
    assert until(s, lambda: len(s.o.acked) > acked_before, 20) < 20
    acked, new = s.w.now, s.o.acked[-1][-1]
    edges = [n.name for n in s.w.nodes.values() if not n.core]
    until(s, lambda: min(versions(s, edges)) >= new)
    assert s.w.now - acked < 0.8 * APPLIED_WITHIN_S * SEC and s.o.faults == []
