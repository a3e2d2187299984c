"""View changes (design 5.4, 5.9): taking a chosen view, and seeking the next."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from functools import partial

from . import plan, replication, store
from . import register as rg
from .context import CoreContext
from .messages import Accepted, ChosenView, Promise, Rejected, Snapshot
from .seek import Action, Ask, CopyTo, Goal, Learn, Seal, Seeker
from .state import BetterView, StoreOnDisk
from .view import View
from .writes import EpochSealed, keep


def adopt(core: CoreContext, view: View | None, now: timedelta) -> None:
    """Take a chosen view; lower epochs are refused from here on."""
    state = core.state
    if view is None or view.epoch <= core.epoch:
        return
    state.register, state.view = rg.based(state.register, view), view
    core.log("view", epoch=view.epoch, primary=view.primary, backups=",".join(view.backups))
    core.tell_view()
    core.write(keep(reg=state.register.stored()), None, now)
    state.seeker, state.opening, state.open_epoch, state.better = None, None, 0, None
    state.next_heartbeat = state.awake_since = now
    state.listening_since, state.seeking_since = state.seeking_since or now, None
    state.recruits_synced.clear()
    state.proofs.clear()
    state.snapshot_synced_by.clear()
    if core.led_view():
        core.write_whole_store(now)
    else:
        replication.abandon(core)


def on_chosen(core: CoreContext, view: View, now: timedelta) -> None:
    """The seeker's round has ended with a view that is chosen: all are told."""
    adopt(core, view, now)
    for name in core.others():
        core.send(name, ChosenView(view))


def why_seek(core: CoreContext, now: timedelta) -> str | None:
    """Why a member should seek a new view, or None (design 5.4)."""
    state, tuning = core.state, core.settings.tuning
    wrong = plan.why(
        me=core.me,
        disk=core.settings.disk,
        view=state.view,
        peers=state.peers,
        sealed=state.sealed,
        fit=state.writes.fit,
        torn=state.store_on_disk is StoreOnDisk.TORN and core.open_view() is not None,
        fair=now - state.awake_since > tuning["takeover"],
        now=now,
    )
    if wrong is None and state.better and now - state.better.since >= tuning["settle"]:
        return "better"
    return wrong


def listening_since(core: CoreContext, name: str) -> timedelta:
    """From when on a core would have been heard: all beat to the primary; to a backup the primary alone, unless it seeks."""
    state = core.state
    if core.led_view():
        return state.listening_since
    if state.view is not None and name == state.view.primary:
        return state.awake_since
    return state.seeking_since or state.awake_since


def live_cores(core: CoreContext, now: timedelta) -> dict[str, str]:
    """Those that may be named now. Of one that the roll has not placed nobody knows what would be lost together with it."""
    state, known = core.state, rg.disks(core.state.view)
    names = [name for name in core.others() if name in state.places or name in known]
    return plan.live(me=core.me, disk=core.settings.disk, peers=state.peers, now=now, names=names)


def wanted_witnesses(core: CoreContext, view: View, here: Mapping[str, str], now: timedelta) -> tuple[str, ...] | None:
    """The witnesses that the next view should have; None where that is not to be said now."""
    state, settings = core.state, core.settings
    return plan.witnesses(
        view=view,
        here=here,
        peers=state.peers,
        places=state.places,
        tolerance=settings.tolerance,
        listening_since=partial(listening_since, core),
        leaving=state.leaving,
        forget=settings.tuning["core_forget"],
        now=now,
    )


def look_for_better_view(core: CoreContext, now: timedelta) -> None:
    """The primary of a view that works looks for a better spread (design 5.9)."""
    state, view = core.state, core.open_view()
    here = live_cores(core, now)
    if here != state.live:
        state.live, state.live_since = here, now
    new = None
    if view is not None and state.writes.fit:
        wanted = wanted_witnesses(core, view, here, now)
        new = plan.better(me=core.me, view=view, here=here, places=state.places, tolerance=core.settings.tolerance, wanted=wanted)
    state.better = BetterView(state.live_since, new) if new else None


def goal(core: CoreContext, now: timedelta) -> Goal | None:
    """What a seeker should seek now, if anything."""
    state, settings = core.state, core.settings
    if state.view is None:
        return first_goal(core, now)
    if state.better and why_seek(core, now) == "better":
        new: View | None = state.better.view
    else:
        here = live_cores(core, now)
        wanted = wanted_witnesses(core, state.view, here, now)
        new = plan.after(me=core.me, view=state.view, places=state.places, tolerance=settings.tolerance, here=here, names=wanted)
    return Goal(state.view, new, new.backups) if new else None


def first_goal(core: CoreContext, now: timedelta) -> Goal | None:
    """The first view of all: a forming that was broken off is completed."""
    state, settings = core.state, core.settings
    if state.register.view is not None:
        return Goal(None, state.register.view, ())
    if not settings.may_form:
        return None
    new = plan.first(
        me=core.me,
        disk=settings.disk,
        cores=settings.named,
        peers=state.peers,
        places=state.places,
        tolerance=settings.tolerance,
        now=now,
    )
    return Goal(None, new, ()) if new else None


def start_or_stop_seeking(core: CoreContext, now: timedelta) -> None:
    """A member whose view does not work begins to seek another; one whose view works again stops."""
    state, why = core.state, why_seek(core, now)
    if state.seeker is None:
        if why or state.view is None:
            state.next_heartbeat = now  # so that all are heard before a plan is made
            state.seeking_since = state.seeking_since or now
            state.seeker = Seeker(due=now + core.settings.tuning["settle"] * patience(core, why))
    elif state.view is not None and not why:
        state.seeker = state.seeking_since = None


def patience(core: CoreContext, why: str | None) -> float:
    """How long to wait before the first attempt, in times of `settle`: one sealed by another is sought for already."""
    if why == "better":
        return 0
    sealed_by_other = why == "sealed" and core.state.sealed_by_me != core.epoch
    return core.rng.random() + sealed_by_other


def seek(core: CoreContext, now: timedelta) -> None:
    """A pulse of the seeker."""
    state, seeker = core.state, core.state.seeker
    if seeker is None:
        return
    seeker.highest = max(seeker.highest, state.register.promised)
    if seeker.is_due(now):
        wanted = goal(core, now)
        if wanted is None:
            seeker.due = now + core.settings.tuning["beat"]
            return
        carry_out(core, seeker.begin(wanted, now, core.rng), now)
    actions = seeker.advance(
        me=core.me,
        now=now,
        recruits_synced=state.recruits_synced,
        is_up=lambda name: state.peers.is_up(name, now),
        tuning=core.settings.tuning,
        rng=core.rng,
    )
    carry_out(core, actions, now)


def on_answer(core: CoreContext, sender: str, message: Promise | Accepted | Rejected, now: timedelta) -> None:
    """A witness answers the seeker's round."""
    seeker = core.state.seeker
    if seeker is not None:
        seeker.highest = max(seeker.highest, core.state.register.promised)
        carry_out(core, seeker.answer(sender, message, now, core.settings.tuning, core.rng), now)


def carry_out(core: CoreContext, actions: list[Action], now: timedelta) -> None:
    """Do what the seeker wants."""
    for action in actions:
        match action:
            case Seal(wanted, nonce):
                core.log("seek", epoch=wanted.view.epoch, recruits=",".join(wanted.recruits))
                seal(core, nonce, now)
            case CopyTo(recruits, epoch, nonce):
                snapshot = Snapshot(epoch, nonce, None, store.rows(core.state.store))
                for name in recruits:
                    core.send(name, snapshot)
            case Ask(witnesses, message):
                for name in witnesses:
                    core.send(name, message)
            case Learn(view):
                core.post("control", "chosen", view)


def seal(core: CoreContext, nonce: int, now: timedelta) -> None:
    """Take no more changes in this epoch; the seeker goes on when that is on disk."""
    state = core.state
    state.sealed = state.sealed_by_me = core.epoch
    core.write(keep(sealed=state.sealed), EpochSealed(nonce), now)


def on_sealed(core: CoreContext, written: EpochSealed, ok: bool) -> None:
    """The seal is on disk, or failed."""
    if ok and core.state.seeker is not None:
        core.state.seeker.seal_written(written.nonce)
