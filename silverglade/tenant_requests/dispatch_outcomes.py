"""Outcomes of a request dispatched to a replica: typed forms of `DispatchProgressed.outcome`."""

from __future__ import annotations

from typing import Any, NamedTuple

from .execution import RAN_YES


class NotRun(NamedTuple):
    """The replica certainly did not run it: no connection was made, or the replica refused it."""


class DispatchFailed(NamedTuple):
    """The connection or the answer broke off.

    :ivar ran: whether the request ran, as a value of execution.py.
    """

    ran: str


class PieceReceived(NamedTuple):
    """A piece of a streamed answer; pieces are numbered from 1."""

    number: int
    data: bytes


class StreamEnded(NamedTuple):
    """The end of a streamed answer, with the number of its pieces."""

    pieces: int


class WholeAnswerReceived(NamedTuple):
    """A complete answer that is not streamed."""

    data: bytes


DispatchOutcome = NotRun | DispatchFailed | PieceReceived | StreamEnded | WholeAnswerReceived


def decode_outcome(outcome: tuple[Any, ...], *, is_streamed: bool) -> DispatchOutcome:
    """Return the typed form of an outcome; an answer of the wrong form counts as a failure of a replica that ran the request."""
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
