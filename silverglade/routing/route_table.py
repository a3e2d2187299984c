"""Which route a request takes (design 15.2): a table made once per configuration."""

from ..membership.rendezvous import hash_score


def table(cfg, /):
    """host -> (its prefixes' lengths, longest first; prefix -> route)."""
    t = {}
    for r in (cfg or {}).get("routes", ()):
        t.setdefault(r["host"].lower(), {})[r["prefix"]] = r
    return {h: (tuple(sorted({len(p) for p in d}, reverse=True)), d) for h, d in t.items()}


def find_route(tab, host, path, /):
    """The route of that host whose prefix begins the path and is longest, or None.

    Costs one look-up for each length of prefix that the host has, however many routes there are.
    """
    lens, d = tab.get(host, ((), {}))
    for n in lens:
        if n <= len(path) and (r := d.get(path[:n])):
            return r
    return None


def service(route, key, /):
    """One service by the weights: every daemon that is asked with the same key says the same."""
    ss = route["shares"]
    if len(ss) == 1:
        return ss[0]["service"]
    at = int.from_bytes(hash_score("share", key), "big") / 2**64 * sum(s["weight"] for s in ss)
    for s in ss:
        at -= s["weight"]
        if at < 0:
            return s["service"]
    return next(s["service"] for s in reversed(ss) if s["weight"] > 0)
