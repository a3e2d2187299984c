"""A core that leaves in a whole fleet (design 5.4): the others learn it by the roll, and it is told when it may end."""

import pytest

from silverglade.control import register as rg
from silverglade.testbed.simulator.scenario import Scene


def view(scene):
    return max((n.control.view for n in scene.w.nodes.values() if n.core and n.hub is not None), key=rg.epoch)


@pytest.mark.parametrize("role", ["primary", "backup"])
@pytest.mark.parametrize("seed", range(2))
def test_a_member_is_released_within_seconds_and_nothing_rests_on_it(role, seed):
    scene = Scene(town="hamlet", seed=seed)
    scene.settle()
    was = view(scene)
    name = was.primary if role == "primary" else was.backups[0]
    node = scene.w.nodes[name]
    node.feed(("drain",))
    node.feed(("state", "leaving"))
    for _ in range(40):
        scene.w.run(0.1)
        if node.control.exit_allowed:
            break
    assert node.control.exit_allowed and name not in rg.members(view(scene))
    node.kill()
    scene.w.run(3)
    assert view(scene).epoch > was.epoch and scene.o.faults == []


def test_one_that_is_released_too_early_is_seen(monkeypatch):
    monkeypatch.setattr("silverglade.control.plan.may_exit", lambda **_: True)
    with pytest.raises(AssertionError):
        test_a_member_is_released_within_seconds_and_nothing_rests_on_it("primary", 0)
