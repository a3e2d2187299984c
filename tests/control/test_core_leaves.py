"""A core that leaves a fleet (design 5.4): the others learn of it through membership, and it may exit once it is replaced."""

import pytest

from silverglade.control import register as rg
from silverglade.control.state import may_form_first_view
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


def start_again(scene, names):
    """Stop and start these daemons in turn, with settings that name only the cores that run."""
    world = scene.w
    world.named = tuple(name for name in world.cores if world.nodes[name].hub is not None)
    world.seeds = tuple(world.nodes[name].addr for name in world.named)
    for name in names:
        world.nodes[name].kill()
        world.run(1)
        world.nodes[name].boot()
        world.run(4)


# Guards against: once a core is gone for good, a fleet whose daemons start again with the seeds that are left does not come back.
@pytest.mark.parametrize("seed", range(2))
def test_all_daemons_start_again_after_a_core_is_gone_for_good(seed):
    scene = Scene(town="hamlet", seed=seed)
    scene.settle()
    lost = newest_view(scene).primary
    scene.w.nodes[lost].kill()
    scene.w.run(8)
    start_again(scene, [name for name in scene.w.nodes if name != lost])
    left = [node for name, node in scene.w.nodes.items() if name != lost]
    edge = next(node for node in left if not node.core)
    scene.put(at=edge.name)
    scene.w.run(3)
    assert all(len(node.members) == len(left) for node in left)
    assert scene.o.acked[-1][-1] == edge.store["config"][0] and scene.o.faults == []


# Guards against: cores that start again with a shorter list of cores form a first view although the whole list already has one.
@pytest.mark.parametrize("cores, allowed", [(("a", "b", "c"), True), (("a", "b"), False), (("a",), False), ((), False)])
def test_a_first_view_is_formed_only_by_a_list_that_is_long_enough(cores, allowed):
    assert may_form_first_view(name="a", initial_cores=cores, first=False, formed_before=True) is allowed
