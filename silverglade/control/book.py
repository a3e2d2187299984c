"""The book (design 5.3): what control holds, key to (version, value).

Keys: "config"; "evac/ZONE"; "duty/KIND/NAME"; "floor/KIND"; "change/ID" and "source", the text in which an
operator sent the configuration (neither is delivered as news).
A duty that nobody needs any more has the value None for a while (so that daemons drop it); its
epoch is kept in the kind's floor, above which every new duty begins (5.6).
A version is (epoch, number); (0, 0) is before everything.
"""

from .. import config

START = (0, 0)
KEEP = 256  # outcomes of change ids kept


def version(book):
    return max((v for v, _ in book.values()), default=START)


def since(book, v):
    """The items that news brings to someone who holds version v."""
    return tuple(sorted((k, iv, x) for k, (iv, x) in book.items() if iv > v and not k.startswith("change/") and k != "source"))


def get(book, key, d=None):
    return book.get(key, (START, d))[1]


def pruned(book):
    """Keys of outcomes, and of duties dropped, beyond those kept."""
    cs = sorted((v, k) for k, (v, _) in book.items() if k.startswith("change/"))
    ds = sorted((v, k) for k, (v, x) in book.items() if x is None)
    return tuple(k for t in (cs, ds) if len(t) > KEEP for _, k in t[:-KEEP])


def outcome(book, *, change, op, key, at, prev):
    """An op, or one whose change id was settled before -> (answer, items)."""
    old = get(book, "change/" + change) if change else None
    if old is not None:
        return ("ok", old[1]) if old[0] == key else ("refuse", 506, "change id was used"), ()
    match decide(book, op, at):
        case ("say", value):  # told once the backups have confirmed it
            return ("ok", prev, value), ()
        case ("take", pairs):
            items = tuple((k, at, x) for k, x in pairs)
            return ("ok", at), items + ((("change/" + change, at, (key, at)),) if change else ())
        case refused:
            return refused, ()


def decide(book, op, at):
    """An operator's or the duty keeper's op -> ("take", items) | ("refuse", code, detail).

    at = the version the change will carry. Pure: called by the primary alone.
    """
    match op:
        case ("config", base, raw):
            held = book.get("config", (START, None))[0]
            if base != held:
                return ("refuse", 501, f"in force is {held[0]}.{held[1]}")
            cfg, bad = config.checked(raw)
            if bad:
                return ("refuse", 502, "; ".join(f"{p}: {s}" for p, s in bad))
            return ("take", (("config", cfg),))
        case ("table", base, number, raw, source):  # told apart by the operator's own numbers (15.2)
            held = (get(book, "config") or {}).get("number", 0)
            if base != held:
                return ("refuse", 501, f"in force is {held}")
            cfg, bad = config.checked(raw)
            if not bad and not number == cfg["number"] > held:
                bad = (("number", f"wants to be above {held}"),)
            if bad:
                return ("refuse", 502, "; ".join(f"{p}: {s}" for p, s in bad)[:2000])
            return ("take", (("config", cfg), ("source", source)))
        case ("read",):
            return ("say", get(book, "source", ""))
        case ("evac", zone, bool(on)):
            cfg = get(book, "config")
            if not cfg or zone not in cfg["zones"]:
                return ("refuse", 505, zone)
            return ("take", ((f"evac/{zone}", on),))
        case ("duty", kind, name, base, holder, follower):
            old = get(book, f"duty/{kind}/{name}")
            if (old[0] if old else 0) != base:
                return ("refuse", 501, name)
            e = max(base, 0 if old else get(book, f"floor/{kind}", 0)) + 1
            return ("take", ((f"duty/{kind}/{name}", (e, holder, follower)),))
        case ("drop", kind, names):
            olds = {n: get(book, f"duty/{kind}/{n}") for n in names}
            olds = {n: d for n, d in olds.items() if d}
            floor = max([get(book, f"floor/{kind}", 0)] + [d[0] for d in olds.values()])
            return ("take", ((f"floor/{kind}", floor), *((f"duty/{kind}/{n}", None) for n in sorted(olds))) if olds else ())
        case ("reopen", name):  # an operator accepts that its claims are lost (6.4)
            old = get(book, f"duty/shard/{name}")
            if old is None:
                return ("refuse", 507, name)
            return ("take", ((f"duty/shard/{name}", (old[0] + 1, old[1], "")),))
        case ("duties", todo):
            got = [decide(book, ("duty", *d), at) for d in todo]
            return ("take", tuple(i for g in got if g[0] == "take" for i in g[1]))
    return ("refuse", 506, "unknown change")


def sound_version(v):
    return isinstance(v, tuple) and len(v) == 2 and all(type(n) is int and n >= 0 for n in v)


def sound(items):
    return isinstance(items, tuple) and all(
        isinstance(i, tuple) and len(i) == 3 and isinstance(i[0], str) and sound_version(i[1]) for i in items
    )
