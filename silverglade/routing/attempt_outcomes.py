"""What may become of an attempt (design 15.3), as the request forwarder reports it (server/request_forwarding.py)."""

from __future__ import annotations

from enum import StrEnum


class AttemptOutcome(StrEnum):
    """What happened to an attempt; reports hold the plain value."""

    BEGAN = "began"
    """The head of a streamed response came."""
    FIRST = "first"
    """The first token came."""
    DONE = "done"
    """The response was handed on to its end."""
    UNSENT = "unsent"
    """Not one byte of the request was sent. Details: why."""
    NOT_RUN = "not-run"
    """The replica says that it did not run the request. Details: its status, and after how many seconds to come back."""
    FAILED = "failed"
    """The replica answered with an error. Details: its status."""
    LOST = "lost"
    """The connection broke before a response; the request may have run. Details: why."""
    CUT = "cut"
    """The response broke off. Details: the id of its last event."""
    SILENT = "silent"
    """The replica says nothing on any connection for longer than the attempt allows. Details: the id of its last event."""
    GONE = "gone"
    """The client has closed its connection."""


class UnsentReason(StrEnum):
    """Why nothing was sent, where it matters which."""

    POOL_FULL = "pool-full"
    """This daemon's own limit of connections to the replica."""
    CONNECT_TIMEOUT = "connect-timeout"
    """The replica took no connection in time."""


READ_ERROR = "ReadError"
"""Detail of `AttemptOutcome.LOST`: the connection broke while the response was awaited; the machine may be down."""
