"""Requests that run at another daemon than the one where they came in (design 6.6).

`ForwardedRequests`: those that came in here and went to a daemon of their homes; results come back numbered.
`ReceivedRequests`: those that other daemons sent here; results go back, and the replica is read on only as the client takes them.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from ..runtime import result_codes
from ..runtime.effects import Effect, SetBackpressure, TenantResult, to_milliseconds
from ..runtime.record import Record
from . import results
from .admission import RequestFacts, RequestHead
from .execution import RAN_MAYBE, RAN_YES
from .messages import ForwardedResult, ForwardRequest, PiecesConsumed, RequestCancelled, send
from .request_context import RequestContext

MAX_PIECES_OUTSTANDING = 128
"""Pieces sent back that the client has not taken yet; beyond it the replica is not read on."""

RESUME_PIECES_OUTSTANDING = MAX_PIECES_OUTSTANDING // 2


class ForwardedRequest(Record):
    """A request that went to a daemon of its homes.

    :ivar last_number: of the results that came back.
    :ivar has_pieces: the client got a piece of the answer.
    """

    daemon: str
    deadline: timedelta
    last_number: int = 0
    has_pieces: bool = False


class LostRequest(Record):
    """A forwarded request of which nothing more will be heard: what its client is told."""

    code: int
    ran: str


class ForwardedRequests:
    """Requests that came in here and run elsewhere, by request id."""

    def __init__(self, *, tuning: Mapping[str, Any], context: RequestContext) -> None:
        self._tuning = tuning
        self._context = context
        self._requests: dict[str, ForwardedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def forward(self, request_id: str, to: str, head: RequestHead, facts: RequestFacts, body: bytes, now: timedelta) -> Effect:
        """Send a request to a daemon of its homes."""
        self._requests[request_id] = ForwardedRequest(to, now + facts.time_left)
        message = ForwardRequest(
            request_id=request_id,
            bearer_key=head.bearer_key,
            class_name=head.class_name,
            key=facts.key,
            key_is_generated=facts.key_is_generated,
            left_ms=to_milliseconds(facts.time_left),
            prefix=head.prefix,
            attempt=facts.client_attempt,
            body=body,
        )
        return send(to, message)

    def report_consumed(self, request_id: str, pieces: int) -> Effect:
        """Say how many pieces the client has taken."""
        return send(self._requests[request_id].daemon, PiecesConsumed(request_id, pieces))

    def abandon(self, request_id: str) -> Effect:
        """Drop a request for which nobody waits any more."""
        return send(self._requests.pop(request_id).daemon, RequestCancelled(request_id))

    def on_result(self, sender: str, message: ForwardedResult) -> tuple[list[Effect], LostRequest | None]:
        """Take a part of an answer; a gap in the numbers means that one was lost.

        :returns: effects, and what to tell the client if the request is lost.
        """
        request_id = message.request_id
        request = self._requests[request_id]
        if sender != request.daemon:
            return [], None
        if message.number != request.last_number + 1:
            return [send(request.daemon, RequestCancelled(request_id))], self._lose(request_id, result_codes.LINK_LOST)
        request.last_number = message.number
        if message.kind == results.PIECE:
            request.has_pieces = True
        elif message.kind in results.LAST_RESULTS:
            del self._requests[request_id]
        else:
            return [], None
        return [TenantResult(request_id, message.kind, message.details)], None

    def expire(self, now: timedelta) -> list[tuple[str, list[Effect], LostRequest]]:
        """Give up the requests whose deadline is past or whose daemon is gone.

        :returns: request id, effects and what to tell the client of each.
        """
        given_up: list[tuple[str, list[Effect], LostRequest]] = []
        for request_id, request in list(self._requests.items()):
            if now >= request.deadline + self._tuning["settle"]:
                effects: list[Effect] = [send(request.daemon, RequestCancelled(request_id))]
                given_up.append((request_id, effects, self._lose(request_id, result_codes.REPLICA_SILENT)))
            elif not self._context.is_live(request.daemon):
                given_up.append((request_id, [], self._lose(request_id, result_codes.LINK_LOST)))
        return given_up

    def _lose(self, request_id: str, code: int) -> LostRequest:
        request = self._requests.pop(request_id)
        if request.has_pieces:
            return LostRequest(result_codes.BROKEN_STREAM, RAN_YES)
        return LostRequest(code, RAN_MAYBE)


class ReceivedRequest(Record):
    """A request that another daemon sent here.

    :ivar results: how many were sent back.
    :ivar last_piece: number of the last piece sent back.
    :ivar taken: pieces that the client has taken.
    :ivar is_paused: the replica is not read on.
    """

    sender: str
    received_at: timedelta
    results_sent: int = 0
    last_piece: int = 0
    consumed: int = 0
    is_paused: bool = False


class ReceivedRequests:
    """Requests of other daemons that run here, by request id."""

    def __init__(self, *, tuning: Mapping[str, Any], context: RequestContext) -> None:
        self._tuning = tuning
        self._context = context
        self._requests: dict[str, ReceivedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def add(self, request_id: str, sender: str, now: timedelta) -> None:
        """Take a request in."""
        self._requests[request_id] = ReceivedRequest(sender, now)

    def remove(self, request_id: str) -> None:
        """Forget a request that has ended, if it is one of these."""
        self._requests.pop(request_id, None)

    def send_back(self, result: TenantResult) -> list[Effect]:
        """Send a result to where its request came in; pause the replica's answer while the client is slow."""
        request_id = result.request_id
        request = self._requests[request_id]
        effects: list[Effect] = []
        request.results_sent += 1
        if result.kind == results.PIECE:
            request.last_piece = result.details[0]
            if not request.is_paused and request.last_piece - request.consumed > MAX_PIECES_OUTSTANDING:
                request.is_paused = True
                effects.append(SetBackpressure(request_id, False))
        effects.append(send(request.sender, ForwardedResult(request_id, request.results_sent, result.kind, result.details)))
        return effects

    def on_pieces_consumed(self, sender: str, message: PiecesConsumed) -> list[Effect]:
        """The client has taken more: read the replica on once enough of it is through."""
        request = self._requests.get(message.request_id)
        if request is None or request.sender != sender:
            return []
        request.consumed = max(request.consumed, message.pieces)
        if request.is_paused and request.last_piece - request.consumed <= RESUME_PIECES_OUTSTANDING:
            request.is_paused = False
            return [SetBackpressure(message.request_id, True)]
        return []

    def orphaned(self, now: timedelta) -> list[str]:
        """Ids of the requests whose sender is gone."""
        return [
            request_id
            for request_id, request in self._requests.items()
            if not self._context.is_live(request.sender) and now - request.received_at > self._tuning["gone"]
        ]
