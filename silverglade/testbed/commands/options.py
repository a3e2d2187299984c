"""The type of the parser's subcommands, and options that several commands share."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    Subcommands = argparse._SubParsersAction[argparse.ArgumentParser]


def add_integers(parser: argparse.ArgumentParser, **defaults: int) -> None:
    """Add an option for an integer for each name, with its default.

    :param parser: the parser of one command.
    :param defaults: names of options, without the dashes, and their defaults.
    """
    for name, default in defaults.items():
        parser.add_argument(f"--{name}", type=int, default=default)
