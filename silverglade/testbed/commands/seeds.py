"""`seeds`: many seeded runs of the simulator, several at once; a failing one prints the command that replays it (design 10.3)."""

from __future__ import annotations

import argparse
import os
import traceback
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from types import ModuleType
from typing import TYPE_CHECKING, Any, NamedTuple

from ..faults import forwarding_faults
from ..simulator import seeded_runs
from ..sites import SITES, TOWNS
from .options import add_integers

if TYPE_CHECKING:
    from .options import Subcommands

PRINTED_BREACHES = 6
PRINTED_TRACEBACK = 900  # characters, counted from its end


class Path(NamedTuple):
    """What a kind of requests is played by.

    :ivar scenarios: the module whose `run` plays one seed, and whose `ALL` names its kinds of faults.
    :ivar sites: the sites that it knows.
    """

    scenarios: ModuleType
    sites: Mapping[str, Any]


class SeededRun(NamedTuple):
    """One run of the simulator, as it is handed to a process of the pool.

    :ivar path: which kind of requests, a key of `PATHS`.
    :ivar site: name of the simulated deployment.
    :ivar seed: of all random decisions.
    :ivar fault_kinds: names of the faults that may happen.
    :ivar seconds: simulated, during which faults happen.
    :ivar most_failed_zones: how many may fail at once; 0 lets the seed decide.
    """

    path: str
    site: str
    seed: int
    fault_kinds: tuple[str, ...]
    seconds: int
    most_failed_zones: int


class Outcome(NamedTuple):
    """What came of one run.

    :ivar seed: of the run.
    :ivar breaches: of rules, one row each.
    :ivar summary: figures of the run, as `--verbose` prints them.
    """

    seed: int
    breaches: list[Any]
    summary: Any


PATHS = {"orders": Path(seeded_runs, TOWNS), "forward": Path(forwarding_faults, SITES)}


def add_seeds(subcommands: Subcommands) -> None:
    """Add the command `seeds`."""
    parser = subcommands.add_parser("seeds", help="seeded runs in the simulator")
    parser.add_argument("--path", choices=PATHS, default="orders", help="orders: the product's own; forward: routes to services")
    parser.add_argument("--town", choices=dict.fromkeys((*TOWNS, *SITES)), default="navrang")
    add_integers(parser, first=1, count=20, jobs=os.cpu_count() or 1, secs=40)
    parser.add_argument("--most", type=int, default=0, help="places that may fail at once; 0: odd seeds two, even one")
    kinds = sorted({*seeded_runs.ALL, *forwarding_faults.ALL})
    parser.add_argument("--only", help="comma-separated kinds of fault: " + ", ".join(kinds))
    parser.add_argument("--trace", action="store_true")
    parser.add_argument("--verbose", action="store_true")
    parser.set_defaults(run=run_seeds)


def run_seeds(options: argparse.Namespace) -> int:
    """Play the seeds and print those that broke a rule.

    :returns: 1 if any seed broke a rule, else 0.
    """
    scenarios, sites = PATHS[options.path]
    if options.town not in sites:
        raise SystemExit(f"--town: path {options.path} has {', '.join(sites)}")
    fault_kinds = tuple(options.only.split(",")) if options.only else scenarios.ALL
    seeds = range(options.first, options.first + options.count)
    runs = [SeededRun(options.path, options.town, seed, fault_kinds, options.secs, options.most) for seed in seeds]
    failed = 0
    with ProcessPoolExecutor(options.jobs) as pool:
        for outcome in pool.map(play, runs):
            failed += bool(outcome.breaches)
            print_outcome(outcome, options)
    if options.trace:
        print_trace(runs[0])
    print(f"{options.count - failed} sound, {failed} broken")
    return 1 if failed else 0


def play(run: SeededRun) -> Outcome:
    """Play one seed; an exception of the simulated program is a breach like any other."""
    try:
        scenario, breaches = start(run)
    except Exception as error:  # noqa: BLE001  whatever a component raises is a finding
        return Outcome(run.seed, [("fell", repr(error), traceback.format_exc()[-PRINTED_TRACEBACK:])], {})
    return Outcome(run.seed, breaches, scenario.told())


def start(run: SeededRun) -> tuple[Any, list[Any]]:
    """Play one seed.

    :returns: the scenario as it ended, and the breaches of rules.
    """
    scenario, breaches = PATHS[run.path].scenarios.run(
        town=run.site, seed=run.seed, kinds=run.fault_kinds, secs_=run.seconds, most=run.most_failed_zones
    )
    return scenario, breaches


def print_outcome(outcome: Outcome, options: argparse.Namespace) -> None:
    """Print the breaches of a run and the command that replays it; of a run without any only what `--verbose` wants."""
    if outcome.breaches:
        print(f"seed {outcome.seed}: {len(outcome.breaches)} broken; replay: {replay_command(outcome.seed, options)}")
        for breach in outcome.breaches[:PRINTED_BREACHES]:
            print("   ", *breach)
    elif options.verbose:
        print(f"seed {outcome.seed}: sound", outcome.summary)


def replay_command(seed: int, options: argparse.Namespace) -> str:
    """Return the command line that plays one seed again and prints its trace."""
    words = ["python -m silverglade.testbed seeds", f"--path {options.path} --town {options.town}"]
    words.append(f"--first {seed} --count 1 --secs {options.secs}")
    if options.most:
        words.append(f"--most {options.most}")
    if options.only:
        words.append(f"--only {options.only}")
    return " ".join([*words, "--trace"])


def print_trace(run: SeededRun) -> None:
    """Play one seed again and print all that happened in it."""
    scenario, _ = start(run)
    for row in scenario.w.trace:
        print(*row)
