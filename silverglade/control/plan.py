"""When a member seeks a new view, and which one (design 5.4, 5.9). Pure functions of what a core knows."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta

from . import register, spread
from .heartbeat import Peers
from .spread import Places, Tolerance
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
    torn: bool,
    grace_elapsed: bool,
    now: timedelta,
) -> str | None:
    """Return what is wrong with the view, as one of its members sees it; None if nothing is.

    :param able: whether this core's disk takes writes, and it does not leave.
    :param torn: whether the store on this core's disk is incomplete.
    :param fair: whether the others have had the time to be heard.
    """
    if view is None or own_name not in members(view) or not eligible:
        return None
    disks = disks_of(view)
    if disks.get(own_name) != disk:
        return None
    for name in view.backups if own_name == view.primary else (view.primary,):  # backups watch the primary alone
        if not peers.is_up(name, now):
            if grace_elapsed:
                return "silent"
        elif peers.disk(name) != disks[name]:
            return "emptied"
        if peers.sealed(name) >= view.epoch:
            return "sealed"
    if sealed >= view.epoch:
        return "sealed"
    return "torn" if torn else None


def live_disks(*, own_name: str, disk: str, peers: Peers, now: timedelta, names: Iterable[str]) -> dict[str, str]:
    """Return the cores that may be named in a view now, with their disks."""
    return {own_name: disk, **{name: peers.table[name].disk for name in names if peers.is_up(name, now)}}


def first_view(
    *, own_name: str, disk: str, cores: Collection[str], peers: Peers, places: Places, tolerance: Tolerance, now: timedelta
) -> View | None:
    """Return the first view, when every core of the settings says that its disk is empty (design 5.5); else None."""
    others = [name for name in cores if name != own_name]
    if own_name != min(cores) or not all(peers.is_up(name, now) and peers.can_form_first_view(name) for name in others):
        return None
    disks = {own_name: disk, **{name: peers.table[name].disk for name in others}}
    backups = spread.choose_backups(own_name=own_name, names=disks, current=(), places=places, tolerance=tolerance)
    return View(1, own_name, backups, tuple(sorted(disks.items()))) if backups else None


def next_view(
    *, own_name: str, view: View, live: Mapping[str, str], places: Places, tolerance: Tolerance, names: Iterable[str] | None = None
) -> View | None:
    """Return the view that member `own_name` wants after `view`; None where there are too few live cores for it.

    :param here: the live cores, with their disks.
    :param names: the witnesses wanted; by default those there are, each with the disk that it has now.
    """
    current = disks_of(view)
    disks = {name: live[name] if name in live else current[name] for name in names or current}
    backups = spread.choose_backups(
        own_name=own_name,
        names=[name for name in live if name in disks],
        places=places,
        tolerance=tolerance,
        current=[name for name in members(view) if live.get(name) == current.get(name)],
    )
    if backups is None or len(backups) < min(spread.backup_count(tolerance), len(disks) // 2):
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
    """Return the witnesses wanted after `view`; None while one that is away may be back in a moment.

    :param here: the live cores, with their disks.
    :param listening_since: from when on a core would have been heard.
    :param leaving: the cores that said that they leave: nobody waits for them.
    :param forget: one that is silent for so long goes also where no live core takes its place.
    """
    current = disks_of(view)
    away = [name for name in current if name not in live]
    if any(name not in leaving and not peers.is_lost(name, now, listening_since(name)) for name in away):
        return None
    gone = {name for name in away if peers.is_silent(name, now, listening_since(name), forget)}
    return spread.choose_witnesses(current=tuple(current), live=live, gone=gone, leaving=leaving, places=places, tolerance=tolerance)


def better_view(
    *, own_name: str, view: View, live: Mapping[str, str], places: Places, tolerance: Tolerance, wanted: tuple[str, ...] | None
) -> View | None:
    """Return the view that the primary of a view that works would rather have; None where there is no better one.

    :param wanted: the witnesses that it should have, or None while that is not known.
    """
    current = disks_of(view)
    if wanted is None or sum(live.get(name) == held for name, held in current.items()) < register.majority(len(current)):
        return None
    new = next_view(own_name=own_name, view=view, live=live, places=places, tolerance=tolerance, names=wanted)
    if new is None:
        return None

    def score(backups: tuple[str, ...]) -> tuple[int, int]:
        return sum(spread.losses_tolerated((own_name, *backups), need=1, places=places, tolerance=tolerance)), len(backups)

    return new if new.witnesses != view.witnesses or score(new.backups) > score(view.backups) else None


def may_exit(*, own_name: str, view: View | None, staying: Collection[str], places: Places, tolerance: Tolerance) -> bool:
    """Tell whether a core that leaves may end: not while its view rests on it.

    A member's place is taken once a later view is chosen, whose members hold all that this one holds; a witness's once it is
    named no more.

    :param staying: the other cores that are there and do not leave; where all leave, none waits for another.
    """
    if view is None or not staying:
        return True
    if own_name in members(view):
        return False
    current = tuple(disks_of(view))
    return own_name not in current or own_name in spread.choose_witnesses(
        current=current, live=staying, gone=(), leaving=(own_name,), places=places, tolerance=tolerance
    )
