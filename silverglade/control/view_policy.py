"""Policy of view changes (design 5.4, 5.9): when a member proposes a new view, and which one. All functions are pure."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta

from . import placement, register
from .peers import Peers
from .placement import Places, Tolerance
from .view import View, members
from .view import disks as disks_of


def view_problem(
    *,
    own_name: str,
    disk: str,
    view: View | None,
    peers: Peers,
    sealed: int,
    eligible: bool,
    store_incomplete: bool,
    grace_elapsed: bool,
    now: timedelta,
) -> str | None:
    """Return the fault of the view that one of its members detects; None if there is none.

    A core that is not an eligible member of the view, with the disk that the view names, gets None too.

    :param eligible: whether this core's disk accepts writes and the core is not leaving.
    :param store_incomplete: whether the store on this core's disk is incomplete.
    :param grace_elapsed: whether the other members have had time to send a heartbeat.
    :returns: "silent" (a monitored member is down), "emptied" (it has another disk), "sealed" (the epoch is sealed) or "torn" (the
        store on this core's disk is incomplete).
    """
    if view is None or own_name not in members(view) or not eligible:
        return None
    disks = disks_of(view)
    if disks.get(own_name) != disk:
        return None
    for name in view.backups if own_name == view.primary else (view.primary,):  # backups monitor only the primary
        if not peers.is_up(name, now):
            if grace_elapsed:
                return "silent"
        elif peers.disk(name) != disks[name]:
            return "emptied"
        if peers.sealed(name) >= view.epoch:
            return "sealed"
    if sealed >= view.epoch:
        return "sealed"
    return "torn" if store_incomplete else None


def live_disks(*, own_name: str, disk: str, peers: Peers, now: timedelta, names: Iterable[str]) -> dict[str, str]:
    """Return the cores that a view may name now, this one included, with their disk ids."""
    return {own_name: disk, **{name: peers.table[name].disk for name in names if peers.is_up(name, now)}}


def first_view(
    *, own_name: str, disk: str, cores: Collection[str], peers: Peers, places: Places, tolerance: Tolerance, now: timedelta
) -> View | None:
    """Return the first view if every configured core reports that its disk is empty (design 5.5), else None.

    Only the configured core with the lowest name forms it.
    """
    others = [name for name in cores if name != own_name]
    if own_name != min(cores) or not all(peers.is_up(name, now) and peers.can_form_first_view(name) for name in others):
        return None
    disks = {own_name: disk, **{name: peers.table[name].disk for name in others}}
    backups = placement.choose_backups(own_name=own_name, names=disks, current=(), places=places, tolerance=tolerance)
    return View(1, own_name, backups, tuple(sorted(disks.items()))) if backups else None


def next_view(
    *, own_name: str, view: View, live: Mapping[str, str], places: Places, tolerance: Tolerance, names: Iterable[str] | None = None
) -> View | None:
    """Return the successor of `view` with `own_name` as primary; None if too few cores are live.

    :param live: the live cores, with their disk ids.
    :param names: the witnesses of the new view; those of `view` by default. Each is named with its present disk.
    """
    current = disks_of(view)
    disks = {name: live[name] if name in live else current[name] for name in names or current}
    backups = placement.choose_backups(
        own_name=own_name,
        names=[name for name in live if name in disks],
        places=places,
        tolerance=tolerance,
        current=[name for name in members(view) if live.get(name) == current.get(name)],
    )
    if backups is None or len(backups) < min(placement.backup_count(tolerance), len(disks) // 2):
        return None
    return View(view.epoch + 1, own_name, backups, tuple(sorted(disks.items())))


def next_witnesses(
    *,
    view: View,
    live: Mapping[str, str],
    peers: Peers,
    places: Places,
    tolerance: Tolerance,
    listening_since: Callable[[str], timedelta],
    leaving: Collection[str],
    forget: timedelta,
    now: timedelta,
) -> tuple[str, ...] | None:
    """Return the witnesses of the view after `view`; None while a witness that is not live may still return shortly.

    :param live: the live cores, with their disk ids.
    :param listening_since: returns since when heartbeats of a core would have reached this one.
    :param leaving: the cores that announced their departure; the view change does not wait for their return.
    :param forget: a witness that is silent for this long is removed even if no live core can replace it.
    """
    current = disks_of(view)
    away = [name for name in current if name not in live]
    if any(name not in leaving and not peers.is_lost(name, now, listening_since(name)) for name in away):
        return None
    gone = {name for name in away if peers.is_silent(name, now, listening_since(name), forget)}
    return placement.choose_witnesses(current=tuple(current), live=live, gone=gone, leaving=leaving, places=places, tolerance=tolerance)


def better_view(
    *, own_name: str, view: View, live: Mapping[str, str], places: Places, tolerance: Tolerance, wanted: tuple[str, ...] | None
) -> View | None:
    """Return a view that the primary of a working view should change to; None if there is no better one.

    :param wanted: the witnesses of the new view, as `next_witnesses` returned them; None while they are undecided.
    """
    current = disks_of(view)
    if wanted is None or sum(live.get(name) == held for name, held in current.items()) < register.majority(len(current)):
        return None
    new = next_view(own_name=own_name, view=view, live=live, places=places, tolerance=tolerance, names=wanted)
    if new is None:
        return None

    def score(backups: tuple[str, ...]) -> tuple[int, int]:
        return sum(placement.losses_tolerated((own_name, *backups), need=1, places=places, tolerance=tolerance)), len(backups)

    return new if new.witnesses != view.witnesses or score(new.backups) > score(view.backups) else None


def may_exit(*, own_name: str, view: View | None, staying: Collection[str], places: Places, tolerance: Tolerance) -> bool:
    """Return whether a core that leaves may exit: not while its view still depends on it.

    A member is replaced once a later view is chosen, whose members hold everything that this one holds. A witness is replaced
    once a later view no longer names it.

    :param staying: the other known cores that are not leaving. If all cores leave, none waits for another.
    """
    if view is None or not staying:
        return True
    if own_name in members(view):
        return False
    current = tuple(disks_of(view))
    return own_name not in current or own_name in placement.choose_witnesses(
        current=current, live=staying, gone=(), leaving=(own_name,), places=places, tolerance=tolerance
    )
