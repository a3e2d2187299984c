"""View changes (design 5.4, 5.9): adopting a chosen view, and proposing the next one."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from functools import partial

from ..runtime.components import Component
from ..runtime.events import ViewChosen
from . import register, replication, store, view_policy
from .context import CoreContext
from .disk_writes import EpochSealed, meta_puts
from .messages import Accepted, ChosenView, Promise, Rejected, Snapshot
from .state import BetterView, StoreOnDisk
from .view import View, disks
from .view_proposer import Action, AdoptView, Seal, SendSnapshot, SendToWitnesses, ViewProposal, ViewProposer


def adopt(core: CoreContext, view: View | None, now: timedelta) -> None:
    """Adopt a view that is known to be chosen, unless the current one is as new; messages of lower epochs are refused from then on."""
    state = core.state
    if view is None or view.epoch <= core.epoch:
        return
    state.register, state.view = register.with_base(state.register, view), view
    witnesses = ",".join(f"{name}/{disk}" for name, disk in view.witnesses)
    core.log("view", epoch=view.epoch, primary=view.primary, backups=",".join(view.backups), witnesses=witnesses)
    core.publish_view()
    core.write(meta_puts(reg=state.register.stored()), None, now)
    state.view_proposer, state.opening_snapshot, state.open_epoch, state.better = None, None, 0, None
    state.next_heartbeat = state.awake_since = now
    state.listening_since, state.proposing_since = state.proposing_since or now, None
    state.recruits_synced.clear()
    state.proofs.clear()
    state.snapshot_synced_by.clear()
    if core.led_view():
        core.write_whole_store(now)
    else:
        replication.abandon_operations(core)


def on_chosen(core: CoreContext, view: View, now: timedelta) -> None:
    """Adopt a view that this core's own round found to be chosen, and announce it to all other cores."""
    adopt(core, view, now)
    for name in core.others():
        core.send(name, ChosenView(view))


def view_change_reason(core: CoreContext, now: timedelta) -> str | None:
    """Return the reason why this member should propose a new view; None if there is none (design 5.4).

    It is a result of `view_policy.view_problem`, or "better" if the primary prefers another view.
    """
    state, tuning = core.state, core.settings.tuning
    problem = view_policy.view_problem(
        own_name=core.name,
        disk=core.settings.disk,
        view=state.view,
        peers=state.peers,
        sealed=state.sealed,
        eligible=state.writes.is_eligible,
        store_incomplete=state.store_on_disk is StoreOnDisk.INCOMPLETE and core.open_view() is not None,
        grace_elapsed=now - state.awake_since > tuning["takeover"],
        now=now,
    )
    if problem is None and state.better and now - state.better.since >= tuning["settle"]:
        return "better"
    return problem


def listening_since(core: CoreContext, name: str) -> timedelta:
    """Return since when heartbeats of a core would have reached this one.

    All cores send heartbeats to the primary. A backup gets them only from the primary, unless the backup is trying to change the view.
    """
    state = core.state
    if core.led_view():
        return state.listening_since
    if state.view is not None and name == state.view.primary:
        return state.awake_since
    return state.proposing_since or state.awake_since


def live_cores(core: CoreContext, now: timedelta) -> dict[str, str]:
    """Return the cores that a view may name now, with their disk ids.

    A core of unknown zone is left out, since it is unknown which other cores might fail together with it.
    """
    state, known = core.state, disks(core.state.view)
    names = [name for name in core.others() if name in state.places or name in known]
    return view_policy.live_disks(own_name=core.name, disk=core.settings.disk, peers=state.peers, now=now, names=names)


def wanted_witnesses(core: CoreContext, view: View, live: Mapping[str, str], now: timedelta) -> tuple[str, ...] | None:
    """Return the witnesses that the next view should have; None while a witness that is not live may still return shortly."""
    state, settings = core.state, core.settings
    return view_policy.next_witnesses(
        view=view,
        live=live,
        peers=state.peers,
        places=state.places,
        tolerance=settings.tolerance,
        listening_since=partial(listening_since, core),
        leaving=state.leaving,
        forget=settings.tuning["core_forget"],
        now=now,
    )


def look_for_better_view(core: CoreContext, now: timedelta) -> None:
    """As the primary of a working view, look for a view that tolerates more losses (design 5.9)."""
    state, view = core.state, core.open_view()
    live = live_cores(core, now)
    if live != state.live:
        state.live, state.live_since = live, now
    new = None
    if view is not None and state.writes.is_eligible:
        wanted = wanted_witnesses(core, view, live, now)
        new = view_policy.better_view(
            own_name=core.name, view=view, live=live, places=state.places, tolerance=core.settings.tolerance, wanted=wanted
        )
    state.better = BetterView(state.live_since, new) if new else None


def next_proposal(core: CoreContext, now: timedelta) -> ViewProposal | None:
    """Return the proposal of the view that this core should lead next; None if there is none."""
    state, settings = core.state, core.settings
    if state.view is None:
        return first_proposal(core, now)
    if state.better and view_change_reason(core, now) == "better":
        new: View | None = state.better.view
    else:
        live = live_cores(core, now)
        wanted = wanted_witnesses(core, state.view, live, now)
        new = view_policy.next_view(
            own_name=core.name, view=state.view, places=state.places, tolerance=settings.tolerance, live=live, names=wanted
        )
    return ViewProposal(state.view, new, new.backups) if new else None


def first_proposal(core: CoreContext, now: timedelta) -> ViewProposal | None:
    """Return the proposal of the very first view; one that this core has already accepted as a witness is proposed again."""
    state, settings = core.state, core.settings
    if state.register.view is not None:
        return ViewProposal(None, state.register.view, ())
    if not settings.may_form:
        return None
    new = view_policy.first_view(
        own_name=core.name,
        disk=settings.disk,
        cores=settings.initial_cores,
        peers=state.peers,
        places=state.places,
        tolerance=settings.tolerance,
        now=now,
    )
    return ViewProposal(None, new, ()) if new else None


def start_or_stop_proposing(core: CoreContext, now: timedelta) -> None:
    """Start proposing another view if the current one does not work; stop once it works again. Called at each timer event."""
    state, reason = core.state, view_change_reason(core, now)
    if state.view_proposer is None:
        if reason or state.view is None:
            state.next_heartbeat = now  # exchange heartbeats with all cores before choosing a view
            state.proposing_since = state.proposing_since or now
            state.view_proposer = ViewProposer(next_attempt_at=now + core.settings.tuning["settle"] * first_attempt_delay(core, reason))
    elif state.view is not None and not reason:
        state.view_proposer = state.proposing_since = None


def first_attempt_delay(core: CoreContext, reason: str | None) -> float:
    """Return the delay before the first attempt, in multiples of the setting `settle`.

    If another member has sealed the epoch, it is already proposing a view, so this one waits longer.
    """
    if reason == "better":
        return 0
    sealed_by_other = reason == "sealed" and core.state.sealed_by_self != core.epoch
    return core.rng.random() + sealed_by_other


def advance_proposal(core: CoreContext, now: timedelta) -> None:
    """Start an attempt if one is due, and continue the current one. Called at each timer event."""
    state, proposer = core.state, core.state.view_proposer
    if proposer is None:
        return
    proposer.highest = max(proposer.highest, state.register.promised)
    if proposer.may_begin(now):
        proposal = next_proposal(core, now)
        if proposal is None:
            proposer.next_attempt_at = now + core.settings.tuning["beat"]
            return
        run_actions(core, proposer.begin(proposal, now, core.rng), now)
    actions = proposer.advance(
        own_name=core.name,
        now=now,
        recruits_synced=state.recruits_synced,
        is_up=lambda name: state.peers.is_up(name, now),
        tuning=core.settings.tuning,
        rng=core.rng,
    )
    run_actions(core, actions, now)


def on_answer(core: CoreContext, sender: str, message: Promise | Accepted | Rejected, now: timedelta) -> None:
    """Pass a witness's answer to the current round, if there is one."""
    proposer = core.state.view_proposer
    if proposer is not None:
        proposer.highest = max(proposer.highest, core.state.register.promised)
        run_actions(core, proposer.answer(sender, message, now, core.settings.tuning, core.rng), now)


def run_actions(core: CoreContext, actions: list[Action], now: timedelta) -> None:
    """Run the actions that the proposer returned."""
    for action in actions:
        match action:
            case Seal(proposal, nonce):
                core.log("seek", epoch=proposal.view.epoch, recruits=",".join(proposal.recruits))
                seal(core, nonce, now)
            case SendSnapshot(recruits, epoch, nonce):
                snapshot = Snapshot(epoch, nonce, None, store.newer_items(core.state.store))
                for name in recruits:
                    core.send(name, snapshot)
            case SendToWitnesses(witnesses, message):
                for name in witnesses:
                    core.send(name, message)
            case AdoptView(view):
                core.post(Component.CONTROL, ViewChosen(view))


def seal(core: CoreContext, nonce: int, now: timedelta) -> None:
    """Seal the epoch: accept no more changes under it. The proposer continues once the seal is on disk."""
    state = core.state
    state.sealed = state.sealed_by_self = core.epoch
    core.write(meta_puts(sealed=state.sealed), EpochSealed(nonce), now)


def on_sealed(core: CoreContext, written: EpochSealed, succeeded: bool) -> None:
    """Notify the proposer that the seal is on disk."""
    if succeeded and core.state.view_proposer is not None:
        core.state.view_proposer.seal_written(written.nonce)
