"""Operators' calls under way at the daemon that took them, until the primary settles them (design 2.3, 5.4).

An operator whose call gets no answer goes elsewhere with it, or does something else. What its first daemon still does for
it must then not come after what was acknowledged meanwhile. A change that names a base is safe: it is taken on that base
alone. One that names none (an evacuation has no body) gets one here, in two steps:

1. `fence`: the daemon asks the primary which version the change's matter has (book.fence). The answer counts only if
   it comes while the caller is surely still there: before `until`, with its connection open, and in no freeze.
2. `op`: the change goes to the primary with that version, and is taken only if nothing has changed the matter since.

So all that was acknowledged after the caller left was taken after step 1, made a later version, and fences the change out,
whenever it arrives. No clock but the daemon's own is read, and no message's age is guessed. An answer that was too old
makes the change stale, never wrong; so the primary gives it from memory, without asking its backups.
"""

from dataclasses import dataclass
from datetime import timedelta

from ..runtime.effects import ZERO, send
from ..transport.message_schemas import FENCED_OPERATIONS
from .schema import key_digest

NOT_TAKEN, UNKNOWN_OUTCOME, OK = 504, 503, 100


def reply(call_id, code, **fields):
    return ("reply", call_id, code, fields)


def identity(op):
    """What a change says, whoever sends it: a table by its text, since each daemon makes its own configuration of that."""
    return key_digest(repr(op if op[0] != "table" else ("table", op[1], op[2], op[4])))


@dataclass(slots=True)
class Call:
    """One call. `base` is what step 1 brought; `until`: its caller may have gone after that, so that step 1 is over."""

    call_id: str | None
    change: str
    op: tuple
    key: str
    born: timedelta
    until: timedelta
    sent_at: timedelta
    sent_to: str = ""
    asked: bool = False
    base: tuple | None = None

    @property
    def wants_base(self):
        return self.op[0] in FENCED_OPERATIONS and self.base is None

    def message(self, number):
        if self.wants_base:
            return ("fence", number, self.op)
        return ("op", number, self.change, self.op if self.base is None else (*self.op, self.base), self.key)


class Calls:
    """Every call under way here. Methods put effects into `out`."""

    def __init__(self, *, opt, rng, primary):
        self.opt, self.rng, self.primary = opt, rng, primary
        self.under_way, self.undated = {}, ZERO

    def begin(self, call_id, change, op, now, out, wait=None):
        """wait: how long its caller said that it stays."""
        if op[0] in FENCED_OPERATIONS and now < self.undated:  # it may have waited in the kernel while this daemon was frozen
            out.append(reply(call_id, NOT_TAKEN, change=change))
            return
        number = self.rng.getrandbits(48)
        until = now + min(wait or self.opt["caller_wait"], self.opt["op_wait"])
        self.under_way[number] = Call(call_id, change, op, identity(op), now, until, now)
        self.push(number, now, out)

    def begin_own(self, op, now, out):
        """An op of this daemon itself; one at a time."""
        if not any(c.call_id is None for c in self.under_way.values()):
            self.begin(None, "", op, now, out)

    def push(self, number, now, out):
        call = self.under_way[number]
        to = call.sent_to or self.primary()
        if to:
            call.asked, call.sent_at, call.sent_to = True, now, to
            out.append(send(to, *call.message(number)))

    def fenced(self, number, base, now, out):
        """Step 1 is answered."""
        call = self.under_way.get(number)
        if call is None or not call.wants_base:
            return
        if now > call.until:
            self.settle(number, ("unknown",), out)
            return
        call.base = base
        self.push(number, now, out)

    def answered(self, number, sender, result, now, out):
        """The primary's answer, or a word of where it is."""
        call = self.under_way.get(number)
        if call is None:
            return
        match result:
            case ("elsewhere", primary):
                if primary and primary != sender and call.sent_to != primary:
                    call.sent_to = primary
                    self.push(number, now, out)
            case ("unknown",) if call.change:
                pass  # asked on, by the change's id
            case ("stale",) if call.op[0] in FENCED_OPERATIONS and now <= call.until:
                call.base = None  # another change came between, and the caller is still there
                self.push(number, now, out)
            case _:
                self.settle(number, result, out)

    def settle(self, number, result, out):
        call = self.under_way.pop(number)
        if call.call_id is None:
            return
        match result:
            case ("ok", version):
                out.append(reply(call.call_id, OK, version=list(version), change=call.change))
            case ("ok", version, source):
                out.append(reply(call.call_id, OK, version=list(version), change=call.change, source=source))
            case ("refuse", code, detail):
                out.append(reply(call.call_id, code, detail=detail, change=call.change))
            case _:
                out.append(reply(call.call_id, UNKNOWN_OUTCOME if call.asked else NOT_TAKEN, change=call.change))

    def left(self, call_id):
        """Its caller has closed the connection: nothing more is done for it."""
        for number in [n for n, c in self.under_way.items() if c.call_id == call_id]:
            del self.under_way[number]

    def froze(self, now, out):
        """This daemon stood still: whose base is not known yet may have lost its caller, and so may what is read next."""
        self.undated = now + self.opt["beat"]
        for number in [n for n, c in self.under_way.items() if c.wants_base]:
            self.settle(number, ("unknown",), out)

    def pulse(self, now, out):
        for number, call in list(self.under_way.items()):
            if now - call.born > self.opt["op_wait"] or call.wants_base and now > call.until:
                self.settle(number, ("unknown",), out)
            elif now - call.sent_at > self.opt["beat"]:
                call.sent_to = ""  # whoever is primary by now
                self.push(number, now, out)
