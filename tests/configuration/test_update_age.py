"""News under the worst cuts (design 5.7): nobody in touch is told an older version, and how old a proof is told to be."""

import pytest

from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import Scene

CUT = 20


def version(node):
    return node.store.get("config", ((0, 0), None))[0]


def cut_off_core(trust, seed=1):
    """navrang with the core of one zone cut off for 20 s from all but its own zone, and a configuration put meanwhile."""
    s = Scene(town="navrang", seed=seed, opt=tuning(trust=trust))
    s.settle(6)
    alone = next(c for c in s.w.cores if s.w.nodes[c].control.view.primary != c)
    zone = s.w.nodes[alone].zone
    return s, alone, [n for n in s.w.nodes if s.w.nodes[n].zone == zone and n != alone]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("trust", [False, True])
def test_a_daemon_that_starts_beside_a_cut_off_core_never_holds_its_older_version(trust, seed):
    s, alone, beside = cut_off_core(trust, seed)
    old = version(s.w.nodes[alone])
    s.w.nodes[beside[0]].kill()
    s.w.cut([alone], [n for n in s.w.nodes if n != alone and n not in beside])
    s.w.run(5)
    s.put(at=next(n for n in s.w.nodes if n not in beside and n != alone))
    s.w.run(CUT - 5)
    new, node = s.o.acked[-1][-1], s.w.nodes[beside[0]]
    assert version(s.w.nodes[alone]) == old < new
    node.boot()
    seen = set()
    for _ in range(400):
        s.w.run(0.01)
        seen.add(version(node))
    assert seen == {(0, 0), new}
    assert s.o.faults == []


def test_news_that_takes_longer_than_an_ask_waits_is_taken_when_it_comes():
    s = Scene(town="hamlet")
    s.settle(6)
    deliver = s.w.deliver

    def slowly(sender, to, body):
        s.w.rate = 2500 if body[0] == "news" else 20e6  # bytes a second
        deliver(sender, to, body)

    s.w.deliver = slowly
    s.put(at="core-north", grow=300)  # with the duties of 300 tenants some 3 s on its way
    s.w.run(20)
    shown = max(n.control.committed_version for n in s.w.nodes.values() if n.core)
    assert s.o.acked[-1][-1] <= shown and {n.store_version for n in s.w.nodes.values()} == {shown}
    assert s.o.faults == []
