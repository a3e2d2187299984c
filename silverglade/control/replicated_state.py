"""The book (design 5.3): what control holds, key to (version, value).

Keys: "config"; "evac/ZONE"; "duty/KIND/NAME"; "floor/KIND"; "change/ID" and "forgotten" (outcomes.py); "source", the text
in which an operator sent the configuration. The last three are not delivered as news.
A duty that nobody needs any more has the value None for a while (so that daemons drop it); its
epoch is kept in the kind's floor, above which every new duty begins (5.6).
A version is (epoch, number); (0, 0) is before everything.
"""

from ..configuration import schema as config
from ..runtime.errors import SilvergladeError
from ..transport import framing as wire
from . import outcomes

INITIAL_VERSION = outcomes.START
MAX_DROPPED_ROLES = 256  # dropped duties kept
STALE = ("stale",)  # an answer: it can't be judged on that base; nothing was changed by this copy of it


def newest_version(book):
    return max((v for v, _ in book.values()), default=INITIAL_VERSION)


def items_since(book, v):
    """The items that news brings to someone who holds version v."""
    return tuple(sorted((k, iv, x) for k, (iv, x) in book.items() if iv > v and not outcomes.private(k) and k != "source"))


def value_of(book, key, d=None):
    return book.get(key, (INITIAL_VERSION, d))[1]


def pruned_keys(book):
    """Keys of outcomes that were forgotten, and of duties dropped beyond those kept."""
    ds = sorted((v, k) for k, (v, x) in book.items() if x is None)
    return (*outcomes.forgotten(book), *(k for _, k in ds[: -MAX_DROPPED_ROLES if len(ds) > MAX_DROPPED_ROLES else 0]))


def fence(book, op):
    """The version on which an op without a base of its own rests (design 5.4). Every change of what it concerns makes a new
    one, above all before it; of the configuration too, which decides whether its zone is known."""
    keys = (f"evac/{op[1]}", "config") if op[0] == "evac" else (f"duty/shard/{op[1]}",)
    return max(book.get(k, (INITIAL_VERSION,))[0] for k in keys)


def outcome(book, *, change, op, key, at, prev, aged=INITIAL_VERSION):
    """An op, or one whose change id was settled before -> (answer, items)."""
    old = outcomes.find(book, change)
    if old and old[0] != key:
        return ("refuse", 514, change), ()
    if old:
        return ("ok", old[1]) if old[1] != INITIAL_VERSION else ahead(book, op), ()
    number = op[2] if op[0] == "table" else 0
    match decide(book, op, at):
        case ("say", value):  # told once the backups have confirmed it
            return ("ok", prev, value), ()
        case ("take", pairs):
            items = tuple((k, at, x) for k, x in pairs)
            if change:
                items += (outcomes.item(change=change, key=key, at=at, number=number), *outcomes.moved(book, at=at, aged=aged))
            return ("ok", at), items
        case ("ahead",):  # a late copy of it must not be taken once its base has come
            note = (outcomes.item(change=change, key=key, at=at, number=0, taken=False),) if change else ()
            return ahead(book, op), note + outcomes.moved(book, at=at, aged=aged) if note else ()
        case refused:
            return refused, ()


def ahead(book, op):
    held = (value_of(book, "config") or {}).get("number", 0) if op[0] == "table" else "%d.%d" % book.get("config", (INITIAL_VERSION,))[0]
    return ("refuse", 501, f"in force is {held}")


def unlike(base, held, floor):
    """What is said of a change on another base than the one held; below the floor its outcome may be forgotten."""
    return STALE if base < floor else ("ahead",) if base > held else None


def decide(book, op, at):
    """An operator's or the duty keeper's op -> ("take", items) | ("refuse", code, detail).

    at = the version the change will carry. Pure: called by the primary alone.
    """
    match op:
        case ("config", base, raw):
            held = book.get("config", (INITIAL_VERSION, None))[0]
            if base != held:
                return unlike(base, held, outcomes.horizon(book)[0]) or ("refuse", 501, f"in force is {held[0]}.{held[1]}")
            cfg, bad = config.parse_configuration(raw)
            if bad:
                return ("refuse", 502, "; ".join(f"{p}: {s}" for p, s in bad)[:2000])
            return fitting(book, at, (("config", cfg),))
        case ("table", base, number, raw, source):  # told apart by the operator's own numbers (15.2)
            held = (value_of(book, "config") or {}).get("number", 0)
            if base != held:
                return unlike(base, held, outcomes.horizon(book)[1]) or ("refuse", 501, f"in force is {held}")
            cfg, bad = config.parse_configuration(raw)
            if not bad and not number == cfg["number"] > held:
                bad = (("number", f"wants to be above {held}"),)
            if bad:
                return ("refuse", 502, "; ".join(f"{p}: {s}" for p, s in bad)[:2000])
            return fitting(book, at, (("config", cfg), ("source", source)))
        case ("read",):
            return ("say", value_of(book, "source", ""))
        case ("evac", zone, bool(on), *base):
            cfg = value_of(book, "config")
            if not cfg or zone not in cfg["zones"]:
                return ("refuse", 505, zone)
            if base != [fence(book, op)] and (not base or value_of(book, f"evac/{zone}", False) != on):
                return STALE  # what is so already may be said again: it makes a new version, and so fences others out
            return ("take", ((f"evac/{zone}", on),))
        case ("duty", kind, name, base, holder, follower):
            old = value_of(book, f"duty/{kind}/{name}")
            if (old[0] if old else 0) != base:
                return ("refuse", 501, name)
            e = max(base, 0 if old else value_of(book, f"floor/{kind}", 0)) + 1
            return ("take", ((f"duty/{kind}/{name}", (e, holder, follower)),))
        case ("drop", kind, names):
            olds = {n: value_of(book, f"duty/{kind}/{n}") for n in names}
            olds = {n: d for n, d in olds.items() if d}
            floor = max([value_of(book, f"floor/{kind}", 0)] + [d[0] for d in olds.values()])
            return ("take", ((f"floor/{kind}", floor), *((f"duty/{kind}/{n}", None) for n in sorted(olds))) if olds else ())
        case ("reopen", name, *base):  # an operator accepts that its claims are lost (6.4)
            old = value_of(book, f"duty/shard/{name}")
            if base != [fence(book, op)]:
                return STALE
            if old is None:
                return ("refuse", 507, name)
            return ("take", ((f"duty/shard/{name}", (old[0] + 1, old[1], "")),))
        case ("duties", todo):
            got = [decide(book, ("duty", *d), at) for d in todo]
            return ("take", tuple(i for g in got if g[0] == "take" for i in g[1]))
    return ("refuse", 506, "unknown change")


def fitting(book, at, pairs):
    """A configuration is taken only if the store with it travels in one frame: between members, and to daemons as news."""
    rows = {**book, **{k: (at, x) for k, x in pairs}}
    try:
        fits = wire.fits_in_frame(tuple((k, v, x) for k, (v, x) in rows.items()))
    except SilvergladeError as e:
        return ("refuse", 502, e.detail)
    return ("take", pairs) if fits else ("refuse", 513, "")


def is_version(v):
    return isinstance(v, tuple) and len(v) == 2 and all(type(n) is int and n >= 0 for n in v)


def is_item_list(items):
    return isinstance(items, tuple) and all(
        isinstance(i, tuple) and len(i) == 3 and isinstance(i[0], str) and is_version(i[1]) for i in items
    )
