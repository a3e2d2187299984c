"""What may happen in a state, and what happens in it ordinarily.

The ordinary schedule delivers messages in turn, syncs disks in turn, and lets time pass when nothing else is left.
Everything else is a deviation. Bounding the number of deviations from a fixed schedule, instead of the number of steps,
reaches deep states by few choices (delay-bounded scheduling).
"""

from . import actions as act
from .records import ATTEMPTS, BUDGETS

LONGEST = 400


def ordinary(world, state):
    """The action that the ordinary schedule takes: never None."""
    for i in state.flight:
        m = world.message[i]
        node = world.node[state.nodes[world.names.index(m.to)]]
        if i not in state.late and node.frozen < 0:
            return act.Deliver(*m)
    for name, number in zip(world.names, state.nodes):
        node = world.node[number]
        if node.queue and name not in state.late and node.frozen < 0:
            return act.Sync(name)
    return act.Tick(1)


def quiet(world, state):
    """Is nothing under way?"""
    return type(ordinary(world, state)) is act.Tick


def run(world, state, *, until=None, ticks=None):
    """The ordinary schedule, until a condition holds, or for so many ticks."""
    begun = state.tick
    for _ in range(LONGEST):
        if until and until(state) or ticks is not None and state.tick >= begun + ticks and quiet(world, state):
            return state
        state, breach = world.apply(state, ordinary(world, state))
        assert breach is None, breach
    raise AssertionError("the ordinary schedule does not come to what was to be prepared")


def left(state, limits):
    """What of each budget is left, by name."""
    return dict(zip(BUDGETS, (m - n for m, n in zip(limits, state.spent))))


def reached(world, state, name):
    """Did the last action reach this core, or is all at rest? Between two events at a core it is the same when it fails."""
    return state.touched >> world.names.index(name) & 1 or quiet(world, state)


def troubles(world, state, limits):
    """Crashes, losses, cuts and freezes that the budgets allow."""
    rest, resting = left(state, limits), quiet(world, state)
    for name, number in zip(world.names, state.nodes):
        node = world.node[number]
        if node.state >= 0 and resting and rest["cuts"] > 0 and not any(name in pair for pair in state.cuts):
            yield from (act.Cut(name, "", way) for way in ("both", "in", "out"))
            yield from (act.Cut(name, n) for n in world.names if n > name)
        if not reached(world, state, name) or world.s.failing and name not in world.s.failing:
            continue
        if node.state >= 0 and rest["crashes"] > 0:
            for kept in sorted({0, 1, len(node.queue)}):
                if kept <= len(node.queue):
                    yield act.Crash(name, kept)
        if rest["losses"] > 0:
            yield act.Wipe(name)
        if node.state >= 0 and node.frozen < 0 and rest["freezes"] > 0:
            yield act.Freeze(name)


def ends(world, state):
    """What ends a trouble: free of cost."""
    for name, number in zip(world.names, state.nodes):
        node = world.node[number]
        if node.state < 0:
            if world.s.restarts:
                yield act.Start(name)
        elif node.frozen >= 0:
            yield act.Thaw(name)
        if state.cuts and all(name in pair for pair in state.cuts):
            yield act.Heal(name)


def calls(world, state, limits):
    """Calls to whoever takes itself for primary. A change is first sent after those before it in the scenario."""
    if left(state, limits)["calls"] <= 0:
        return
    history = world.history[state.history]
    sent = {attempt // ATTEMPTS for attempt, _ in history.floors}
    views = {epoch: primary for epoch, primary, *_ in history.views}
    for name, number in zip(world.names, state.nodes):
        node = world.node[number]
        if node.state < 0 or node.frozen >= 0 or views.get(node.epoch) != name or not reached(world, state, name):
            continue
        for i, call in enumerate(world.s.calls):
            before = (j for j, c in enumerate(world.s.calls[:i]) if c.change)
            if i and (not call.change or all(j in sent for j in before)):
                yield act.Call(i, name)


def every(world, state, limits):
    """Every action that the budgets allow. Loss of a message: it is never delivered."""
    rest = left(state, limits)
    for i in state.flight:
        m = world.message[i]
        if world.node[state.nodes[world.names.index(m.to)]].frozen < 0:
            yield act.Deliver(*m)
            if rest["repeats"] > 0:
                yield act.Deliver(*m, True)
    for name, number in zip(world.names, state.nodes):
        node = world.node[number]
        if node.queue and node.frozen < 0:
            yield act.Sync(name)
    yield from calls(world, state, limits)
    yield from troubles(world, state, limits)
    yield from ends(world, state)
    yield from (act.Tick(n) for n in (1, world.s.silence) if n <= rest["ticks"])


def choices(world, state, limits):
    """-> [(action, cost)]: the ordinary action and what ends a trouble for nothing, deviations for one each."""
    first, rest = ordinary(world, state), left(state, limits)
    resting = type(first) is act.Tick
    if not resting or rest["ticks"] > 0:
        yield first, 0
    for i in state.flight:
        m = world.message[i]
        if i in state.late and world.node[state.nodes[world.names.index(m.to)]].frozen < 0 and reached(world, state, m.to):
            yield act.Deliver(*m), 0
    for name in state.late:
        if type(name) is str and world.node[state.nodes[world.names.index(name)]].frozen < 0 and reached(world, state, name):
            yield act.Sync(name), 0
    if rest["holds"] > 0 and type(first) is act.Deliver:
        yield act.Hold(*first[:4]), 1
    if rest["holds"] > 0 and type(first) is act.Sync:
        yield act.Stall(first.core), 1
    if rest["repeats"] > 0 and type(first) is act.Deliver:
        yield act.Deliver(*first[:4], True), 1
    yield from ((a, 1) for a in calls(world, state, limits))
    yield from ((a, 1) for a in troubles(world, state, limits))
    if resting:
        yield from ((a, 0) for a in ends(world, state))
