"""The zone relay component (design 5.7).

In a zone without a core one daemon queries a core on behalf of the others, so that each change is sent to the zone only once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..control import replicated_state
from ..runtime.components import Component
from ..runtime.effects import NEVER, Effect, Post, Send, SetPeerAddress, WakeAt, milliseconds, to_milliseconds
from ..runtime.events import (
    AnswerRequested,
    Event,
    ItemsReceived,
    MembershipChanged,
    MessageReceived,
    ProcessPaused,
    ProofRenewed,
    TablePositionChanged,
    TimerFired,
    UpdateSourceChanged,
)
from ..runtime.record import Record
from .messages import PublishRows, Update, UpdateRequest, Version, decode
from .records import MEMBER_ROW, MemberRecord, members_of
from .rendezvous import highest_ranked

MAX_PENDING_MESSAGES = 1024
"""Maximum number of messages with rows that wait until a core is queried again; beyond it the oldest are dropped."""

MAX_DAEMONS_WITHOUT_RELAY = 6
"""In a zone of at most so many daemons each queries a core itself."""

NO_PROOF = -1
"""Value of `Update.proof_age_ms` without a proof."""


def relay_of_zone(zone: str, members: Iterable[MemberRecord]) -> str | None:
    """Return the daemon that queries the cores on behalf of a zone, or None if each of its daemons queries them itself."""
    in_zone = [member for member in members if member.zone == zone]
    if len(in_zone) <= MAX_DAEMONS_WITHOUT_RELAY or any(member.is_core for member in in_zone):
        return None
    return highest_ranked(f"ask/{zone}", [member.name for member in in_zone if member.is_ready])


class PendingRequest(Record):
    """A request for updates that is held until there are updates."""

    received_at: timedelta
    daemon: str
    request: UpdateRequest


class PendingRows(Record):
    """Rows that a daemon of the zone published while this daemon queried no core."""

    received_at: timedelta
    message: PublishRows


class ZoneRelay:
    """The zone relay component as a state machine.

    It answers requests as a core would, from the items that this daemon's updater has received, and forwards the rows that daemons
    publish to the queried core. Pending requests are answered when the proof of the store is renewed, about once per tuning
    "ask_wait", so that the wait of a request at the relay does not add to the age of the proof.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MessageReceived,
        ItemsReceived,
        ProofRenewed,
        ProcessPaused,
        UpdateSourceChanged,
        TablePositionChanged,
        MembershipChanged,
    )

    def __init__(self, *, zone: str, tuning: Mapping[str, Any]) -> None:
        self._zone = zone
        # only daemons of the zone are answered, because the rows sent depend on the region
        self._daemons_in_zone: set[str] = set()
        # the core that this daemon queries; "" while it queries another relay instead
        self._core = ""
        # the acknowledged items received from control, their version, and when that was last proved to be the newest
        self._store: dict[str, tuple[Version, Any]] = {}
        self._version: Version = replicated_state.INITIAL_VERSION
        self._proved_at: timedelta | None = None
        # the position of this daemon's table of soft state
        self._position: int | None = None
        self._requests: list[PendingRequest] = []
        self._pending_rows: deque[PendingRows] = deque(maxlen=MAX_PENDING_MESSAGES)
        # the time after which a request is answered in any case, and the time after which its sender has given it up
        self._answer_after: timedelta = tuning["ask_wait"] + tuning["beat"]
        self._drop_after: timedelta = tuning["ask_wait"] + 2 * tuning["beat"]
        self._effects: list[Effect] = []

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects in their order."""
        match event:
            case TimerFired():
                self._on_timer(now)
            case MessageReceived():
                self._on_message(event, now)
            case ItemsReceived():
                self._on_items(event, now)
            case ProofRenewed():
                self._on_proof(event.proved_at, now)
            case ProcessPaused():
                self._requests.clear()
            case UpdateSourceChanged():
                self._on_core(event, now)
            case TablePositionChanged():
                self._position = event.position
                self._answer(now)
            case MembershipChanged():
                members = members_of(event.members)
                self._daemons_in_zone = {member.name for member in members if member.zone == self._zone}
        effects, self._effects = self._effects, []
        return effects

    def _on_timer(self, now: timedelta) -> None:
        self._answer(now)
        wait = self._answer_after if self._core else self._drop_after
        oldest = min([pending.received_at for pending in self._requests], default=NEVER - wait)
        self._effects.append(WakeAt(oldest + wait))

    def _on_message(self, event: MessageReceived, now: timedelta) -> None:
        match decode(event.body):
            case UpdateRequest() as request if event.sender in self._daemons_in_zone:
                self._requests.append(PendingRequest(now, event.sender, request))
                self._answer(now)
            case PublishRows() as message if self._core:
                self._forward_rows(message)
            case PublishRows() as message:
                self._pending_rows.append(PendingRows(now, message))

    def _on_items(self, event: ItemsReceived, now: timedelta) -> None:
        """Store newer items from a core's answer."""
        for key, version, value in event.items:
            held_version, _ = self._store.get(key, (replicated_state.INITIAL_VERSION, None))
            if version > held_version:
                self._store[key] = (version, value)
        for key in replicated_state.pruned_keys(self._store):
            del self._store[key]
        self._version = max(self._version, event.version)
        self._answer(now)

    def _on_proof(self, proved_at: timedelta | None, now: timedelta) -> None:
        self._proved_at = proved_at
        if proved_at is not None:
            self._answer(now, proof_is_new=True)

    def _on_core(self, event: UpdateSourceChanged, now: timedelta) -> None:
        """Switch to another daemon: forward pending rows if it is a core; requests and rows wait while it is another relay."""
        self._core = event.daemon if event.is_core else ""
        while self._core and self._pending_rows:
            pending = self._pending_rows.popleft()
            if now - pending.received_at < self._drop_after:
                self._forward_rows(pending.message)

    def _answer(self, now: timedelta, *, proof_is_new: bool = False) -> None:
        """Answer the requests for which there are updates or whose wait is over, unless no core is queried."""
        self._requests = [pending for pending in self._requests if now - pending.received_at < self._drop_after]
        if not self._core or not self._requests:
            return
        age_ms = self._proof_age_ms(now)
        waiting = []
        for pending in self._requests:
            if proof_is_new or self._is_answerable(pending, now):
                self._effects.append(self._answer_to(pending, age_ms, now))
            else:
                waiting.append(pending)
        self._requests = waiting

    def _is_answerable(self, pending: PendingRequest, now: timedelta) -> bool:
        request = pending.request
        if self._version > request.version or now - pending.received_at >= self._answer_after:
            return True
        return self._position is not None and self._position != request.position

    def _answer_to(self, pending: PendingRequest, age_ms: int, now: timedelta) -> Effect:
        """Return the effect that answers a request; membership appends the soft state that the daemon lacks."""
        request = pending.request
        items = replicated_state.items_since(self._store, request.version)
        waited_ms = to_milliseconds(now - pending.received_at)
        update = Update(request.number, self._version, items, age_ms, waited_ms)
        return Post(Component.MEMBERSHIP, AnswerRequested(pending.daemon, update.to_array(), request.position))

    def _proof_age_ms(self, now: timedelta) -> int:
        """Return the age of the proof in milliseconds, rounded up so that the proof never appears newer than it is."""
        if self._proved_at is None:
            return NO_PROOF
        return -((self._proved_at - now) // milliseconds(1))

    def _forward_rows(self, message: PublishRows) -> None:
        """Forward rows of a daemon of the zone to the core, and set the peer addresses that they contain."""
        for row in message.readable_of_kind(MEMBER_ROW):
            if row.value is not None:
                self._effects.append(SetPeerAddress(row.key, MemberRecord.of(row.value).peer_address))
        self._effects.append(Send(self._core, message.to_array()))
