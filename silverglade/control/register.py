"""The view register (design 5.2): one value, changed by majority under ballots.

view = (epoch, primary, backup, ((core, disk), ...)). A witness's vote counts only while
the newest accepted view names its disk, so that an emptied disk cannot vote twice.
"""

NONE = (0, "")


def blank():
    """promised ballot, accepted ballot, accepted view."""
    return {"promised": NONE, "ballot": NONE, "view": None}


def prepare(reg, ballot, /):
    """-> (new state, answer body)."""
    if ballot <= reg["promised"]:
        return reg, ("nack", ballot, reg["promised"])
    reg = dict(reg, promised=ballot)
    return reg, ("prom", ballot, reg["ballot"], reg["view"])


def accept(reg, ballot, view, /):
    if ballot < reg["promised"]:
        return reg, ("nack", ballot, reg["promised"])
    return dict(promised=ballot, ballot=ballot, view=view), ("accd", ballot)


def epoch(view):
    return view[0] if view else 0


def members(view):
    return view[1:3] if view else ()


def disks(view):
    return dict(view[3]) if view else {}


def sound_ballot(b):
    return isinstance(b, tuple) and len(b) == 2 and type(b[0]) is int and isinstance(b[1], str)


def sound(v):
    return v is None or (
        isinstance(v, tuple) and len(v) == 4 and type(v[0]) is int and v[0] > 0
        and isinstance(v[1], str) and isinstance(v[2], str) and v[1] != v[2]
        and isinstance(v[3], tuple) and len(v[3]) == 3
        and all(isinstance(p, tuple) and len(p) == 2 and all(isinstance(x, str) for x in p)
                for p in v[3]) and {v[1], v[2]} <= {p[0] for p in v[3]})


def round_(*, me, ballot, basis, want, cores):
    """One proposer's round, a generator (design 5.2).

    Yields ("prep"|"acc"|"wait"|"chosen"|"lost", ...); is sent (core, disk, answer).
    `want` replaces the register's value only where that value's epoch is `basis`; a
    newer value found is completed instead.
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
        proms[frm] = (disk, ans[2], ans[3])
        _, found = max(((b, v) for _, b, v in proms.values()), key=lambda t: t[0])
        voters = disks(found or want)
        good = [f for f, (d, _, _) in proms.items() if voters.get(f) == d]
        need = 2 if found else 3            # first forming: all three (5.5)
        if len(good) >= need:
            break
    if found and epoch(found) > basis:
        value = found
    elif found and epoch(found) < basis:
        yield ("lost", ballot)
        return
    else:
        value = want
    old, new, acks = disks(found or value), disks(value), set()
    # a disk that this very value admits does not vote for its own admission
    firm = {f for f in cores if old.get(f) == new.get(f)}
    step = ("acc", ballot, value)
    while True:
        frm, disk, ans = yield step
        step = ("wait",)
        if ans[0] == "nack" and ans[1] == ballot:
            yield ("lost", ans[2])
            return
        if ans[0] == "accd" and ans[1] == ballot and frm in firm and new.get(frm) == disk:
            acks.add(frm)
            if len(acks) >= 2:
                yield ("chosen", ballot, value)
                return
