"""Exploring: breadth first over hashed states, by deviations or by steps; random walks beyond; shortest traces."""

import random
import time
from array import array
from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b

import ormsgpack

from . import schedule
from .records import InapplicableError
from .world import World

WALK = 160  # steps of a random walk
CALM = 0.75  # how often a walk does what is ordinary


@dataclass
class Report:
    """What an exploration met. complete: were all states within the bounds visited?"""

    scenario: str
    way: str
    states: int = 0
    transitions: int = 0
    depth: int = 0
    seconds: float = 0.0
    complete: bool = True
    breach: object = None
    trace: list = field(default_factory=list)

    def line(self):
        rate = self.transitions / self.seconds if self.seconds else 0
        return (
            f"{self.scenario:24} {self.way:16} states {self.states:>8} transitions {self.transitions:>8} depth {self.depth:>3}"
            f" seconds {self.seconds:6.1f} a second {rate:7.0f} {'all' if self.complete else 'part'}"
            f" {self.breach.rule if self.breach else 'sound'}"
        )


def key(state):
    return blake2b(ormsgpack.packb(tuple(state)), digest_size=12).digest()


class Tree:
    """How each state was first reached."""

    def __init__(self):
        self.parents, self.actions = array("l", [-1]), [None]

    def add(self, parent, action):
        self.parents.append(parent)
        self.actions.append(action)
        return len(self.actions) - 1

    def trace(self, n):
        rows = []
        while n > 0:
            rows.append(self.actions[n])
            n = self.parents[n]
        return rows[::-1]


def explore(scenario, *, depth=None, deviations=None, seconds=600.0, states=10**7):
    """All states within a number of steps (every action), or of deviations from the ordinary schedule.

    Steps cost one each in the first, deviations in the second, where all else is free: least cost first.
    """
    world, begun = World(scenario), time.monotonic()
    report = Report(scenario.name, f"depth {depth}" if deviations is None else f"deviations {deviations}")
    limits, tree = scenario.limits(), Tree()
    if deviations is None:

        def moves(state):
            return ((action, 1) for action in schedule.every(world, state, limits))
    else:

        def moves(state):
            return schedule.choices(world, state, limits)

    most = depth if deviations is None else deviations
    first = scenario.prepared(world)
    queue, seen = deque([(first, 0, 0, 0)]), {key(first): 0}
    while queue:
        state, cost, steps, n = queue.popleft()
        if seen.get(key(state), cost) < cost:
            continue
        if time.monotonic() - begun > seconds or len(seen) > states:
            report.complete = False
            break
        report.depth = max(report.depth, steps)
        for action, more in moves(state):
            if cost + more > most:
                continue
            after, breach = world.apply(state, action)
            report.transitions += 1
            if breach:
                report.breach, report.trace = breach, [*tree.trace(n), action]
                queue.clear()
                break
            mark = key(after)
            if seen.get(mark, most + 1) <= cost + more:
                continue
            seen[mark] = cost + more
            row = (after, cost + more, steps + 1, tree.add(n, action))
            if more:
                queue.append(row)
            else:
                queue.appendleft(row)
    report.states, report.seconds = len(seen), time.monotonic() - begun
    if report.breach:
        report.trace = shortest(scenario, report.trace, report.breach.rule)
    return report


def walks(scenario, *, count, seed, seconds=600.0):
    """Seeded random walks, with the scenario's budgets and no bound on deviations but those."""
    world, begun, rng = World(scenario), time.monotonic(), random.Random(seed)
    report, limits, seen = Report(scenario.name, f"walks {count}"), scenario.limits(), set()
    first = scenario.prepared(world)
    for _ in range(count):
        if time.monotonic() - begun > seconds:
            report.complete = False
            break
        state, trace = first, []
        for _ in range(WALK):
            ordinary = schedule.ordinary(world, state)
            able = list(schedule.every(world, state, limits))
            if rng.random() < CALM and (schedule.quiet(world, state) is False or schedule.left(state, limits)["ticks"] > 0):
                action = ordinary
            elif able:
                action = rng.choice(able)
            else:
                break
            trace.append(action)
            state, breach = world.apply(state, action)
            report.transitions += 1
            seen.add(key(state))
            if breach:
                report.breach, report.trace = breach, shortest(scenario, trace, breach.rule)
                break
        report.depth = max(report.depth, len(trace))
        if report.breach:
            break
    report.states, report.seconds = len(seen), time.monotonic() - begun
    return report


def replay(scenario, actions, *, world=None, first=None):
    """-> (breach or None, the actions that could be taken). What cannot be taken is passed over."""
    world = world or World(scenario)
    state, taken = first or scenario.prepared(world), []
    for action in actions:
        try:
            state, breach = world.apply(state, action)
        except InapplicableError:
            continue
        taken.append(action)
        if breach:
            return breach, taken
    return None, taken


def shortest(scenario, trace, rule):
    """The trace without the steps that the breach does not need."""
    world = World(scenario)
    first, n = scenario.prepared(world), len(trace) - 1
    while n >= 0:
        breach, taken = replay(scenario, [*trace[:n], *trace[n + 1 :]], world=world, first=first)
        if breach and breach.rule == rule:
            trace, n = taken, min(n, len(taken))
        n -= 1
    return trace
