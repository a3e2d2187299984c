"""The closing fault (issue 19): right after an acknowledgement a disk is lost, and at that moment all other machines lose power too."""

import pytest

from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.forwarding_scenario import Scene
from silverglade.testbed.simulator.scenario import SEC

PLATFORM = dict(trust=True, alone=86400.0, aged=1.8, hedge_after=2.1)


def closing(*, seed, wiped, town="banyan", down=0.7):
    """Changes and traffic, then the fault in the moment of an acknowledgement -> the scene, what was broken."""
    scene = Scene(town=town, seed=seed, opt=tuning(**PLATFORM))
    scene.settle()
    scene.traffic()
    scene.w.run(4)
    struck = []

    def strike(code):
        if code != 100 or struck:
            return
        struck.append(scene.w.now)
        scene.r.unrest = scene.f.unrest = scene.w.now + 30 * SEC
        for node in scene.w.nodes.values():
            scene.w.empty_disk(node.name) if node.name in wiped else node.kill()
        scene.w.after(down * SEC, back)

    def back():
        for node in scene.w.nodes.values():
            node.boot()

    before = (scene.w.now - 4 * SEC, scene.w.now)
    last = scene.put(then=strike)
    scene.w.run(6)
    assert struck and last.number in scene.taken
    scene.w.run(8)
    return scene, scene.finish(before)


CORES = ("core-taipei", "core-taichung", "core-kaohsiung")


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("wiped", [(), *((c,) for c in CORES)], ids=lambda w: w[0] if w else "none")
def test_what_was_acknowledged_survives_and_traffic_goes_on(seed, wiped):
    scene, broken = closing(seed=seed, wiped=wiped)
    assert broken == []


def test_two_lost_disks_are_more_than_three_cores_bear():
    plays = [closing(seed=seed, wiped=pair)[1] for seed in range(6) for pair in (CORES[:2], CORES[1:])]
    assert any("acknowledged one forgotten" in b for broken in plays for b in broken)
