"""A stream of events cut at its whole events, its bytes unchanged (design 15).

An event ends with an empty line; a line ends with CR, LF or both.
"""

CAP = 1024 * 1024
ENDS = b"\r\n"


def border(b, start=0):
    """Where the last whole event in b ends; 0 without one."""
    at = 0
    for pair in (b"\n\n", b"\n\r", b"\r\r"):
        i = b.rfind(pair, start)
        if i >= 0:
            at = max(at, i + 2 + (pair[1] == 13 and b[i + 2 : i + 3] == b"\n"))
    if not at and b[:1] in (b"\r", b"\n"):  # the rest of an empty line that came in two parts
        at = 2 if b[:2] == b"\r\n" else 1
    return at


class EventSplitter:
    """Bytes in, as many whole events as there are out; what is left of an event waits in `rest`."""

    def __init__(self, *, cap=CAP):
        self.rest, self.cap = b"", cap

    def feed(self, b):
        start = max(0, len(self.rest) - 2)
        if self.rest:
            b = self.rest + b
        at = border(b, start)
        self.rest = b[at:]
        if len(self.rest) > self.cap:
            raise ValueError("an event is too long")
        return b[:at] if self.rest else b


def last_id(b):
    """The value of the last id line in whole events; None without one."""
    at = max(b.rfind(b"\nid:"), b.rfind(b"\rid:"))
    if at < 0:
        if not b.startswith(b"id:"):
            return None
        at = -1
    m = at + 4
    end = m
    while end < len(b) and b[end] not in ENDS:
        end += 1
    v = b[m:end]
    return (v[1:] if v[:1] == b" " else v).decode("utf-8", "replace")


def beyond(b, last):
    """Whole events -> (those after the one with id `last`, whether one of them has an id)."""
    was, at = int(last) if last.isdigit() else -1, 0
    while at < len(b):
        end = first(b, at)
        n = last_id(b[at:end])
        if n is not None and n.isdigit() and int(n) > was:
            return b[at:], True
        at = end
    return b"", False


def first(b, at):
    """Where the event that begins at `at` ends."""
    empty = True
    while at < len(b):
        c = b[at]
        at += 1
        if c not in ENDS:
            empty = False
            continue
        if c == 13 and b[at : at + 1] == b"\n":
            at += 1
        if empty:
            return at
        empty = True
    return at
