"""The small checker of typed dictionaries (design 8): every fault with its path."""

import ipaddress
from datetime import timedelta

MISSING = object()


class Kind:
    """A field's rule: a function (value, path, faults) -> value kept."""

    def __init__(self, fn, /, *, default=MISSING):
        self.fn, self.default = fn, default


def text(*, default=MISSING, least=1, most=200):
    def f(v, p, bad):
        if not isinstance(v, str) or not least <= len(v) <= most:
            bad.append((p, f"wants text of {least} to {most} letters"))
        return v

    return Kind(f, default=default)


def integer(*, default=MISSING, least=0, most=2**53):
    def f(v, p, bad):
        if type(v) is not int or not least <= v <= most:
            bad.append((p, f"wants a whole number from {least} to {most}"))
        return v

    return Kind(f, default=default)


def number(*, default=MISSING, least=0.0, most=1e12):
    def f(v, p, bad):
        if type(v) not in (int, float) or not least <= v <= most:
            bad.append((p, f"wants a number from {least} to {most}"))
            return v
        return float(v)

    return Kind(f, default=default)


def duration(*, default=MISSING, most=86400.0):
    """Seconds in, timedelta kept."""

    def f(v, p, bad):
        if isinstance(v, timedelta):
            return v
        if type(v) not in (int, float) or not 0 < v <= most:
            bad.append((p, f"wants seconds above 0, at most {most:g}"))
            return v
        return timedelta(seconds=v)

    return Kind(f, default=default)


def boolean(*, default=MISSING):
    def f(v, p, bad):
        if type(v) is not bool:
            bad.append((p, "wants true or false"))
        return v

    return Kind(f, default=default)


def address(*, default=MISSING):
    def f(v, p, bad):
        try:
            ip, port = v.rsplit(":", 1)
            ipaddress.ip_address(ip)
            if not 0 < int(port) < 65536:
                raise ValueError
        except (ValueError, AttributeError):
            bad.append((p, "wants an address IP:PORT"))
        return v

    return Kind(f, default=default)


def one_of(*words, default=MISSING):
    def f(v, p, bad):
        if v not in words:
            bad.append((p, "wants one of " + ", ".join(words)))
        return v

    return Kind(f, default=default)


def list_of(kind, *, default=MISSING, least=0, unique=False):
    def f(v, p, bad):
        if not isinstance(v, (list, tuple)):
            bad.append((p, "wants a list"))
            return v
        if len(v) < least:
            bad.append((p, f"wants at least {least}"))
        out = tuple(kind.fn(x, f"{p}[{i}]", bad) for i, x in enumerate(v))
        if unique and len({repr(x) for x in out}) < len(out):
            bad.append((p, "has the same entry twice"))
        return out

    return Kind(f, default=default)


def mapping_of(kind, *, default=MISSING, least=0):
    """A dictionary from names to values of one kind."""

    def f(v, p, bad):
        if not isinstance(v, dict):
            bad.append((p, "wants a table"))
            return v
        if len(v) < least:
            bad.append((p, f"wants at least {least}"))
        for k in v:
            if not isinstance(k, str) or not 0 < len(k) <= 100 or "/" in k:
                bad.append((f"{p}.{k}", "wants a name of 1 to 100 letters without /"))
        return {k: kind.fn(x, f"{p}.{k}", bad) for k, x in v.items()}

    return Kind(f, default=default)


def record(spec, *, default=MISSING):
    def f(v, p, bad):
        if not isinstance(v, dict):
            bad.append((p, "wants a table"))
            return v
        out = {}
        for k in v:
            if k not in spec:
                bad.append((f"{p}.{k}".lstrip("."), "unknown key"))
        for k, kind in spec.items():
            q = f"{p}.{k}".lstrip(".")
            if k in v:
                out[k] = kind.fn(v[k], q, bad)
            elif kind.default is MISSING:
                bad.append((q, "missing"))
            else:
                out[k] = kind.default
        return out

    return Kind(f, default=default)


def validate(kind, v):
    """-> (value kept, tuple of (path, sentence))."""
    bad = []
    out = kind.fn(v, "", bad)
    return out, tuple(bad)
