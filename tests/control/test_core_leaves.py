"""A core that leaves a fleet (design 5.4): the others learn of it through membership, and it may exit once it is replaced."""

import pytest

from silverglade.control import register as rg
from silverglade.testbed.simulator.scenario import Scene


def newest_view(scene):
    return max((n.control.view for n in scene.w.nodes.values() if n.core and n.hub is not None), key=rg.epoch)


@pytest.mark.parametrize("role", ["primary", "backup"])
@pytest.mark.parametrize("seed", range(2))
def test_a_leaving_member_is_replaced_and_may_exit_within_seconds(role, seed):
    scene = Scene(town="hamlet", seed=seed)
    scene.settle()
    previous = newest_view(scene)
    name = previous.primary if role == "primary" else previous.backups[0]
    node = scene.w.nodes[name]
    node.feed(("drain",))
    node.feed(("state", "leaving"))
    for _ in range(40):
        scene.w.run(0.1)
        if node.control.exit_allowed:
            break
    assert node.control.exit_allowed and name not in rg.members(newest_view(scene))
    node.kill()
    scene.w.run(3)
    assert newest_view(scene).epoch > previous.epoch and scene.o.faults == []


def test_a_member_that_exits_too_early_is_detected(monkeypatch):
    monkeypatch.setattr("silverglade.control.view_policy.may_exit", lambda **_: True)
    with pytest.raises(AssertionError):
        test_a_leaving_member_is_replaced_and_may_exit_within_seconds("primary", 0)
