"""What a replica made of a dispatched request: typed forms of `DispatchProgressed.outcome`."""

from __future__ import annotations

from typing import Any, NamedTuple

from .execution import RAN_YES


class NotRun(NamedTuple):
    """The replica surely did not have it: no connection was made, or it says so itself."""


class DispatchFailed(NamedTuple):
    """The connection or the answer broke.

    :ivar ran: what is known of whether it ran (execution.py).
    """

    ran: str


class PieceReceived(NamedTuple):
    """A piece of a streamed answer came; numbers count from 1."""

    number: int
    data: bytes


class StreamEnded(NamedTuple):
    """A streamed answer has ended after so many pieces."""

    pieces: int


class WholeAnswerReceived(NamedTuple):
    """The answer came in one."""

    data: bytes


DispatchOutcome = NotRun | DispatchFailed | PieceReceived | StreamEnded | WholeAnswerReceived


def decode_outcome(outcome: tuple[Any, ...], *, is_streamed: bool) -> DispatchOutcome:
    """The typed form of an outcome; an answer of the wrong form counts as a failure of a replica that ran the request."""
    match outcome:
        case ("piece", number, data) if is_streamed:
            return PieceReceived(number, data)
        case ("done", pieces) if is_streamed:
            return StreamEnded(pieces)
        case ("whole", data) if not is_streamed:
            return WholeAnswerReceived(data)
        case ("refused",):
            return NotRun()
        case ("fault", ran):
            return DispatchFailed(ran)
    return DispatchFailed(RAN_YES)
