"""The command line (design 8.5)."""

import argparse
import sys

from . import __version__
from .cli import operator, place, restore
from .runtime import settings as options
from .runtime import structured_logging as log
from .runtime.errors import SilvergladeError


def tolerance(s):
    return dict(zip(("machines", "zones", "regions"), map(int, s.split(","))))


def parser():
    p = argparse.ArgumentParser(prog="silverglade", description="Serving across regions for a language model.")
    p.add_argument("--version", action="version", version=__version__)
    sub = p.add_subparsers(dest="cmd", required=True)
    r = sub.add_parser("run", help="run a daemon")
    r.add_argument("--settings", help="a JSON file of settings; flags go before it")
    for k in (
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
    ):
        r.add_argument("--" + k.replace("_", "-"), dest=k)
    for k in ("seeds", "cores"):
        r.add_argument("--" + k, type=lambda s: s.split(","), help="comma-separated")
    r.add_argument("--log-level", dest="log_level")
    r.add_argument("--open", dest="open", action="store_true", default=None, help="listen beyond loopback without keys")
    r.add_argument("--not-first", dest="first", action="store_false", default=None, help="an empty core joins, it forms nothing")
    r.add_argument("--tolerance", type=tolerance, help="machines,zones,regions that may be lost at once, as 2,1,1")
    r.add_argument("--check", action="store_true", help="check the settings and stop")
    operator.parsers(sub)
    place.parsers(sub)
    restore.parsers(sub)
    return p


def run(a):
    flags = {k: getattr(a, k) for k in options.SETTINGS if k != "tuning"}

    def reread():
        return options.read(path=a.settings, flags=flags)

    s = reread()
    if a.check:
        print("settings are sound")
        return 0
    from .server.daemon import start

    start(settings=s, logger=log.setup(level=s["log_level"]), read_settings=reread, settings_file=a.settings or "")
    return 0


def main(argv=None):
    a = parser().parse_args(argv)
    try:
        verbs = {"run": run, "place": place.run, "restore": restore.run}
        return verbs.get(a.cmd, operator.run)(a)
    except SilvergladeError as e:
        print(f"silverglade: {e}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
