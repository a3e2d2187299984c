"""Seeded runs in which all daemons of a site are stopped, one every 0.25 s (design 15.9): incident stream-cut-at-the-end-of-grace.

Clients use any daemon whose process is alive, regardless of the directory, with deadlines of 1 to 15 s; a daemon may be slow.
"""

from datetime import timedelta

import pytest

from silverglade.testbed.faults.forwarding_faults import ForwardFaults
from silverglade.testbed.simulator.forwarding_path import Field
from silverglade.testbed.simulator.forwarding_scenario import Scene

from ..support.source_mutation import without

SECOND = timedelta(seconds=1)
DEADLINES_S = (None, 1, 3, 5, 7, 10, 15)
GAP_S = 0.25
SLOW_TURN = timedelta(milliseconds=120)
SHUTDOWN_MODULE = "silverglade.routing.graceful_shutdown"


@pytest.fixture(autouse=True)
def clients_use_a_daemon_until_its_process_ends(monkeypatch):
    def fronts(self, zone, *, held=False):
        return [node for node in self.w.nodes.values() if not node.core and node.hub is not None]

    monkeypatch.setattr(Field, "fronts", fronts)


class MixedDeadlineScene(Scene):
    def order(self, row, z, path=None, deadline=None):
        seconds = self.rng.choice(DEADLINES_S)
        super().order(row, z, path, seconds and seconds * SECOND)


def slow_down(scene, node, until):
    """Let the node's process run only half of the time until then."""
    life = node.life

    def turn():
        if node.life != life or node.hub is None:
            return
        node.freeze(node.frozen is None and scene.w.now < until)
        if node.frozen is not None or scene.w.now < until:
            scene.w.after(SLOW_TURN / 2, turn)

    turn()


def stop_all(seed, *, rate=2.0):
    """Stop all edge daemons one after the other; return the scene and the rules broken."""
    scene = MixedDeadlineScene(town="banyan", seed=seed)
    scene.settle()
    scene.rate, scene.long = rate, (0.25, 0.5, 1.0)[seed % 3]
    scene.traffic()
    faults = ForwardFaults(scene, most=99)
    scene.w.run(3)
    edges = [node for node in scene.w.nodes.values() if not node.core]
    for i, node in enumerate(edges):
        faults.later(GAP_S * i, faults.term, node.name)
    if seed % 2:
        slow = edges[seed % len(edges)]
        faults.later(GAP_S * edges.index(slow) + 0.01, lambda: slow_down(scene, slow, scene.w.now + 8 * SECOND))
    scene.w.run(GAP_S * len(edges) + 8)
    scene.open = False
    scene.w.run(1)
    return scene, scene.r.faults


def lost(seeds):
    return [(seed, breach) for seed in seeds for breach in stop_all(seed)[1] if breach[1] in ("LOST", "REFUSED")]


def test_no_stream_is_accepted_late_and_cut_while_all_daemons_stop_in_sequence():
    """Guards against a stream that is forwarded seconds after SIGTERM and cut at the end of the grace period (rule LOST)."""
    scene, broken = stop_all(1)
    assert len(scene.r.stopped) == 6 and scene.why.get(503, 0) > 20
    assert [breach for breach in broken if breach[1] in ("LOST", "REFUSED")] == []
    assert lost([2]) == []


@pytest.mark.parametrize(
    "old, new",
    [
        ("if self.answer_at is None or deadline <= self.answer_at:", "if True:"),
        (
            ("if is_stream and self.streams_until is not None and now > self.streams_until:", "return now + expected * (1"),
            ("if False:", "return now + ZERO * (1"),
        ),
        (
            "if self.answer_at is None or deadline <= self.answer_at:",
            "if self.answer_at is None or deadline <= self.end_at + 3 * WINDOW / 10:",
        ),
    ],
    ids=["all is taken", "streams late, whatever is expected", "deadline beyond the end"],
)
def test_without_a_guard_streams_are_accepted_late_and_cut(monkeypatch, old, new):
    """Checks that the runs above reproduce the incident once a guard is removed."""
    without(monkeypatch, SHUTDOWN_MODULE, old, new, f"{SHUTDOWN_MODULE}.GracefulShutdown", "silverglade.routing.context.GracefulShutdown")
    assert any(lost([seed]) for seed in range(4))
