"""The view register (design 5.2): which view follows which, chosen by a majority under ballots.

view = (epoch, primary, backups, ((core, disk), ...)). Each view is chosen by the witnesses that
the view before it names, its base: an instance of single-value agreement for every epoch. A
witness holds the newest base it knows to be chosen and what it has accepted to follow that one.
A vote counts only while the base names its disk, so that an emptied disk cannot vote twice and a
new core cannot vote itself in.
"""

NONE = (0, "")
MOST = 9  # witnesses in a view


def blank():
    """promised ballot; chosen base; accepted ballot and view, which would follow the base."""
    return {"promised": NONE, "base": None, "ballot": NONE, "view": None}


def based(reg, base):
    """The register of one who learns that `base` is chosen."""
    if epoch(base) <= epoch(reg["base"]):
        return reg
    keep = epoch(reg["view"]) == epoch(base) + 1
    return dict(reg, base=base, **({} if keep else {"ballot": NONE, "view": None}))


def prepare(reg, ballot, /):
    """-> (new state, answer body)."""
    if ballot <= reg["promised"]:
        return reg, ("nack", ballot, reg["promised"])
    reg = dict(reg, promised=ballot)
    return reg, ("prom", ballot, reg["ballot"], reg["view"], reg["base"])


def accept(reg, ballot, base, view, /):
    if ballot < reg["promised"] or epoch(base) < epoch(reg["base"]):
        return reg, ("nack", ballot, reg["promised"])
    return dict(promised=ballot, base=base, ballot=ballot, view=view), ("accd", ballot)


def epoch(view):
    return view[0] if view else 0


def members(view):
    return (view[1], *view[2]) if view else ()


def disks(view):
    return dict(view[3]) if view else {}


def majority(n):
    return n // 2 + 1


def sound_ballot(b):
    return isinstance(b, tuple) and len(b) == 2 and type(b[0]) is int and isinstance(b[1], str)


def texts(t, least, most):
    return isinstance(t, tuple) and least <= len(t) <= most and all(isinstance(x, str) for x in t)


def sound(v):
    return v is None or (
        isinstance(v, tuple)
        and len(v) == 4
        and type(v[0]) is int
        and v[0] > 0
        and isinstance(v[1], str)
        and texts(v[2], 1, MOST - 1)
        and len({v[1], *v[2]}) == 1 + len(v[2])
        and isinstance(v[3], tuple)
        and 3 <= len(v[3]) <= MOST
        and all(texts(p, 2, 2) for p in v[3])
        and len(dict(v[3])) == len(v[3])
        and {v[1], *v[2]} <= {p[0] for p in v[3]}
    )


def read(meta):
    """The register on disk; one written before views had several backups is understood."""
    reg = meta.get("reg") or blank()
    if "base" in reg:
        return reg

    def view(v):
        return v and (*v[:2], (v[2],) if isinstance(v[2], str) else v[2], v[3])

    was = view((meta.get("view") or (NONE, None))[1])
    new = view(reg["view"])
    follows = epoch(new) == epoch(was) + 1
    return dict(promised=reg["promised"], base=was, ballot=reg["ballot"] if follows else NONE, view=new if follows else None)


def round_(*, me, ballot, base, want):
    """One proposer's round, a generator (design 5.2).

    Yields ("prep"|"acc"|"wait"|"chosen"|"lost"|"behind", ...); is sent (core, disk, answer).
    `base` is the chosen view that `want` would follow; what another had accepted to follow it
    is completed instead. First forming (no base): every witness of `want` must promise.
    """
    proms = {}
    step = ("prep", ballot)
    while True:
        frm, disk, ans = yield step
        step = ("wait",)
        if ans[0] == "nack":
            if ans[1] == ballot:
                yield ("lost", ans[2])
                return
            continue
        if ans[0] != "prom" or ans[1] != ballot:
            continue
        if epoch(ans[4]) > epoch(base):  # a later view was chosen meanwhile
            yield ("behind", ans[4])
            return
        proms[frm] = (disk, ans[2], ans[3])
        _, found = max(((b, v) for _, b, v in proms.values() if epoch(v) == epoch(base) + 1), key=lambda t: t[0], default=(NONE, None))
        voters = disks(base or found or want)
        good = [f for f, (d, _, _) in proms.items() if voters.get(f) == d]
        if len(good) >= (majority(len(voters)) if base or found else len(voters)):
            break
    value, acks = found or want, set()
    voters = disks(base or value)
    step = ("acc", ballot, base, value)
    while True:
        frm, disk, ans = yield step
        step = ("wait",)
        if ans[0] == "nack" and ans[1] == ballot:
            yield ("lost", ans[2])
            return
        if ans[0] == "accd" and ans[1] == ballot and voters.get(frm) == disk:
            acks.add(frm)
            if len(acks) >= majority(len(voters)):
                yield ("chosen", ballot, value)
                return
