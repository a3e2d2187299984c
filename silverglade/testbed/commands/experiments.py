"""Commands that print figures of simulated experiments: `days`, `need`, `policy`, `measure`, `scale`."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

from ..experiments import policy
from ..sites import TOWNS
from .options import add_integers

if TYPE_CHECKING:
    from .options import Subcommands


def add_days(subcommands: Subcommands) -> None:
    """Add the command `days`."""
    parser = subcommands.add_parser("days", help="long days of the scaler with a platform that follows (simulated)")
    add_integers(parser, count=2, secs=600)
    parser.set_defaults(run=run_days)


def add_need(subcommands: Subcommands) -> None:
    """Add the command `need`."""
    parser = subcommands.add_parser("need", help="a long day of replicas that nobody orders: what daemons say of it (simulated)")
    add_integers(parser, secs=1200, seed=1)
    parser.set_defaults(run=run_need)


def add_policy(subcommands: Subcommands) -> None:
    """Add the command `policy`."""
    parser = subcommands.add_parser("policy", help="how well many fronts decide, and what each mechanism is worth (simulated)")
    policy.add_arguments(parser)
    parser.set_defaults(run=policy.main)


def add_measure(subcommands: Subcommands) -> None:
    """Add the command `measure`."""
    parser = subcommands.add_parser("measure", help="figures of recovery, isolation, prefixes, latency (simulated)")
    parser.add_argument("--town", choices=TOWNS, default="navrang")
    add_integers(parser, count=6)
    parser.set_defaults(run=run_measure)


def add_scale(subcommands: Subcommands) -> None:
    """Add the command `scale`."""
    parser = subcommands.add_parser("scale", help="what a quiet fleet of so many daemons sends and how often it wakes")
    add_integers(parser, daemons=60, secs=20)
    parser.add_argument("--simulated", action="store_true", help="in the simulator, the only way here")
    parser.set_defaults(run=run_scale)


def run_days(options: argparse.Namespace) -> int:
    """Print what the scaler wanted and what requests met, seed by seed."""
    from ..experiments import scaler_days

    status: int = scaler_days.main(range(1, options.count + 1), options.secs)
    return status


def run_need(options: argparse.Namespace) -> int:
    """Print what daemons say of a service that nobody scales."""
    from ..experiments import demand_day

    status: int = demand_day.main(options.seed, options.secs)
    return status


def run_measure(options: argparse.Namespace) -> int:
    """Print recovery times, isolation between tenants, prefix hits and latency."""
    from ..experiments import recovery_figures

    status: int = recovery_figures.main(options.town, range(1, options.count + 1))
    return status


def run_scale(options: argparse.Namespace) -> int:
    """Print what an idle fleet sends and how often its daemons wake."""
    from ..experiments import fleet_cost

    status: int = fleet_cost.main(options.daemons, options.secs)
    return status
