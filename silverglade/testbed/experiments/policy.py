"""The command that plays days of policy with several seeds, and prints what each is worth (docs/measures.md)."""

import json
from concurrent.futures import ProcessPoolExecutor

from ...runtime.settings import MECHANISMS
from .policy_day import play
from .policy_figures import HEAD, line
from .policy_sites import DAYS


def add_arguments(parser):
    parser.add_argument("--day", choices=(*DAYS, "all"), default="all")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--secs", type=int, default=18)
    parser.add_argument("--without", default="", help="comma-separated, or each (one after another): " + ", ".join(MECHANISMS))
    parser.add_argument("--json", action="store_true")


def one(day, seed, seconds, without):
    return dict(day=day, seed=seed, without=list(without), **play(day=day, seed=seed, seconds=seconds, without=without).table())


def main(options):
    """Each day with each seed, and with each set of mechanisms switched off."""
    days = tuple(DAYS) if options.day == "all" else (options.day,)
    each = [(), *((m,) for m in MECHANISMS)]
    sets = each if options.without == "each" else [tuple(filter(None, options.without.split(",")))]
    seeds = range(options.first, options.first + options.count)
    jobs = [(day, seed, options.secs, without) for without in sets for day in days for seed in seeds]
    with ProcessPoolExecutor(options.jobs) as pool:
        rows = list(pool.map(one, *zip(*jobs)))
    if options.json:
        print(json.dumps(rows, indent=1))
        return 0
    print(HEAD)
    for without in sets:
        for day in days:
            those = [r for r in rows if r["day"] == day and r["without"] == list(without)]
            print(line(f"{day} -{','.join(without)}" if without else day, those))
    return 0
