"""`silverglade place` (design 12): tenants' homes and replicas over zones, by a solver library.

The result is a configuration to be reviewed and put by the operator; nothing is changed here.
"""

import json

from ..configuration import schema as cf
from ..configuration import validation as c
from ..runtime.errors import InvalidConfigurationError, InvalidConstraintsError, NoPlacementError

SPEC = c.record(
    {
        "zones": c.mapping_of(c.record({"region": c.text(), "capacity": c.integer(most=100000)}), least=1),
        "tenants": c.mapping_of(
            c.record(
                {
                    "burden": c.integer(default=1, least=1, most=100000),
                    "homes": c.integer(default=2, least=1, most=50),
                    "regions": c.integer(default=1, least=1, most=50),
                    "keep": c.list_of(c.text(), default=(), unique=True),
                    "avoid": c.list_of(c.text(), default=(), unique=True),
                }
            ),
            least=1,
        ),
        "apart": c.list_of(c.list_of(c.text(), least=2, unique=True), default=()),
        "survive": c.one_of("none", "zone", "region", default="zone"),
    }
)


def checked(raw):
    out, bad = c.validate(SPEC, raw)
    bad = list(bad)
    for t, d in out["tenants"].items() if not bad else ():
        for k in ("keep", "avoid"):
            bad += [(f"tenants.{t}.{k}", f"unknown zone {z}") for z in d[k] if z not in out["zones"]]
    if not bad:
        bad += [(f"apart[{i}]", f"unknown tenant {t}") for i, g in enumerate(out["apart"]) for t in g if t not in out["tenants"]]
    if bad:
        raise InvalidConstraintsError("; ".join(f"{p}: {s}" for p, s in bad))
    return out


def model(spec, *, soft):
    """The constraints as a model. soft: each group hangs on a literal, to find who conflicts."""
    from ortools.sat.python import cp_model

    m, names = cp_model.CpModel(), {}
    zs, ts = spec["zones"], spec["tenants"]
    x = {(t, z): m.new_bool_var(f"{t}@{z}") for t in ts for z in zs}

    def hold(why, con):
        if soft:
            lit = m.new_bool_var(why)
            names[lit.index] = why
            con.only_enforce_if(lit)
            m.add_assumption(lit)

    for t, d in ts.items():
        hold(f"{t} wants {d['homes']} homes", m.add(sum(x[t, z] for z in zs) == d["homes"]))
        for z in d["keep"]:
            hold(f"{t} keeps {z}", m.add(x[t, z] == 1))
        for z in d["avoid"]:
            hold(f"{t} avoids {z}", m.add(x[t, z] == 0))
        gs = {}
        for z, zd in zs.items():
            g = zd["region"]
            gs.setdefault(g, m.new_bool_var(f"{t}#{g}"))
        for g, b in gs.items():
            m.add_max_equality(b, [x[t, z] for z in zs if zs[z]["region"] == g])
        hold(f"{t} wants {d['regions']} regions", m.add(sum(gs.values()) >= d["regions"]))
    for group in spec["apart"]:
        for z in zs:
            hold(f"{' and '.join(group)} apart in {z}", m.add(sum(x[t, z] for t in group) <= 1))
    # each tenant's burden shared by its homes, and carried by the rest when one is lost
    share = {t: -(-d["burden"] * 1000 // max(1, d["homes"] - (spec["survive"] != "none" and d["homes"] > 1))) for t, d in ts.items()}
    for z, d in zs.items():
        hold(f"capacity of {z}", m.add(sum(share[t] * x[t, z] for t in ts) <= d["capacity"] * 1000))
    top = m.new_int_var(0, 10**12, "top")
    for z, d in zs.items():  # the fullest zone as empty as can be
        m.add(sum(share[t] * x[t, z] for t in ts) * 1000 <= top * max(1, d["capacity"]))
    if not soft:
        m.minimize(top)
    return m, x, names


def solve(spec, *, seconds=20.0):
    """-> {tenant: homes}; Fault 704 names the constraints that cannot stand together."""
    from ortools.sat.python import cp_model

    s = cp_model.CpSolver()
    s.parameters.max_time_in_seconds = seconds
    s.parameters.num_workers = 1
    s.parameters.random_seed = 1
    m, x, _ = model(spec, soft=False)
    st = s.solve(m)
    if st in (cp_model.OPTIMAL, cp_model.FEASIBLE):
        cap = {z: d["capacity"] for z, d in spec["zones"].items()}
        return {
            t: sorted((z for z in cap if s.value(x[t, z])), key=lambda z: (z not in spec["tenants"][t]["keep"], -cap[z], z))
            for t in spec["tenants"]
        }
    m, _, names = model(spec, soft=True)
    st = s.solve(m)
    core = [names[i] for i in s.sufficient_assumptions_for_infeasibility() if i in names]
    raise NoPlacementError("; ".join(sorted(set(core))) or "no placement was found in time")


def parsers(sub):
    p = sub.add_parser("place", help="solve placements from a constraints file")
    p.add_argument("file")
    p.add_argument("--config", default="", help="a configuration whose tenants get the homes found")


def run(a):
    try:
        with open(a.file, encoding="utf-8") as f:
            raw = json.load(f)
        base = json.load(open(a.config, encoding="utf-8")) if a.config else None
    except (OSError, ValueError) as e:
        raise InvalidConstraintsError(str(e)) from e
    spec = checked(raw)
    homes = solve(spec)
    if base is None:
        print(json.dumps({"homes": homes}, indent=1, sort_keys=True))
        return 0
    for t, h in homes.items():
        if t not in base.get("tenants", {}):
            raise InvalidConstraintsError(f"the configuration has no tenant {t}")
        base["tenants"][t]["homes"] = h
    _, bad = cf.parse_configuration(base)
    if bad:
        raise InvalidConfigurationError("; ".join(f"{p}: {s}" for p, s in bad))
    print(json.dumps(base, indent=1, sort_keys=True))
    return 0
