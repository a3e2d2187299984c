"""`silverglade restore` (design 5.8): the operator's deliberate way when two cores are lost.

Works on the stopped core's folder. It makes that core the sole source: its store is kept, the
register is set to a view of a far higher epoch with fresh partners, which must come up empty.
"""

from ..control import register as rg
from ..control.view import Ballot, View
from ..runtime.errors import InvalidCallError
from ..server.disk import DataFolder

LEAP = 1000


def parsers(sub):
    p = sub.add_parser("restore", help="rebuild control from the one core that is left (stopped)")
    p.add_argument("--data", required=True, help="the data folder of the core that is left")
    p.add_argument("--name", required=True, help="its name")
    p.add_argument("--partner", required=True, help="CORE=DISK of an emptied core, as its log's start line says")
    p.add_argument("--third", required=True, help="CORE=DISK of the other emptied core")
    p.add_argument("--yes", action="store_true", help="changes acknowledged by the lost cores alone may be gone")


def plan(saved, *, name, disk, partner, third):
    """-> the writes that make this core primary of a new view."""
    reg = rg.read(saved["meta"])
    e = max(rg.epoch(reg.view), rg.epoch(reg.base), saved["meta"].get("recruited", 0)) + LEAP
    new = View(e, name, (partner[0],), tuple(sorted([(name, disk), partner, third])))
    reg = rg.Register(promised=Ballot(reg.promised.number + LEAP, name), base=new)
    return [("put", "meta", "reg", reg.stored()), ("put", "meta", "recruited", e)], e


def run(a):
    pair = []
    for s in (a.partner, a.third):
        c, _, d = s.partition("=")
        if not c or not d:
            raise InvalidCallError(f"{s}: wants CORE=DISK")
        pair.append((c, d))
    if len({a.name, pair[0][0], pair[1][0]}) != 3:
        raise InvalidCallError("three different cores are wanted")
    if not a.yes:
        raise InvalidCallError("say --yes: this overrides the other two cores")
    s = DataFolder(folder=a.data, name=a.name)
    ops, e = plan(s.load(), name=a.name, disk=s.id, partner=pair[0], third=pair[1])
    s.write(ops)
    s.close()
    print(f"view {e}: {a.name} primary, {pair[0][0]} backup; start this core, then the two empty ones")
    return 0
