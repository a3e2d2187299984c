"""When a member seeks a new view, and which (design 5.4, 5.9). Pure: what is known comes in."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import Any

from . import register as rg
from . import spread
from .heartbeat import Peers
from .spread import Places, Tolerance
from .view import View


def why(
    *, me: str, disk: str, view: View | None, peers: Peers, sealed: int, fit: bool, torn: bool, fair: bool, now: timedelta
) -> str | None:
    """What is wrong with the view, as one of its members sees it; None if nothing is.

    fair: have the others had the time to be heard?
    """
    if view is None or me not in rg.members(view) or not fit:
        return None
    disks = rg.disks(view)
    if disks.get(me) != disk:
        return None
    for name in view.backups if me == view.primary else (view.primary,):  # backups watch the primary alone
        if not peers.is_up(name, now):
            if fair:
                return "silent"
        elif peers.disk(name) != disks[name]:
            return "emptied"
        if peers.sealed(name) >= view.epoch:
            return "sealed"
    if sealed >= view.epoch:
        return "sealed"
    return "torn" if torn else None


def live(*, me: str, disk: str, peers: Peers, now: timedelta, names: Iterable[str], steady_for: timedelta | None = None) -> dict[str, str]:
    """Cores that may be named in a view now: name -> disk. steady_for: only those that were up without a break so long."""
    found = {me: disk}
    for name in names:
        if peers.is_up(name, now) if steady_for is None else peers.is_up_for(name, now, steady_for):
            found[name] = peers.table[name].disk
    return found


def first(*, me: str, disk: str, cores: Collection[str], peers: Peers, places: Places, tolerance: Tolerance, now: timedelta) -> View | None:
    """The first view, when every core of the settings says that it is empty (design 5.5)."""
    others = [name for name in cores if name != me]
    if me != min(cores) or not all(peers.is_up(name, now) and peers.is_blank(name) for name in others):
        return None
    disks = {me: disk, **{name: peers.table[name].disk for name in others}}
    backups = spread.backups(me=me, names=disks, was=(), places=places, tolerance=tolerance)
    return View(1, me, backups, tuple(sorted(disks.items()))) if backups else None


def after(
    *, me: str, view: View, here: Mapping[str, str], places: Places, tolerance: Tolerance, names: Iterable[str] | None = None
) -> View | None:
    """The view that member `me` wants after `view`, with the live cores `here`; None where it cannot be.

    names: the witnesses wanted; by default those there are, each with the disk that it has now.
    """
    was = rg.disks(view)
    disks = {name: here[name] if name in here else was[name] for name in names or was}
    backups = spread.backups(
        me=me,
        names=[name for name in here if name in disks],
        places=places,
        tolerance=tolerance,
        was=[name for name in rg.members(view) if here.get(name) == was.get(name)],
    )
    if backups is None or len(backups) < min(spread.count(tolerance), len(disks) // 2):
        return None
    return View(view.epoch + 1, me, backups, tuple(sorted(disks.items())))


def better(
    *,
    me: str,
    disk: str,
    view: View,
    peers: Peers,
    names: Iterable[str],
    places: Places,
    tolerance: Tolerance,
    awake_since: timedelta,
    tuning: Mapping[str, Any],
    now: timedelta,
) -> View | None:
    """What the primary of a view that works would rather have; None where it is content."""
    was = rg.disks(view)
    far = [name for name in was if name != me and not peers.is_up(name, now)]
    gone = {name for name in far if peers.is_silent(name, now, awake_since, tuning["core_forget"])}
    if any(not peers.is_silent(name, now, awake_since, tuning["takeover"] * 2) for name in far):
        return None  # it may be back in a moment
    here = live(me=me, disk=disk, peers=peers, now=now, names=names, steady_for=tuning["settle"])
    if sum(here.get(name) == held for name, held in was.items()) < rg.majority(len(was)):
        return None
    wanted = spread.witnesses(was=tuple(was), live=here, gone=gone, places=places, tolerance=tolerance)
    new = after(me=me, view=view, here=here, places=places, tolerance=tolerance, names=wanted)
    if new is None:
        return None

    def worth(backups: tuple[str, ...]) -> tuple[int, int]:
        return sum(spread.bears((me, *backups), need=1, places=places, tolerance=tolerance)), len(backups)

    return new if new.witnesses != view.witnesses or worth(new.backups) > worth(view.backups) else None
