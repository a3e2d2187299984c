"""Requests that run at another daemon than the one that received them from the client (design 6.6).

`ForwardedRequests`: received from clients here and forwarded to a daemon in their home zones, which returns numbered results.
`ReceivedRequests`: forwarded here by other daemons. Results are sent back; reading from the replica is paused while the client
consumes them too slowly.
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
"""Reading from the replica is paused while more than this many pieces sent back are not consumed by the client."""

RESUME_PIECES_OUTSTANDING = MAX_PIECES_OUTSTANDING // 2
"""Reading from the replica resumes once no more than this many pieces are outstanding."""


class ForwardedRequest(Record):
    """A request forwarded to a daemon in its home zones.

    :ivar last_number: sequence number of the last result received.
    :ivar has_pieces: whether the client was sent a piece of the answer.
    """

    daemon: str
    deadline: timedelta
    last_number: int = 0
    has_pieces: bool = False


class LostRequest(Record):
    """The fault to report to the client of a forwarded request that was lost."""

    code: int
    ran: str


class ForwardedRequests:
    """Requests received from clients here that run at another daemon, by request id."""

    def __init__(self, *, tuning: Mapping[str, Any], context: RequestContext) -> None:
        self._tuning = tuning
        self._context = context
        self._requests: dict[str, ForwardedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def forward(self, request_id: str, to: str, head: RequestHead, facts: RequestFacts, body: bytes, now: timedelta) -> Effect:
        """Register a request as forwarded, and return the effect that sends it to daemon `to`."""
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
        """Return the message that reports how many pieces the client has consumed."""
        return send(self._requests[request_id].daemon, PiecesConsumed(request_id, pieces))

    def abandon(self, request_id: str) -> Effect:
        """Remove a request whose client has disconnected, and return the message that cancels it."""
        return send(self._requests.pop(request_id).daemon, RequestCancelled(request_id))

    def on_result(self, sender: str, message: ForwardedResult) -> tuple[list[Effect], LostRequest | None]:
        """Handle a part of an answer; a gap in the sequence numbers means that a part was lost, and ends the request.

        :returns: effects, and the fault to report to the client if the request is lost.
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
        """Remove the requests whose deadline is past by the `settle` time, or whose daemon is no longer live.

        :returns: for each of them its id, effects, and the fault to report to its client.
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
    """A request forwarded here by another daemon.

    :ivar results_sent: number of results sent back.
    :ivar last_piece: number of the last piece sent back.
    :ivar consumed: number of pieces that the client has consumed.
    :ivar is_paused: whether reading from the replica is paused.
    """

    sender: str
    received_at: timedelta
    results_sent: int = 0
    last_piece: int = 0
    consumed: int = 0
    is_paused: bool = False


class ReceivedRequests:
    """Requests forwarded here by other daemons, by request id."""

    def __init__(self, *, tuning: Mapping[str, Any], context: RequestContext) -> None:
        self._tuning = tuning
        self._context = context
        self._requests: dict[str, ReceivedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def add(self, request_id: str, sender: str, now: timedelta) -> None:
        """Register a request received from another daemon."""
        self._requests[request_id] = ReceivedRequest(sender, now)

    def remove(self, request_id: str) -> None:
        """Remove a request that has ended; no effect on other requests."""
        self._requests.pop(request_id, None)

    def send_back(self, result: TenantResult) -> list[Effect]:
        """Send a result back to the daemon that forwarded its request; pause reading from the replica if the client is slow."""
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
        """Update the number of consumed pieces; resume reading from the replica once few enough are outstanding."""
        request = self._requests.get(message.request_id)
        if request is None or request.sender != sender:
            return []
        request.consumed = max(request.consumed, message.pieces)
        if request.is_paused and request.last_piece - request.consumed <= RESUME_PIECES_OUTSTANDING:
            request.is_paused = False
            return [SetBackpressure(message.request_id, True)]
        return []

    def orphaned(self, now: timedelta) -> list[str]:
        """Return the ids of the requests whose sender is not live; a request is exempt for the `gone` time after its receipt."""
        return [
            request_id
            for request_id, request in self._requests.items()
            if not self._context.is_live(request.sender) and now - request.received_at > self._tuning["gone"]
        ]
