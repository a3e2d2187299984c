"""One key=value line for each event (design 8.3)."""
import sys

import picologging


def setup(*, level="INFO", stream=None):
    h = picologging.StreamHandler(stream or sys.stderr)
    h.setFormatter(picologging.Formatter("%(asctime)s %(message)s"))
    lg = picologging.getLogger("silverglade")
    lg.handlers = [h]
    lg.setLevel(getattr(picologging, level))
    return lg


def quoted(v):
    s = str(v)
    if s and not any(c in s for c in " \"=\n\\"):
        return s
    return '"' + s.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def line(event, pairs):
    return " ".join([f"event={event}"] + [f"{k}={quoted(v)}" for k, v in pairs])
