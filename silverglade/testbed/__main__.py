"""`python -m silverglade.testbed`: seeded runs, and whole fleets of real processes."""

import argparse
import os
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor

from ..runtime.errors import SilvergladeError
from .experiments import policy
from .faults import forwarding_faults as forward_faults
from .model_checker import command as check_model
from .simulator import seeded_runs as days
from .sites import SITES, TOWNS

PATHS = {"orders": (days, TOWNS), "forward": (forward_faults, SITES)}


def one(job):
    path, town, seed, kinds, secs, most = job
    try:
        s, bad = PATHS[path][0].run(town=town, seed=seed, kinds=kinds, secs_=secs, most=most)
    except Exception as e:  # noqa: BLE001  a part fell: that is a finding
        import traceback

        return seed, [("fell", repr(e), traceback.format_exc()[-900:])], {}
    return seed, bad, s.told()


def seeds(a):
    """Many seeds; a failing one prints the command that replays it."""
    day, towns = PATHS[a.path]
    if a.town not in towns:
        raise SystemExit(f"--town: path {a.path} has {', '.join(towns)}")
    kinds = tuple(a.only.split(",")) if a.only else day.ALL
    jobs = [(a.path, a.town, n, kinds, a.secs, a.most) for n in range(a.first, a.first + a.count)]
    fell = 0
    with ProcessPoolExecutor(a.jobs) as pool:
        for seed, bad, told in pool.map(one, jobs):
            if bad:
                fell += 1
                print(
                    f"seed {seed}: {len(bad)} broken; replay: python -m silverglade.testbed seeds"
                    f" --path {a.path} --town {a.town} --first {seed} --count 1 --secs {a.secs}"
                    + (f" --most {a.most}" if a.most else "")
                    + (f" --only {a.only}" if a.only else "")
                    + " --trace"
                )
                for b in bad[:6]:
                    print("   ", *b)
            elif a.verbose:
                print(f"seed {seed}: sound", told)
    if a.trace:
        s, bad = day.run(town=a.town, seed=a.first, kinds=kinds, secs_=a.secs, most=a.most)
        for row in s.w.trace:
            print(*row)
    print(f"{a.count - fell} sound, {fell} broken")
    return 1 if fell else 0


def sitting(job):
    from .experiments import second_loss as repairs
    from .faults import control_faults as trials

    play, seed, size, tolerance = job
    c, t = (repairs.mixed if play == "repairs" else trials.storm)(seed=seed, size=size, tolerance=tolerance)
    return seed, c.faults, t, max((s or 0.0 for s in c.whole_in), default=0.0) if play == "repairs" else 0.0


def cores(a):
    tolerance, fell, worst, whole = tuple(map(int, a.tolerance.split(","))), 0, 0.0, 0.0
    with ProcessPoolExecutor(a.jobs) as pool:
        for seed, bad, t, w in pool.map(sitting, [(a.play, n, a.size, tolerance) for n in range(a.first, a.first + a.count)]):
            worst, whole = max(worst, t or 0.0), max(whole, w)
            if bad:
                fell += 1
                print(
                    f"seed {seed}: {len(bad)} broken; replay: python -m silverglade.testbed council --play {a.play} --size {a.size}"
                    f" --tolerance {a.tolerance} --first {seed} --count 1"
                )
                for b in bad[:6]:
                    print("   ", *b)
    print(f"{a.count - fell} sound, {fell} broken; longest until control served again after the closing fault: {worst:.1f} s")
    if a.play == "repairs":
        print(f"longest until any loss was borne again after a core was back: {whole:.1f} s")
    return 1 if fell else 0


def main(argv=None):
    try:
        return command(argv)
    except SilvergladeError as e:
        print(f"silverglade: {e}", file=sys.stderr)
        return 2


def command(argv):
    p = argparse.ArgumentParser(prog="python -m silverglade.testbed")
    sub = p.add_subparsers(dest="cmd", required=True)
    q = sub.add_parser("seeds", help="seeded runs in the simulator")
    q.add_argument("--path", choices=PATHS, default="orders", help="orders: the product's own; forward: routes to services")
    q.add_argument("--town", choices=dict.fromkeys((*TOWNS, *SITES)), default="navrang")
    for k, v in (("first", 1), ("count", 20), ("jobs", os.cpu_count() or 1), ("secs", 40)):
        q.add_argument("--" + k, type=int, default=v)
    q.add_argument("--most", type=int, default=0, help="places that may fail at once; 0: odd seeds two, even one")
    q.add_argument("--only", help="comma-separated kinds of fault: " + ", ".join(sorted({*days.ALL, *forward_faults.ALL})))
    q.add_argument("--trace", action="store_true")
    q.add_argument("--verbose", action="store_true")
    for t in TOWNS:
        q = sub.add_parser(t, help=f"start the fleet of {t} as real processes and rehearse a minute")
        q.add_argument("--secs", type=int, default=60)
        q.add_argument("--seed", type=int, default=1)
        q.add_argument("--other", default="", help="a second checkout; every second daemon runs the program there")
        q.add_argument("--folder", default="")
    q = sub.add_parser("storm", help="every failure on a fleet of real processes, seeded")
    q.add_argument("--town", choices=TOWNS, default="navrang")
    q.add_argument("--seed", type=int, default=1)
    q.add_argument("--folder", default="")
    q.add_argument("--long-cuts-only", action="store_true", help="only stops and cuts of 20 s of the cores, with operators at work")
    q = sub.add_parser("days", help="long days of the scaler with a platform that follows (simulated)")
    q.add_argument("--count", type=int, default=2)
    q.add_argument("--secs", type=int, default=600)
    q = sub.add_parser("council", help="the cores alone: every fault of the core, mixed, and a closing one (simulated)")
    q.add_argument("--size", type=int, choices=(3, 4, 5, 7, 9), default=5)
    q.add_argument("--play", choices=("storm", "repairs"), default="storm", help="repairs: the next loss when one is repaired")
    q.add_argument("--tolerance", default="2,1,1", help="machines, zones, regions")
    for k, v in (("first", 1), ("count", 100), ("jobs", 2)):
        q.add_argument("--" + k, type=int, default=v)
    check_model.add_arguments(sub.add_parser("check-model", help="every interleaving of a few cores' control parts, up to a bound"))
    q = sub.add_parser("need", help="a long day of replicas that nobody orders: what daemons say of it (simulated)")
    q.add_argument("--secs", type=int, default=1200)
    q.add_argument("--seed", type=int, default=1)
    policy.add_arguments(sub.add_parser("policy", help="how well many fronts decide, and what each mechanism is worth (simulated)"))
    q = sub.add_parser("measure", help="figures of recovery, isolation, prefixes, latency (simulated)")
    q.add_argument("--town", choices=TOWNS, default="navrang")
    q.add_argument("--count", type=int, default=6)
    q = sub.add_parser("scale", help="what a quiet fleet of so many daemons sends and how often it wakes")
    q.add_argument("--daemons", type=int, default=60)
    q.add_argument("--secs", type=int, default=20)
    q.add_argument("--simulated", action="store_true", help="in the simulator, the only way here")
    q = sub.add_parser("up", help="start a town as real processes, put its configuration, and stay up")
    q.add_argument("--town", choices=TOWNS, default="hamlet")
    q.add_argument("--folder", default="")
    a = p.parse_args(argv)
    if a.cmd == "seeds":
        return seeds(a)
    if a.cmd == "check-model":
        return check_model.run(a)
    if a.cmd == "council":
        return cores(a)
    if a.cmd == "days":
        from .experiments.scaler_days import main as long

        return long(range(1, a.count + 1), a.secs)
    if a.cmd == "need":
        from .experiments.demand_day import main as unordered

        return unordered(a.seed, a.secs)
    if a.cmd == "scale":
        from .experiments.fleet_cost import main as scale

        return scale(a.daemons, a.secs)
    if a.cmd == "policy":
        return policy.main(a)
    if a.cmd == "measure":
        from .experiments.recovery_figures import main as figures

        return figures(a.town, range(1, a.count + 1))
    folder = a.folder or tempfile.mkdtemp(prefix="silverglade-")
    if a.cmd == "up":
        from .local_fleet.short_run import stay

        return stay(town=a.town, folder=folder)
    if a.cmd == "storm":
        from .local_fleet.storm import storm

        return storm(town=a.town, seed=a.seed, folder=folder, long_cuts_only=a.long_cuts_only)
    from .local_fleet.short_run import rehearse

    return rehearse(town=a.cmd, secs=a.secs, seed=a.seed, folder=folder, other=a.other)


if __name__ == "__main__":
    sys.exit(main())
