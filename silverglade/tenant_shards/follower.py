"""The follower of shards on a core (design 6.3): syncs each claim to disk before its request is granted.

Disk tables: "shard" maps shard -> epoch; "claim" maps shard, separator and key digest -> (request id, state, number).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..runtime.components import Component
from ..runtime.effects import DiskOperation, Effect, WriteToDisk
from ..runtime.events import DiskWriteCompleted, Event, MessageReceived, StoreUpdated
from .claims import Claim, ClaimState, claims_from_rows, claims_to_rows, expired_keys
from .messages import (
    Adopted,
    AdoptionRefused,
    AdoptRequest,
    Claimed,
    ClaimRefused,
    ClaimRequest,
    ClaimsCopied,
    ClaimsCopy,
    ClaimStateUpdate,
    Message,
    RefusalReason,
    decode,
    send,
)
from .shard_roles import is_followed_elsewhere

SHARD_TABLE, CLAIM_TABLE = "shard", "claim"

KEY_SEPARATOR = "\0"


def _claim_key(shard: str, key_digest: str) -> str:
    return f"{shard}{KEY_SEPARATOR}{key_digest}"


def _put_shard(shard: str, epoch: int) -> DiskOperation:
    return ("put", SHARD_TABLE, shard, epoch)


def _put_claim(shard: str, key_digest: str, claim: Claim) -> DiskOperation:
    return ("put", CLAIM_TABLE, _claim_key(shard, key_digest), tuple(claim))


def _delete_claims(shard: str, key_digests: Iterable[str]) -> list[DiskOperation]:
    return [("del", CLAIM_TABLE, _claim_key(shard, key_digest)) for key_digest in key_digests]


class ClaimFollower:
    """Component "claim_follower" of a core.

    :ivar epochs: epoch of the followed owner, by shard.
    :ivar claims: claims by shard and key digest.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (MessageReceived, StoreUpdated, DiskWriteCompleted)

    def __init__(self, *, own_name: str, saved: Mapping[str, Mapping[str, Any]], tuning: Mapping[str, Any]) -> None:
        """:param saved: the disk tables as last synced."""
        self.epochs: dict[str, int] = dict(saved.get(SHARD_TABLE, {}))
        self.claims: dict[str, dict[str, Claim]] = {shard: {} for shard in self.epochs}
        for key, row in saved.get(CLAIM_TABLE, {}).items():
            shard, key_digest = key.rsplit(KEY_SEPARATOR, 1)  # tenant names may contain the separator
            self.claims.setdefault(shard, {})[key_digest] = Claim(*row)
        self._own_name = own_name
        self._tuning = tuning
        self._last_write = 0
        self._answers: dict[int, tuple[str, Message] | None] = {}  # write number -> (recipient, answer) to send once it is synced
        self._effects: list[Effect] = []

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects in order."""
        self._effects = []
        match event:
            case MessageReceived():
                self._on_message(event.sender, decode(event.body))
            case StoreUpdated():
                self._on_store_updated(event)
            case DiskWriteCompleted():
                self._on_written(event)
        return self._effects

    def _on_message(self, sender: str, message: Message | None) -> None:
        match message:
            case ClaimRequest():
                self._on_claim(sender, message)
            case ClaimStateUpdate():
                self._on_claim_state_update(message)
            case AdoptRequest():
                self._on_adopt(sender, message)
            case ClaimsCopy():
                self._on_copy(sender, message)

    def _on_claim(self, sender: str, request: ClaimRequest) -> None:
        """Store a claim if it is of the followed epoch and no other request has claimed the key; refuse it otherwise."""
        shard, key_digest = request.shard, request.key_digest
        epoch = self.epochs.get(shard)
        if epoch is None or epoch != request.epoch:
            reason = RefusalReason.UNKNOWN_SHARD.value if epoch is None else RefusalReason.OTHER_EPOCH.value
            self._effects.append(send(sender, ClaimRefused(shard, request.epoch, request.call_id, reason)))
            return
        claims = self.claims[shard]
        held = claims.get(key_digest)
        if held is not None and held.request_id != request.request_id:
            self._effects.append(send(sender, ClaimRefused(shard, request.epoch, request.call_id, RefusalReason.ALREADY_CLAIMED.value)))
            return
        claim = claims[key_digest] = Claim(request.request_id, ClaimState.CLAIMED.value, request.number)
        expired = expired_keys(claims, self._tuning["claims_most"])
        for expired_key in expired:
            del claims[expired_key]
        self._write(
            [_put_claim(shard, key_digest, claim), *_delete_claims(shard, expired)],
            answer=(sender, Claimed(shard, request.epoch, request.call_id)),
        )

    def _on_claim_state_update(self, update: ClaimStateUpdate) -> None:
        """Change the state of a claim, or delete it. The state DONE is final, but the claim may still be deleted."""
        shard, key_digest = update.shard, update.key_digest
        if self.epochs.get(shard) != update.epoch:
            return
        claim = self.claims[shard].get(key_digest)
        if claim is None or claim.request_id != update.request_id:
            return
        if update.state == ClaimState.FREE:
            del self.claims[shard][key_digest]
            self._write(_delete_claims(shard, [key_digest]))
        elif claim.state != ClaimState.DONE:
            claim = self.claims[shard][key_digest] = claim._replace(state=update.state)
            self._write([_put_claim(shard, key_digest, claim)])

    def _on_adopt(self, sender: str, request: AdoptRequest) -> None:
        """Follow a new owner and send it all claims; claims of earlier epochs are refused from now on."""
        shard, epoch = request.shard, self.epochs.get(request.shard)
        if epoch is None or request.epoch < epoch:
            reason = RefusalReason.UNKNOWN_SHARD.value if epoch is None else RefusalReason.OTHER_EPOCH.value
            self._effects.append(send(sender, AdoptionRefused(shard, request.epoch, reason)))
            return
        self.epochs[shard] = request.epoch
        answer = Adopted(shard, request.epoch, claims_to_rows(self.claims[shard]))
        self._write([_put_shard(shard, request.epoch)], answer=(sender, answer))

    def _on_copy(self, sender: str, copy: ClaimsCopy) -> None:
        """Follow a shard from a full copy of its claims, which replaces what was stored of it."""
        shard = copy.shard
        if copy.epoch < self.epochs.get(shard, 0):
            self._effects.append(send(sender, AdoptionRefused(shard, copy.epoch, RefusalReason.OTHER_EPOCH.value)))
            return
        dropped = self.claims.get(shard, {})
        claims = claims_from_rows(copy.claims)
        self.epochs[shard] = copy.epoch
        self.claims[shard] = claims
        self._write(
            [
                _put_shard(shard, copy.epoch),
                *_delete_claims(shard, dropped),
                *[_put_claim(shard, key_digest, claim) for key_digest, claim in claims.items()],
            ],
            answer=(sender, ClaimsCopied(shard, copy.epoch, copy.number)),
        )

    def _on_store_updated(self, event: StoreUpdated) -> None:
        """Delete the shards that another daemon follows now, or that were dropped."""
        for shard, epoch in list(self.epochs.items()):
            if is_followed_elsewhere(event.store, shard, epoch=epoch, own_name=self._own_name):
                self._write([("del", SHARD_TABLE, shard), *_delete_claims(shard, self.claims[shard])])
                del self.epochs[shard], self.claims[shard]

    def _write(self, operations: list[DiskOperation], *, answer: tuple[str, Message] | None = None) -> None:
        """Write to disk; the answer is sent only after the write is synced."""
        self._last_write += 1
        self._answers[self._last_write] = answer
        self._effects.append(WriteToDisk((Component.CLAIM_FOLLOWER.value, self._last_write), tuple(operations)))

    def _on_written(self, event: DiskWriteCompleted) -> None:
        _, number = event.token
        answer = self._answers.pop(number, None)
        if event.succeeded and answer is not None:
            to, message = answer
            self._effects.append(send(to, message))
