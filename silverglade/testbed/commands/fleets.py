"""Commands that start a whole fleet as real processes on loopback: one named for each site, `storm` and `up` (design 10.4)."""

from __future__ import annotations

import argparse
import tempfile
from typing import TYPE_CHECKING

from ..sites import TOWNS
from .options import add_integers

if TYPE_CHECKING:
    from .options import Subcommands


def add_short_runs(subcommands: Subcommands) -> None:
    """Add a command for each site, named for it: a short run with kills on the way."""
    for site in TOWNS:
        parser = subcommands.add_parser(site, help=f"start the fleet of {site} as real processes and rehearse a minute")
        add_integers(parser, secs=60, seed=1)
        parser.add_argument("--other", default="", help="a second checkout; every second daemon runs the program there")
        parser.add_argument("--folder", default="")
        parser.set_defaults(run=run_short_run, town=site)


def add_storm(subcommands: Subcommands) -> None:
    """Add the command `storm`."""
    parser = subcommands.add_parser("storm", help="every failure on a fleet of real processes, seeded")
    parser.add_argument("--town", choices=TOWNS, default="navrang")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", default="")
    parser.add_argument("--long-cuts-only", action="store_true", help="only stops and cuts of 20 s of the cores, with operators at work")
    parser.set_defaults(run=run_storm)


def add_up(subcommands: Subcommands) -> None:
    """Add the command `up`."""
    parser = subcommands.add_parser("up", help="start a town as real processes, put its configuration, and stay up")
    parser.add_argument("--town", choices=TOWNS, default="hamlet")
    parser.add_argument("--folder", default="")
    parser.set_defaults(run=run_up)


def data_folder(options: argparse.Namespace) -> str:
    """Return the folder for logs and data: the one that was named, else a new one."""
    return options.folder or tempfile.mkdtemp(prefix="silverglade-")


def run_short_run(options: argparse.Namespace) -> int:
    """Play a short run on real processes.

    :returns: 1 if a rule was broken, else 0.
    """
    from ..local_fleet.short_run import rehearse

    status: int = rehearse(town=options.town, secs=options.secs, seed=options.seed, folder=data_folder(options), other=options.other)
    return status


def run_storm(options: argparse.Namespace) -> int:
    """Play every fault on real processes.

    :returns: 1 if a rule was broken, else 0.
    """
    from ..local_fleet.storm import storm

    status: int = storm(town=options.town, seed=options.seed, folder=data_folder(options), long_cuts_only=options.long_cuts_only)
    return status


def run_up(options: argparse.Namespace) -> int:
    """Start a site and stay up until interrupted."""
    from ..local_fleet.short_run import stay

    status: int = stay(town=options.town, folder=data_folder(options))
    return status
