"""Updates during partitions and over slow links (design 5.7): no daemon applies an older version, and late answers are accepted."""

import pytest

from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import Scene

PARTITION_S = 20


def version(node):
    return node.store.get("config", ((0, 0), None))[0]


def zone_of_a_backup_core(trust, seed=1):
    """The site navrang -> the scene, a core that is not primary, and the other daemons of the zone of that core."""
    s = Scene(town="navrang", seed=seed, opt=tuning(trust=trust))
    s.settle(6)
    isolated = next(c for c in s.w.cores if s.w.nodes[c].control.view.primary != c)
    zone = s.w.nodes[isolated].zone
    return s, isolated, [n for n in s.w.nodes if s.w.nodes[n].zone == zone and n != isolated]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("trust", [False, True])
def test_a_daemon_that_starts_beside_a_partitioned_core_never_applies_its_older_version(trust, seed):
    s, isolated, neighbours = zone_of_a_backup_core(trust, seed)
    old = version(s.w.nodes[isolated])
    s.w.nodes[neighbours[0]].kill()
    s.w.cut([isolated], [n for n in s.w.nodes if n != isolated and n not in neighbours])
    s.w.run(5)
    s.put(at=next(n for n in s.w.nodes if n not in neighbours and n != isolated))
    s.w.run(PARTITION_S - 5)
    newest, node = s.o.acked[-1][-1], s.w.nodes[neighbours[0]]
    assert version(s.w.nodes[isolated]) == old < newest
    node.boot()
    seen = set()
    for _ in range(400):
        s.w.run(0.01)
        seen.add(version(node))
    assert seen == {(0, 0), newest}
    assert s.o.faults == []


def test_an_update_that_takes_longer_than_the_request_timeout_is_applied_on_arrival():
    s = Scene(town="hamlet")
    s.settle(6)
    deliver = s.w.deliver

    def deliver_slowly(sender, to, body):
        s.w.rate = 2500 if body[0] == "news" else 20e6  # bytes a second
        deliver(sender, to, body)

    s.w.deliver = deliver_slowly
    s.put(at="core-north", grow=300)  # with the roles of 300 tenants the answer takes about 3 s to arrive
    s.w.run(20)
    shown = max(n.control.committed_version for n in s.w.nodes.values() if n.core)
    assert s.o.acked[-1][-1] <= shown and {n.store_version for n in s.w.nodes.values()} == {shown}
    assert s.o.faults == []
