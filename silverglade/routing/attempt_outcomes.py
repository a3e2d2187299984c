"""Outcomes of an attempt (design 15.3), as reported by the request forwarder (server/request_forwarding.py)."""

from __future__ import annotations

from enum import StrEnum


class AttemptOutcome(StrEnum):
    """Outcome of an attempt; reports carry the plain string value."""

    BEGAN = "began"
    """The head of a streamed response arrived."""
    FIRST = "first"
    """The first token arrived."""
    DONE = "done"
    """The complete response was forwarded."""
    UNSENT = "unsent"
    """No byte of the request was sent. Details: the reason."""
    NOT_RUN = "not-run"
    """The replica reported that it did not run the request. Details: its status, and the seconds after which to retry."""
    FAILED = "failed"
    """The replica responded with an error. Details: its status."""
    LOST = "lost"
    """The connection broke before a response; the request may have run. Details: the reason."""
    CUT = "cut"
    """The response ended prematurely. Details: the id of its last event."""
    SILENT = "silent"
    """The replica sent nothing on any connection for longer than the attempt allows. Details: the id of the last event."""
    GONE = "gone"
    """The client closed its connection."""


class UnsentReason(StrEnum):
    """Reasons for `AttemptOutcome.UNSENT` that the router distinguishes."""

    POOL_FULL = "pool-full"
    """This daemon's own limit of connections to the replica was reached."""
    CONNECT_TIMEOUT = "connect-timeout"
    """The connection to the replica was not established in time."""


READ_ERROR = "ReadError"
"""Detail of `AttemptOutcome.LOST`: the connection broke while waiting for the response; the machine may be down."""
