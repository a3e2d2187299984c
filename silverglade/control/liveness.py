"""Sends and handles heartbeats between cores, and updates the proof that the primary still leads (design 5.10, 5.7)."""

from __future__ import annotations

from datetime import timedelta

from ..runtime.effects import ZERO, milliseconds, to_milliseconds
from . import committed_items, view_change
from .context import CoreContext
from .messages import ChosenView, Heartbeat, Pull
from .replicated_state import INITIAL_VERSION
from .view import View


def send_heartbeat(core: CoreContext, to: str, now: timedelta) -> None:
    """Send a heartbeat to another core."""
    state = core.state
    state.heartbeat_sent[to] = now
    core.send(
        to,
        Heartbeat(
            epoch=core.epoch,
            committed=state.committed_version,
            eligible=state.writes.is_eligible,
            disk=core.settings.disk,
            sealed=state.sealed,
            can_form=state.view is None and state.register.view is None and core.settings.may_form,
            stamp=state.stamp_origin + to_milliseconds(now),
            echo=state.peers.echo(to),
            age=-1 if core.led_view() and not core.open_view() else committed_items.proof_age_ms(core, now),
        ),
    )


def echoed_send_time_ms(core: CoreContext, echo: int, now: timedelta) -> int:
    """Return when this process sent an echoed stamp, in ms of its clock; -1 if it did not send it.

    The stamp may be from an earlier process with a different clock, or from another core that had this address before.
    """
    sent = echo - core.state.stamp_origin
    return sent if 0 <= sent <= to_milliseconds(now) else -1


def gets_regular_heartbeats(core: CoreContext, name: str, now: timedelta) -> bool:
    """Return whether this core sends regular heartbeats to the core `name` (design 5.10).

    The primary sends them to all cores, and every core sends them to the primary. A core that does not receive the primary's
    heartbeats, or that is proposing a view, sends them to all.
    """
    state, view = core.state, core.state.view
    if view is None or state.view_proposer is not None:
        return True
    return core.name == view.primary or name == view.primary or not state.peers.is_up(view.primary, now)


def send_regular_heartbeats(core: CoreContext, now: timedelta) -> None:
    """Send the heartbeats that are due in this round."""
    interval, sent = core.settings.tuning["heartbeat"], core.state.heartbeat_sent
    backed, opened = core.backed_view(), core.open_view()
    for name in core.others():
        # a backup answers its primary's heartbeats at once; the primary sends to the other cores when it has a new proof
        sent_anyway = backed is not None and name == backed.primary or opened is not None and name not in opened.backups
        wait = interval * (0.5 + sent_anyway)
        if gets_regular_heartbeats(core, name, now) and now - sent.get(name, -2 * interval) >= wait:
            send_heartbeat(core, name, now)


def on_heartbeat(core: CoreContext, sender: str, heartbeat: Heartbeat, now: timedelta) -> None:
    """Handle a heartbeat of another core: answer it if needed, and update the proof that the primary leads."""
    state = core.state
    heartbeat = heartbeat._replace(echo=echoed_send_time_ms(core, heartbeat.echo, now))
    is_new, was_up = state.peers.disk(sender) != heartbeat.disk, state.peers.is_up(sender, now)
    state.peers.record_heartbeat(sender, heartbeat, now)
    state.known_cores.add(sender)
    if not was_up and state.peers.is_up(sender, now):
        view_change.look_for_better_view(core, now)
    if heartbeat.epoch < core.epoch:
        core.send(sender, ChosenView(state.view))
    if is_new or needs_reply(core, sender, heartbeat, now):
        send_heartbeat(core, sender, now)
    if state.view is None or heartbeat.epoch != state.view.epoch or heartbeat.echo < 0:
        return
    opened = core.open_view()
    if opened is not None and sender in opened.backups and heartbeat.sealed < heartbeat.epoch:
        record_proof(core, opened, sender, heartbeat, now)
    if heartbeat.committed > state.committed_version:  # any core of this view reports only what was acknowledged
        pull_committed_items(core, sender, now)
    elif heartbeat.age >= 0:
        age = 0 if is_sole_confirming_backup(core, state.view, sender, heartbeat) else heartbeat.age
        state.proved_at = max(state.proved_at or ZERO, milliseconds(heartbeat.echo - age))


def needs_reply(core: CoreContext, sender: str, heartbeat: Heartbeat, now: timedelta) -> bool:
    """Return whether a heartbeat must be answered at once.

    A backup always answers the primary, since the answer is the proof that the primary leads. A core that has not yet received a
    heartbeat of this process always gets an answer too. In other cases answers are rate-limited.
    """
    backed, interval = core.backed_view(), core.settings.tuning["heartbeat"]
    if backed is not None and sender == backed.primary or heartbeat.echo < 0:
        return True
    reply_expected = heartbeat.epoch > core.epoch or not gets_regular_heartbeats(core, sender, now)
    return bool(reply_expected and now - core.state.heartbeat_sent.get(sender, -interval) >= interval / 2)


def record_proof(core: CoreContext, view: View, backup: str, heartbeat: Heartbeat, now: timedelta) -> None:
    """Record that a backup which has not sealed its epoch has received the primary's heartbeat.

    Once every backup has confirmed, send the new proof to the other cores.
    """
    state, interval = core.state, core.settings.tuning["heartbeat"]
    state.proofs[backup] = max(state.proofs.get(backup, ZERO), milliseconds(heartbeat.echo))
    if len(state.proofs) == len(view.backups):
        state.proved_at = max(state.proved_at or ZERO, min(state.proofs.values()))
        for name in core.others():
            if name not in view.backups and now - state.heartbeat_sent.get(name, ZERO) >= interval / 2:
                send_heartbeat(core, name, now)


def pull_committed_items(core: CoreContext, sender: str, now: timedelta) -> None:
    """Request missing committed items from the sender, after a short wait since they may already be in transit."""
    state, interval = core.state, core.settings.tuning["heartbeat"]
    late = state.pulled_at is not None and now - state.pulled_at >= interval / 2
    if state.committed_version == INITIAL_VERSION or late:
        core.send(sender, Pull(state.committed_version))
        state.pulled_at = None
    state.pulled_at = state.pulled_at or now


def is_sole_confirming_backup(core: CoreContext, view: View, sender: str, heartbeat: Heartbeat) -> bool:
    """Return whether this core, as the only backup, proves by itself that the primary led when it sent this heartbeat.

    No later view can have started without this backup's seal.
    """
    unsealed = max(heartbeat.sealed, core.state.sealed) < heartbeat.epoch
    return sender == view.primary and view.backups == (core.name,) and core.backed_view() is not None and unsealed
