"""A core's follower part (design 6.3): claims synced before any grant exists.

Tables: "shard" shard -> epoch; "claim" "shard\\0key digest" -> (grant, state, number).
States: "claimed" (may run), "ran" (a replica had it), "done".
"""

from ..control import replicated_state as bk
from ..runtime.effects import send
from .shard import aged


def passed(book, me, sh, e):
    """Is this shard followed elsewhere by now, under a later epoch, or dropped for good (6.3)?

    Whoever follows it was given every claim before it was named.
    """
    d = bk.value_of(book, f"duty/shard/{sh}")
    return d[0] > e and d[2] != me if d else e <= bk.value_of(book, "floor/shard", 0)


def follower(*, me, saved, opt):
    epochs = dict(saved.get("shard", {}))
    claims = {sh: {} for sh in epochs}
    for k, v in saved.get("claim", {}).items():
        sh, kd = k.rsplit("\0", 1)  # a tenant may be named by any text
        claims.setdefault(sh, {})[kd] = v
    tok, wait, out = 0, {}, []

    def write(todo, *answer):
        nonlocal tok
        tok += 1
        wait[tok] = answer
        out.append(("disk", ("claim_follower", tok), tuple(todo)))

    while True:
        now, ev = yield tuple(out)
        out = []
        match ev:
            case ("msg", frm, ("claim", str(sh), int(e), cid, str(kd), str(gid), int(no))):
                held = epochs.get(sh)
                if held is None or held != e:
                    out.append(send(frm, "unclaimed", sh, e, cid, "none" if held is None else "old"))
                    continue
                was = claims[sh].get(kd)
                if was and was[0] != gid:
                    out.append(send(frm, "unclaimed", sh, e, cid, "seen"))
                    continue
                claims[sh][kd] = (gid, "claimed", no)
                old = aged(claims[sh], opt["claims_most"])
                for k in old:
                    del claims[sh][k]
                write(
                    [("put", "claim", f"{sh}\0{kd}", (gid, "claimed", no))] + [("del", "claim", f"{sh}\0{k}") for k in old],
                    frm,
                    "claimed",
                    sh,
                    e,
                    cid,
                )
            case ("msg", frm, ("mark", str(sh), int(e), str(kd), str(gid), str(st))):
                if epochs.get(sh) != e or kd not in claims[sh] or claims[sh][kd][0] != gid:
                    continue
                if st == "free":  # surely never ran: the key may be claimed anew
                    del claims[sh][kd]
                    write([("del", "claim", f"{sh}\0{kd}")])
                elif claims[sh][kd][1] != "done":
                    c = claims[sh][kd] = (gid, st, claims[sh][kd][2])
                    write([("put", "claim", f"{sh}\0{kd}", c)])
            case ("msg", frm, ("adopt", str(sh), int(e))):
                held = epochs.get(sh)
                if held is None or e < held:
                    out.append(send(frm, "unadopted", sh, e, "none" if held is None else "old"))
                    continue
                epochs[sh] = e
                write([("put", "shard", sh, e)], frm, "adopted", sh, e, tuple((k, *v) for k, v in sorted(claims[sh].items())))
            case ("msg", frm, ("copy", str(sh), int(e), int(n), tuple(cs))):
                if e < epochs.get(sh, 0):
                    out.append(send(frm, "unadopted", sh, e, "old"))
                    continue
                old = claims.get(sh, {})
                epochs[sh], claims[sh] = e, {k: tuple(c) for k, *c in cs}
                write(
                    [("put", "shard", sh, e)]
                    + [("del", "claim", f"{sh}\0{k}") for k in old]
                    + [("put", "claim", f"{sh}\0{k}", tuple(c)) for k, *c in cs],
                    frm,
                    "copied",
                    sh,
                    e,
                    n,
                )
            case ("book", b, _):
                for sh in [sh for sh in epochs if passed(b, me, sh, epochs[sh])]:
                    write([("del", "shard", sh)] + [("del", "claim", f"{sh}\0{k}") for k in claims[sh]])
                    del epochs[sh], claims[sh]
            case ("disk", ("claim_follower", n), ok, _):
                ans = wait.pop(n, ())
                if ok and ans:
                    out.append(send(*ans))
