"""`council` and `check-model`: the cores alone, in the simulator and in the model checker (design 10.6, 10.7)."""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING, Any, NamedTuple

from ..model_checker import command as check_model
from .options import add_integers

if TYPE_CHECKING:
    from .options import Subcommands

CORE_COUNTS = (3, 4, 5, 7, 9)
PRINTED_BREACHES = 6


class ControlRun(NamedTuple):
    """One seeded run of the cores, as it is handed to a process of the pool.

    :ivar play: "storm" (faults of all kinds mixed) or "repairs" (the next loss once one is repaired).
    :ivar seed: of all random decisions.
    :ivar cores: how many there are.
    :ivar tolerance: how many machines, zones and regions may be lost at once.
    """

    play: str
    seed: int
    cores: int
    tolerance: tuple[int, ...]


class Outcome(NamedTuple):
    """What came of one run.

    :ivar seed: of the run.
    :ivar breaches: of rules, one row each.
    :ivar recovery_s: seconds until control served again after the closing fault; None if it never did.
    :ivar repair_s: the longest time until any loss could be borne again, seconds; 0 where it is not measured.
    """

    seed: int
    breaches: list[Any]
    recovery_s: float | None
    repair_s: float


def add_council(subcommands: Subcommands) -> None:
    """Add the command `council`."""
    parser = subcommands.add_parser("council", help="the cores alone: every fault of the core, mixed, and a closing one (simulated)")
    parser.add_argument("--size", type=int, choices=CORE_COUNTS, default=5)
    parser.add_argument("--play", choices=("storm", "repairs"), default="storm", help="repairs: the next loss when one is repaired")
    parser.add_argument("--tolerance", default="2,1,1", help="machines, zones, regions")
    add_integers(parser, first=1, count=100, jobs=2)
    parser.set_defaults(run=run_council)


def add_check_model(subcommands: Subcommands) -> None:
    """Add the command `check-model`."""
    parser = subcommands.add_parser("check-model", help="every interleaving of a few cores' control parts, up to a bound")
    check_model.add_arguments(parser)
    parser.set_defaults(run=check_model.run)


def run_council(options: argparse.Namespace) -> int:
    """Play the seeds, print those that broke a rule, and the longest recoveries.

    :returns: 1 if any seed broke a rule, else 0.
    """
    tolerance = tuple(map(int, options.tolerance.split(",")))
    seeds = range(options.first, options.first + options.count)
    runs = [ControlRun(options.play, seed, options.size, tolerance) for seed in seeds]
    failed, longest_recovery_s, longest_repair_s = 0, 0.0, 0.0
    with ProcessPoolExecutor(options.jobs) as pool:
        for outcome in pool.map(play, runs):
            longest_recovery_s = max(longest_recovery_s, outcome.recovery_s or 0.0)
            longest_repair_s = max(longest_repair_s, outcome.repair_s)
            if outcome.breaches:
                failed += 1
                print_breaches(outcome, options)
    sound = options.count - failed
    print(f"{sound} sound, {failed} broken; longest until control served again after the closing fault: {longest_recovery_s:.1f} s")
    if options.play == "repairs":
        print(f"longest until any loss was borne again after a core was back: {longest_repair_s:.1f} s")
    return 1 if failed else 0


def play(run: ControlRun) -> Outcome:
    """Play one seed."""
    from ..experiments import second_loss
    from ..faults import control_faults

    if run.play == "repairs":
        cluster, recovery_s = second_loss.mixed(seed=run.seed, size=run.cores, tolerance=run.tolerance)
        repair_s = max((seconds or 0.0 for seconds in cluster.whole_in), default=0.0)
    else:
        cluster, recovery_s = control_faults.storm(seed=run.seed, size=run.cores, tolerance=run.tolerance)
        repair_s = 0.0
    return Outcome(run.seed, cluster.faults, recovery_s, repair_s)


def print_breaches(outcome: Outcome, options: argparse.Namespace) -> None:
    """Print the breaches of a run and the command that replays it."""
    print(
        f"seed {outcome.seed}: {len(outcome.breaches)} broken; replay: python -m silverglade.testbed council"
        f" --play {options.play} --size {options.size} --tolerance {options.tolerance} --first {outcome.seed} --count 1"
    )
    for breach in outcome.breaches[:PRINTED_BREACHES]:
        print("   ", *breach)
