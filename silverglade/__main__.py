"""The command line (design 8.5)."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from typing import Any

from . import __version__
from .cli import operator, place, restore
from .runtime import settings as settings_module
from .runtime import structured_logging
from .runtime.errors import SilvergladeError

EXIT_FAULT = 2

TEXT_SETTINGS = (
    "name",
    "zone",
    "region",
    "listen",
    "advertise",
    "http",
    "data",
    "operator_key",
    "operator_key_file",
    "replica_key",
    "replica_key_file",
    "platform_key",
    "platform_key_file",
    "orders_to",
)
LIST_SETTINGS = ("seeds", "cores")


def parse_list(text: str) -> list[str]:
    """Return the values of a comma-separated list."""
    return text.split(",")


def parse_tolerance(text: str) -> dict[str, int]:
    """Return a tolerance, given as machines,zones,regions."""
    return dict(zip(settings_module.TOLERANCE, map(int, text.split(","))))


def parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    root = argparse.ArgumentParser(prog="silverglade", description="Serving across regions for a language model.")
    root.add_argument("--version", action="version", version=__version__)
    subparsers = root.add_subparsers(dest="cmd", required=True)
    _add_run_parser(subparsers)
    operator.add_parsers(subparsers)
    place.add_parsers(subparsers)
    restore.add_parsers(subparsers)
    return root


def _add_run_parser(subparsers: Any) -> None:
    run_parser = subparsers.add_parser("run", help="run a daemon")
    run_parser.add_argument("--settings", help="a JSON file of settings; flags go before it")
    for name in TEXT_SETTINGS:
        run_parser.add_argument("--" + name.replace("_", "-"), dest=name)
    for name in LIST_SETTINGS:
        run_parser.add_argument("--" + name, type=parse_list, help="comma-separated")
    run_parser.add_argument("--log-level", dest="log_level")
    run_parser.add_argument("--open", dest="open", action="store_true", default=None, help="listen beyond loopback without keys")
    run_parser.add_argument("--not-first", dest="first", action="store_false", default=None, help="an empty core joins, it forms nothing")
    run_parser.add_argument("--tolerance", type=parse_tolerance, help="machines,zones,regions that may be lost at once, as 2,1,1")
    run_parser.add_argument("--check", action="store_true", help="check the settings and stop")


def run(arguments: argparse.Namespace) -> int:
    """Run a daemon, or check its settings."""
    flags = {name: getattr(arguments, name) for name in settings_module.SETTINGS if name != "tuning"}

    def read_settings() -> dict[str, Any]:
        return settings_module.read(path=arguments.settings, flags=flags)

    settings = read_settings()
    if arguments.check:
        print("settings are sound")
        return 0
    from .server.daemon import start  # loads the HTTP server: not for commands that need none

    logger = structured_logging.setup(level=settings["log_level"])
    start(settings=settings, logger=logger, read_settings=read_settings, settings_file=arguments.settings or "")
    return 0


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line; returns the exit code."""
    arguments = parser().parse_args(argv)
    commands = {"run": run, "place": place.run, "restore": restore.run}
    try:
        return commands.get(arguments.cmd, operator.run)(arguments)
    except SilvergladeError as error:
        print(f"silverglade: {error}", file=sys.stderr)
        return EXIT_FAULT


if __name__ == "__main__":
    sys.exit(main())
