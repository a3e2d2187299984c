"""When a member seeks a new view, and which (design 5.4, 5.9). Pure: what is known comes in."""

from . import register as rg
from . import spread


def why(*, me, disk, view, peers, sealed, fit, torn, fair, now):
    """What is wrong with the view, as one of its members sees it; None if nothing is.

    fair: have the others had the time to be heard?
    """
    if not view or me not in rg.members(view) or not fit or rg.disks(view).get(me) != disk:
        return None
    ds = rg.disks(view)
    for c in view[2] if me == view[1] else view[1:2]:  # backups watch the primary alone
        if not peers.up(c, now):
            if fair:
                return "silent"
        elif peers.get(c, "disk") != ds[c]:
            return "emptied"
        if peers.get(c, "sealed", 0) >= view[0]:
            return "sealed"
    if sealed >= view[0]:
        return "sealed"
    return "torn" if torn else None


def live(*, me, disk, peers, now, names, t=None):
    """Cores that may be named in a view now: name -> disk. t: steady for so long."""
    return {me: disk, **{c: peers.get(c, "disk") for c in names if (peers.up(c, now) if t is None else peers.long(c, now, t))}}


def first(*, me, disk, cores, peers, places, tolerance, now):
    """The first view, when every core of the settings says that it is empty (design 5.5)."""
    if me != min(cores) or not all(peers.up(c, now) and peers.get(c, "blank") for c in cores if c != me):
        return None
    ds = {me: disk, **{c: peers.get(c, "disk") for c in cores if c != me}}
    bs = spread.backups(me=me, names=ds, was=(), places=places, tolerance=tolerance)
    return (1, me, bs, tuple(sorted(ds.items())))


def after(*, me, view, here, places, tolerance, names=None):
    """The view that member `me` wants after `view`, with the live cores `here`; None where it cannot be.

    names: the witnesses wanted; by default those there are, each with the disk that it has now.
    """
    was = rg.disks(view)
    ds = {c: here.get(c, was.get(c)) for c in names or was}
    bs = spread.backups(
        me=me,
        names=[c for c in here if c in ds],
        places=places,
        tolerance=tolerance,
        was=[c for c in rg.members(view) if here.get(c) == was.get(c)],
    )
    if bs is None or len(bs) < min(spread.count(tolerance), len(ds) // 2):
        return None
    return (view[0] + 1, me, bs, tuple(sorted(ds.items())))


def better(*, me, disk, view, peers, names, places, tolerance, awake, opt, now):
    """What the primary of a view that works would rather have; None where it is content."""
    was = rg.disks(view)
    far = [c for c in was if c != me and not peers.up(c, now)]
    gone = {c for c in far if peers.silent(c, now, awake, opt["core_forget"])}
    if any(not peers.silent(c, now, awake, opt["takeover"] * 2) for c in far):
        return None  # it may be back in a moment
    here = live(me=me, disk=disk, peers=peers, now=now, names=names, t=opt["settle"])
    if sum(here.get(c) == d for c, d in was.items()) < rg.majority(len(was)):
        return None
    names = spread.witnesses(was=tuple(was), live=here, gone=gone, places=places, tolerance=tolerance)
    new = after(me=me, view=view, here=here, places=places, tolerance=tolerance, names=names)
    if new is None:
        return None

    def worth(bs):
        return sum(spread.bears((me, *bs), need=1, places=places, tolerance=tolerance)), len(bs)

    return new if new[3] != view[3] or worth(new[2]) > worth(view[2]) else None
