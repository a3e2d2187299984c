"""Operators' calls in flight at the daemon that received them, until the primary answers (design 2.3, 5.4).

An operator whose call gets no answer retries it at another daemon, or makes a different change. The first call may still be in
flight then, and must not take effect after a change that was acknowledged in the meantime. A change that names its base version is
safe, because the primary applies it to that base only. A change without a base (an evacuation has no body) gets a fencing token
here, in two steps:

1. `FencingTokenRequest`: the daemon asks the primary for the present version of the object to change (control/decisions.py). The
   answer is used only if the caller is certainly still waiting: before `caller_deadline`, with its connection open, and without a
   pause of this process in between.
2. `OperationRequest`: the change is sent to the primary with that version, and is applied only if the object has not changed since.

A change that is acknowledged after the caller left is therefore applied after step 1 and creates a later version, so the late call is
fenced out whenever it arrives. Only this daemon's own clock is read, and the age of a message is never estimated. A token that is too
old makes the change stale, never wrong, so the primary answers step 1 from memory, without a round trip to its backups.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

from ..control.operation_results import Acknowledged, OutcomeUnknown, Redirected, Refused, Result, SourceRead, Stale
from ..control.operations import NumberedConfigurationChange
from ..runtime import result_codes
from ..runtime.effects import ZERO, Effect, Reply, Send
from ..runtime.record import Record
from ..transport.message_schemas import FENCED_OPERATIONS
from .messages import FencingTokenRequest, OperationRequest, RawMessage, RawOperation, Version
from .schema import key_digest

CALL_NUMBER_BITS = 48
"""Size of the random number that identifies a call between daemons."""


class Call(Record):
    """One call in flight.

    :ivar call_id: identifies the call in its `Reply`; None for an operation of this daemon itself.
    :ivar change_id: the idempotency key that the operator gave the change; may be empty.
    :ivar digest: digest of the operation.
    :ivar started_at: when the call was received.
    :ivar caller_deadline: the caller may have left after this time; a fencing token that arrives later is not used.
    :ivar sent_at: when the last message was sent for the call; until then, when the call was received.
    :ivar sent_to: receiver of that message; empty: the next attempt is sent to the primary known then.
    :ivar was_sent: whether any message has been sent for the call.
    :ivar fencing_token: the token that step 1 returned, or None.
    """

    call_id: str | None
    change_id: str
    operation: RawOperation
    digest: str
    started_at: timedelta
    caller_deadline: timedelta
    sent_at: timedelta
    sent_to: str = ""
    was_sent: bool = False
    fencing_token: Version | None = None

    @property
    def lacks_fencing_token(self) -> bool:
        """Whether step 1 is not yet completed."""
        return needs_fencing_token(self.operation) and self.fencing_token is None

    def message(self, number: int) -> RawMessage:
        """Return the message to send for the step that the call is in."""
        if self.lacks_fencing_token:
            return FencingTokenRequest(number, self.operation).encode()
        operation = self.operation if self.fencing_token is None else (*self.operation, self.fencing_token)
        return OperationRequest(number, self.change_id, operation, self.digest).encode()


class OperatorCalls:
    """The calls in flight at this daemon. The methods that handle events return the resulting effects.

    :ivar in_flight: number of a call to the call.
    """

    def __init__(self, *, tuning: Mapping[str, Any], rng: random.Random, primary: Callable[[], str]) -> None:
        """Start without calls in flight.

        :param primary: a function that returns the name of the primary known to this daemon, or an empty string.
        """
        self.in_flight: dict[int, Call] = {}
        self._tuning = tuning
        self._rng = rng
        self._primary = primary
        self._call_age_unknown_until = ZERO

    def begin(
        self, call_id: str | None, change_id: str, operation: RawOperation, now: timedelta, *, caller_timeout: timedelta | None = None
    ) -> list[Effect]:
        """Start a call and send its first message, if a primary is known.

        :param caller_timeout: how long the caller announced that it waits for the answer; None: the setting `caller_wait` applies.
        """
        if needs_fencing_token(operation) and now < self._call_age_unknown_until and call_id is not None:
            # the call may have been in the socket buffer while this process was paused, so its caller may have left
            return [Reply(call_id, result_codes.NO_PRIMARY, {"change": change_id})]
        number = self._rng.getrandbits(CALL_NUMBER_BITS)
        self.in_flight[number] = Call(
            call_id=call_id,
            change_id=change_id,
            operation=operation,
            digest=operation_digest(operation),
            started_at=now,
            caller_deadline=now + min(caller_timeout or self._tuning["caller_wait"], self._tuning["op_wait"]),
            sent_at=now,
        )
        return self._send(number, now)

    def begin_own(self, operation: RawOperation, now: timedelta) -> list[Effect]:
        """Start an operation of this daemon itself, unless one is already in flight."""
        if any(call.call_id is None for call in self.in_flight.values()):
            return []
        return self.begin(None, "", operation, now)

    def on_fencing_token(self, number: int, token: Version, now: timedelta) -> list[Effect]:
        """Handle the primary's answer to step 1."""
        call = self.in_flight.get(number)
        if call is None or not call.lacks_fencing_token:
            return []
        if now > call.caller_deadline:
            return self._complete(number, OutcomeUnknown())
        call.fencing_token = token
        return self._send(number, now)

    def on_result(self, number: int, sender: str, result: Result, now: timedelta) -> list[Effect]:
        """Handle the primary's answer to the operation, or another core's redirect to the primary."""
        call = self.in_flight.get(number)
        if call is None:
            return []
        match result:
            case Redirected():
                return self._redirect(number, sender, result.primary, now)
            case OutcomeUnknown() if call.change_id:
                return []  # the timer sends the operation again with the same change id
            case Stale() if needs_fencing_token(call.operation) and now <= call.caller_deadline:
                call.fencing_token = None  # another change was applied in between, and the caller is still waiting
                return self._send(number, now)
        return self._complete(number, result)

    def on_caller_disconnected(self, call_id: str) -> None:
        """Drop the call of a caller that has closed its connection."""
        for number in [number for number, call in self.in_flight.items() if call.call_id == call_id]:
            del self.in_flight[number]

    def on_process_paused(self, now: timedelta) -> list[Effect]:
        """End the calls without a fencing token after a pause of this process, because their callers may have left during the pause.

        Calls that are read within one `beat` from now may have been waiting in the socket buffer during the pause; `begin` refuses
        those that need a fencing token.
        """
        self._call_age_unknown_until = now + self._tuning["beat"]
        effects = []
        for number in [number for number, call in self.in_flight.items() if call.lacks_fencing_token]:
            effects += self._complete(number, OutcomeUnknown())
        return effects

    def on_timer(self, now: timedelta) -> list[Effect]:
        """End the calls that have timed out; send the others again, to the primary known now."""
        effects = []
        for number, call in list(self.in_flight.items()):
            if now - call.started_at > self._tuning["op_wait"] or call.lacks_fencing_token and now > call.caller_deadline:
                effects += self._complete(number, OutcomeUnknown())
            elif now - call.sent_at > self._tuning["beat"]:
                call.sent_to = ""
                effects += self._send(number, now)
        return effects

    def _redirect(self, number: int, sender: str, primary: str, now: timedelta) -> list[Effect]:
        """Send the call to the core that the sender names as primary, unless that is the sender or was sent the call already."""
        call = self.in_flight[number]
        if not primary or primary == sender or call.sent_to == primary:
            return []
        call.sent_to = primary
        return self._send(number, now)

    def _send(self, number: int, now: timedelta) -> list[Effect]:
        """Send the message for the step that the call is in, if a primary is known."""
        call = self.in_flight[number]
        receiver = call.sent_to or self._primary()
        if not receiver:
            return []
        call.was_sent, call.sent_at, call.sent_to = True, now, receiver
        return [Send(receiver, call.message(number))]

    def _complete(self, number: int, result: Result) -> list[Effect]:
        """Remove the call and reply to its caller."""
        call = self.in_flight.pop(number)
        if call.call_id is None:
            return []
        return [_reply(call.call_id, call, result)]


def _reply(call_id: str, call: Call, result: Result) -> Reply:
    """Return the reply to the caller for a result."""
    match result:
        case Acknowledged(version):
            return Reply(call_id, result_codes.OK, {"version": list(version), "change": call.change_id})
        case SourceRead(version, source):
            return Reply(call_id, result_codes.OK, {"version": list(version), "change": call.change_id, "source": source})
        case Refused(code, detail):
            return Reply(call_id, code, {"detail": detail, "change": call.change_id})
    code = result_codes.UNKNOWN_OUTCOME if call.was_sent else result_codes.NO_PRIMARY
    return Reply(call_id, code, {"change": call.change_id})


def needs_fencing_token(operation: RawOperation) -> bool:
    """Return whether an operation carries no base version, so that a fencing token must be requested from the primary first."""
    return operation[0] in FENCED_OPERATIONS


def operation_digest(operation: RawOperation) -> str:
    """Return a digest of an operation that is the same at every daemon that sends it.

    A configuration with the operator's own version number is represented by its source text, because each daemon parses the text
    itself.
    """
    if operation[0] == NumberedConfigurationChange.TAG:
        kind, base, number, _, source = operation
        operation = (kind, base, number, source)
    return key_digest(repr(operation))
