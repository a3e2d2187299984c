"""The shape of every message between daemons (design 3.2): checked before a part sees it.

Letters: s text, i whole number, m milliseconds (a whole number that a time can hold), f number, b flag, y bytes,
t tuple, v version (two whole numbers), o ballot (number, text), ? anything. "..." at the end: any rest.
"""

from ..membership import replicated_table as soft

LONGEST = 1 << 53  # milliseconds, either way: far within what a timedelta holds

MESSAGE_SHAPES = {
    "alive": "ii",
    "doubted": "",
    "told": "t",
    "sync": "ittt",
    "lease": "siss",
    "release": "ssb",
    "renew": "sit",
    "leased": "ssi",
    "unleased": "sss",
    "offer": "siss",
    "ask": "sisit",
    "claimed": "sis",
    "unclaimed": "siss",
    "adopted": "sit",
    "unadopted": "sis",
    "copied": "sii",
    "fin": "sis",
    "quit": "s",
    "grant": "sisisib...",
    "deny": "siis?",
    "moved": "si",
    "hand": "ssssbisiy",
    "left": "s",
    "more": "si",
    "res": "sis...",
    "news": "ivtmm...",
    "opr": "it",
    "hb": "ivbsibmmm",
    "view": "?",
    "prep": "o",
    "acc": "o??",
    "prom": "oso??",
    "accd": "os",
    "nack": "oso",
    "snap": "ii?t",
    "snapok": "iis",
    "repl": "iivvt",
    "repd": "ii",
    "items": "ivvt",
    "pull": "v",
    "get": "iv...",
    "op": "ists",
    "fence": "it",
    "fenced": "iv",
    "load-ask": "isti",
    "load-told": "isi",
    "load-put": "siti",
    "load-read": "si",
    "claim": "sisssi",
    "mark": "sisss",
    "adopt": "si",
    "copy": "siit",
}
MAX_KNOWN_FIELDS = {"get": 4, "news": 7}  # of those whose last field came later


def fits(x, k):
    match k:
        case "s":
            return type(x) is str
        case "i":
            return type(x) is int
        case "m":
            return type(x) is int and -LONGEST <= x <= LONGEST
        case "f":
            return type(x) in (int, float)
        case "b":
            return type(x) is bool
        case "y":
            return type(x) is bytes
        case "t":
            return type(x) is tuple
        case "v":
            return type(x) is tuple and len(x) == 2 and all(type(n) is int and n >= 0 for n in x)
        case "o":
            return type(x) is tuple and len(x) == 2 and type(x[0]) is int and type(x[1]) is str
    return True


def sound(body):
    sh = MESSAGE_SHAPES.get(body[0])
    if sh is None:
        return False
    rest = body[1:]
    sh = sh.removesuffix("...")
    return len(rest) >= len(sh) and all(fits(x, k) for x, k in zip(rest, sh))


def known_fields(body):
    """The fields that this program knows: a later one may have added some behind them (3.2)."""
    sh = MESSAGE_SHAPES[body[0]]
    n = MAX_KNOWN_FIELDS.get(body[0])
    return body[:n] if n else body if sh.endswith("...") else body[: 1 + len(sh)]


def rows(t, sh):
    """Every row of a tuple has this shape."""
    return all(type(r) is tuple and len(r) == len(sh) and all(fits(x, k) for x, k in zip(r, sh)) for r in t)


DEEP = {
    "adopted": lambda b: rows(b[3], "sssi"),
    "copy": lambda b: rows(b[4], "sssi"),
    "told": lambda b: soft.is_published_rows(b[1]),
    "sync": lambda b: soft.is_vector(b[2]) and soft.is_vector(b[3]) and soft.is_stamped_rows(b[4]),
    "get": lambda b: len(b) >= 4 and (type(b[3]) is int or soft.is_vector(b[3])) or len(b) == 3,
    "renew": lambda b: rows(b[3], "ss"),
    "ask": lambda b: rows((b[5][:4],), "sssi"),
    "opr": lambda b: (
        len(b[2]) >= 1
        and type(b[2][0]) is str
        and (
            b[2][0] not in ("ok", "refuse", "elsewhere")
            or rows((b[2],), {"ok": "svs" if len(b[2]) == 3 else "sv", "refuse": "sis", "elsewhere": "ss"}[b[2][0]])
        )
    ),
    "news": lambda b: rows(b[3], "sv?") and (len(b) == 6 or soft.is_delta(b[6])),
    "snap": lambda b: rows(b[4], "sv?"),
    "repl": lambda b: rows(b[5], "sv?"),
    "items": lambda b: rows(b[4], "sv?"),
    "op": lambda b: type(next(iter(b[3]), None)) is str and sound_op(b[3]),
    "fence": lambda b: b[2][:1] in (("evac",), ("reopen",)) and rows((b[2][1:],), OPS[b[2][0]]),
}

OPS = {"config": "v?", "table": "ii?s", "read": "", "evac": "sb", "reopen": "s", "duty": "ssiss", "drop": "st"}
FENCED_OPERATIONS = ("evac", "reopen")  # they carry the version that they rest on behind their own fields (design 5.4)


def sound_op(op):
    if op[:1] == ("duties",):
        return len(op) == 2 and type(op[1]) is tuple and rows(op[1], OPS["duty"])
    if not op or op[0] not in OPS:
        return False
    shape = OPS[op[0]]
    return rows((op[1:],), shape) or op[0] in FENCED_OPERATIONS and rows((op[1:],), shape + "v")


def is_valid_message(body):
    return sound(body) and DEEP.get(body[0], lambda b: True)(body)
