"""Operators' changes (design 5.3, 5.4): the order of effects agrees with the acknowledgements, whatever call or message is delayed."""

import pytest

from silverglade.runtime.effects import milliseconds
from silverglade.testbed.simulator.scenario import SEC

from ..support.failure_scenarios import hamlet

ZONE = "south"


def call(s, daemon, on, name=""):
    """Send an operator's evacuation call -> the list of result codes in its answers, filled as they arrive."""
    got = []
    s.w.call(daemon, "evac", (ZONE, on, name or f"{daemon}.{on}.{s.w.num}"), lambda code, _: got.append(code))
    return got


def evacuated_by_daemon(s):
    """Whether the zone is evacuated, as each daemon holds it."""
    return {n.name: n.store.get(f"evac/{ZONE}", ((0, 0), False))[1] for n in s.w.nodes.values()}


def delay(s, daemon, wait):
    """Delay all that the daemon sends to the primary from now on by `wait`; nothing is lost."""
    primary = s.w.nodes[daemon].known_view[1]
    s.w.links[(s.w.nodes[daemon].life, primary, "first")] = s.w.now + wait


def states_after_opposite_changes(s, slow, first, second, on):
    """Retry at `first` the change `on` that `slow` holds already, then have its opposite acknowledged -> state at each daemon."""
    s.w.run(1)  # the caller waits a second without an answer
    again = call(s, first, on)
    s.w.run(0.5)
    opposite = call(s, second, not on)
    s.w.run(0.5)
    assert again == [100] and opposite == [100]
    s.w.run(6)
    return evacuated_by_daemon(s)


def slow_and_other_daemons(s):
    """A core that is not the primary, and two edges."""
    primary = s.w.nodes["edge-north-0"].known_view[1]
    slow = next(n for n in s.w.nodes if n.startswith("core") and n != primary)
    return slow, "edge-north-0", "edge-middle-0"


@pytest.mark.parametrize("on", [True, False])
@pytest.mark.parametrize("wait", [1.55, 2.1, 3.0])
def test_a_call_with_a_late_first_message_undoes_no_later_acknowledged_change(on, wait):
    s = hamlet()
    slow, *others = slow_and_other_daemons(s)
    delay(s, slow, wait * SEC)
    late = call(s, slow, on)
    assert set(states_after_opposite_changes(s, slow, *others, on).values()) == {not on} and late != [100]


@pytest.mark.parametrize("on", [True, False])
@pytest.mark.parametrize("wait", [1.55, 2.1, 3.0, 20.0])
def test_a_change_delayed_on_the_network_undoes_no_later_acknowledged_change(on, wait):
    s = hamlet()
    slow, *others = slow_and_other_daemons(s)
    late = call(s, slow, on)
    delay(s, slow, wait * SEC)  # the first message has passed, later ones are delayed
    assert set(states_after_opposite_changes(s, slow, *others, on).values()) == {not on}
    assert late != [100] or wait < 1.6  # it was applied before the opposite, and changed nothing
    s.w.run(wait)
    assert set(evacuated_by_daemon(s).values()) == {not on}


@pytest.mark.parametrize("on", [True, False])
@pytest.mark.parametrize("paused_after_s", [0.0, 0.005, 0.02, 0.03])
def test_a_daemon_paused_during_a_call_undoes_no_later_acknowledged_change(on, paused_after_s):
    s = hamlet()
    slow, *others = slow_and_other_daemons(s)
    call(s, slow, on)
    s.w.run(paused_after_s)
    s.w.nodes[slow].freeze(True)
    s.w.after(2.3 * SEC, s.w.nodes[slow].freeze, False)
    assert set(states_after_opposite_changes(s, slow, *others, on).values()) == {not on}


def test_a_call_retried_after_it_was_applied_is_acknowledged():
    s = hamlet()
    slow, first, second = slow_and_other_daemons(s)
    applied = call(s, slow, True)
    s.w.run(0.3)
    again = call(s, first, True), call(s, second, True)
    s.w.run(0.3)
    assert [applied, *again] == [[100]] * 3 and set(evacuated_by_daemon(s).values()) == {True}


def test_eight_concurrent_calls_for_one_zone_are_all_answered_and_converge():
    s = hamlet()
    names = sorted(s.w.nodes)
    got = [call(s, names[i % len(names)], bool(i % 2)) for i in range(8)]
    s.w.run(5)
    assert all(len(g) == 1 for g in got) and [100] in got
    assert len(set(evacuated_by_daemon(s).values())) == 1
    last = call(s, names[0], True)
    s.w.run(milliseconds(300) / SEC)
    assert last == [100]
