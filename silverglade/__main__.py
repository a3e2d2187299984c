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

EXIT_ERROR = 2

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
    """Split a comma-separated list."""
    return text.split(",")


def parse_tolerance(text: str) -> dict[str, int]:
    """Parse a fault tolerance given as MACHINES,ZONES,REGIONS."""
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
    run_parser.add_argument("--settings", help="a JSON file of settings; flags override it")
    for name in TEXT_SETTINGS:
        run_parser.add_argument("--" + name.replace("_", "-"), dest=name)
    for name in LIST_SETTINGS:
        run_parser.add_argument("--" + name, type=parse_list, help="comma-separated")
    run_parser.add_argument("--log-level", dest="log_level")
    run_parser.add_argument(
        "--open", dest="open", action="store_true", default=None, help="allow listening on other addresses than loopback without keys"
    )
    run_parser.add_argument(
        "--not-first",
        dest="first",
        action="store_false",
        default=None,
        help="a core with an empty data folder joins the existing cores, and never forms the first view",
    )
    run_parser.add_argument(
        "--tolerance", type=parse_tolerance, help="MACHINES,ZONES,REGIONS that may fail at the same time, such as 2,1,1"
    )
    run_parser.add_argument("--check", action="store_true", help="check the settings and exit")


def run(arguments: argparse.Namespace) -> int:
    """Run a daemon, or only check its settings; returns the exit code."""
    flags = {name: getattr(arguments, name) for name in settings_module.SETTINGS if name != "tuning"}

    def read_settings() -> dict[str, Any]:
        return settings_module.read(path=arguments.settings, flags=flags)

    settings = read_settings()
    if arguments.check:
        print("settings are sound")
        return 0
    from .server.daemon import start  # imports the HTTP server, which the other commands do not need

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
        return EXIT_ERROR


if __name__ == "__main__":
    sys.exit(main())
