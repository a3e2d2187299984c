"""`python -m silverglade.testbed`: seeded runs, whole fleets of real processes, and experiments (design 10)."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from ..runtime.errors import SilvergladeError
from .commands import control, experiments, fleets, seeds

COMMANDS = (
    seeds.add_seeds,
    fleets.add_short_runs,
    fleets.add_storm,
    experiments.add_days,
    control.add_council,
    control.add_check_model,
    experiments.add_need,
    experiments.add_policy,
    experiments.add_measure,
    experiments.add_scale,
    fleets.add_up,
)  # in the order of the help text


def command_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m silverglade.testbed")
    subcommands = parser.add_subparsers(dest="cmd", required=True)
    for add_command in COMMANDS:
        add_command(subcommands)
    return parser


def run_command(arguments: Sequence[str] | None) -> int:
    """Parse the command line and carry the command out.

    :param arguments: of the command line; None takes those of the process.
    :returns: the exit status, non-zero where a rule was broken.
    :raises SilvergladeError: the test bed itself cannot work, for example since an address is taken.
    """
    options = command_parser().parse_args(arguments)
    status: int = options.run(options)
    return status


def main(arguments: Sequence[str] | None = None) -> int:
    """Carry the command out; print an error of the project in one line.

    :returns: the exit status; 2 for an error.
    """
    try:
        return run_command(arguments)
    except SilvergladeError as error:
        print(f"silverglade: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
