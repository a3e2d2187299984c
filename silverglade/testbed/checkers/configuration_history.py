"""What operators sent to the forwarding path, and what may be in force at a moment (design 15)."""

from ...routing import route_table as routes


class ConfigHistory:
    """Configurations by their number; each stands as asked, taken, refused or unknown."""

    def __init__(self):
        self.puts = []  # dict(cfg, number, base, valid, asked, acked, refused, table)

    def asked(self, now, cfg, *, base, valid=True, number=None):
        """An operator sends a configuration; -> its record, for told()."""
        p = dict(
            cfg=cfg,
            number=cfg["number"] if number is None else number,
            base=base,
            valid=valid,
            asked=now,
            acked=None,
            refused=False,
            table=routes.build_route_table(cfg) if valid else {},
        )
        self.puts.append(p)
        return p

    def told(self, now, p, ok):
        """The operator's outcome: True taken, False refused, None unknown. -> a broken rule's words, or None."""
        if ok is False:
            p["refused"] = p["acked"] is None
            return None
        if ok is None:
            return None
        p["acked"] = p["acked"] or now
        if not p["valid"]:
            return "invalid one acknowledged"
        if any(x is not p and x["acked"] and x["base"] == p["base"] and x["number"] != p["number"] for x in self.puts):
            return "two on one base acknowledged"
        return None

    def sound(self):
        """Those that may ever be in force: what lost its race to an acknowledged one may not."""
        won = {p["base"]: p["number"] for p in self.puts if p["acked"]}
        return [p for p in self.puts if p["valid"] and not p["refused"] and won.get(p["base"], p["number"]) == p["number"]]

    @staticmethod
    def allows(p, host, path):
        """-> names of services to which it lets this go; none: there is no route."""
        r = routes.find_route(p["table"], host, path)
        return frozenset(s["service"] for s in r["shares"] if s["weight"] > 0) if r else frozenset()

    def homes(self, host, path, least=None):
        """Regions in which it may be served under some configuration of that number or above; None: any."""
        out = set()
        for p in self.sound():
            if least is not None and p["number"] < least:
                continue
            r = routes.find_route(p["table"], host, path)
            if r and not r["homes"]:
                return None
            out |= set(r["homes"]) if r else set()
        return out

    def tries(self, host, path):
        """To how many replicas one try may be sent at most."""
        return max((r["tries"] for p in self.sound() if (r := routes.find_route(p["table"], host, path))), default=1)

    def newest(self, by):
        """The highest number acknowledged by then."""
        return max((p["number"] for p in self.puts if p["acked"] is not None and p["acked"] <= by), default=None)

    def handled(self, host, path, service):
        """-> (numbers that allow it to be handled so, was it so by any that was ever sent?). service None: no route."""

        def so(p):
            got = self.allows(p, host, path)
            return service in got if service is not None else not got

        return [p["number"] for p in self.sound() if so(p)], any(so(p) for p in self.puts if p["valid"])
