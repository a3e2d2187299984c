"""`python -m silverglade.testbed check-model`: explorations by command, and traces played again."""

import argparse
from collections.abc import Iterator
from pathlib import Path

from . import actions as act
from .explorer import Report, explore, replay, walks
from .scenarios import STARTING, Scenario


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """The options of the command."""
    parser.add_argument("--cores", type=int, choices=(3, 5), default=3, help="three, or five with two backups")
    parser.add_argument("--scenario", choices=tuple(STARTING), help="one of those, instead of all with so many cores")
    parser.add_argument("--depth", type=int, default=4, help="every action, up to so many steps; 0: none")
    parser.add_argument("--deviations", type=int, default=-1, help="from the ordinary schedule; -1: as the scenario says; 0: none")
    parser.add_argument("--walks", type=int, default=50, help="random walks")
    parser.add_argument("--seed", type=int, default=1, help="of the walks")
    parser.add_argument("--seconds", type=float, default=300.0, help="at most, for each exploration")
    parser.add_argument("--json", default="", help="write the trace of a breach to this file")
    parser.add_argument("--replay", default="", help="play the trace in this file")


def explorations(scenario: Scenario, args: argparse.Namespace) -> Iterator[Report]:
    """By depth, by deviations, by walks."""
    if args.depth:
        yield explore(scenario, depth=args.depth, seconds=args.seconds)
    deviations = scenario.deviations if args.deviations < 0 else args.deviations
    if deviations:
        yield explore(scenario, deviations=deviations, seconds=args.seconds)
    if args.walks:
        yield walks(scenario, count=args.walks, seed=args.seed, seconds=args.seconds)


def run(args: argparse.Namespace) -> int:
    """-> 0 if nothing is broken."""
    if args.replay:
        return play(Path(args.replay))
    chosen = [STARTING[args.scenario]] if args.scenario else [s for s in STARTING.values() if s.cores == args.cores]
    for scenario in chosen:
        for report in explorations(scenario, args):
            print(report.line(), flush=True)
            if report.breach:
                print(f"{report.breach.rule}: {report.breach.what}; shortest trace, {len(report.trace)} actions:")
                script = act.to_json(scenario.name, report.trace)
                print(script, end="")
                if args.json:
                    Path(args.json).write_text(script)
                return 1
    return 0


def play(file: Path) -> int:
    """A trace played again: what it breaks, and whether every action of it could be taken."""
    name, actions = act.from_json(file.read_text())
    breach, taken = replay(STARTING[name], actions)
    print(f"{len(taken)} of {len(actions)} actions taken: {f'{breach.rule}: {breach.what}' if breach else 'sound'}")
    return 1 if breach else 0
