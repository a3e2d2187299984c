"""An attempt to run a request on one replica (design 15.3): the parameters that the router sets, and the result."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple

from ..http.connection_pool import PooledConnection
from ..runtime.record import Record
from .client_request import ClientRequest


class AttemptTarget(NamedTuple):
    """Parameters of an attempt, set by the router; the fields are those of `StartAttempt.target`.

    :ivar addr: IP:PORT of the replica.
    :ivar expect: name the replica in a header, so that no other replica at this address runs the request.
    :ivar last_event: id of the event after which the client's stream resumes.
    :ivar connect: connect timeout.
    :ivar cap: maximum number of connections from this daemon to this replica.
    :ivar stream: forward events as they arrive; otherwise the response is buffered until it is complete.
    :ivar resume: resume a stream whose response head was already forwarded.
    :ivar tenant: the caller's name, sent to the replica in place of the key; empty: neither is sent; None: the client's headers are
        forwarded unchanged.
    :ivar patience: how long the replica may send nothing, on any of its connections, before the router is notified.
    :ivar pause: the same limit once the response has started.
    """

    replica: str
    addr: str
    service: str
    expect: bool
    urgency: int | None
    deadline_ms: int
    last_event: str | None
    connect: timedelta
    cap: int
    stream: bool
    resume: bool
    patience: timedelta | None = None
    pause: timedelta | None = None
    tenant: str | None = None


class Outcome(StrEnum):
    """Progress and results of an attempt as reported to the router; details in parentheses."""

    BEGAN = "began"  # a successful response has begun (status)
    FIRST = "first"  # its first bytes were forwarded
    SILENT = "silent"  # the replica has sent nothing for too long (id of the last event forwarded)
    DONE = "done"  # the complete response was forwarded
    UNSENT = "unsent"  # no byte of the request was sent (reason)
    NOT_RUN = "not-run"  # the replica states that it did not run the request (status, seconds from Retry-After or None)
    FAILED = "failed"  # the replica answered with an error (status)
    LOST = "lost"  # no valid response (reason)
    CUT = "cut"  # a successful response broke off (id of the last event forwarded)
    GONE = "gone"  # the request ended without an instruction from the router


class LossReason(StrEnum):
    """Why an attempt has no valid response; other reasons are the class names of the HTTP library's errors."""

    WRONG_ATTEMPT = "not-ours"  # the responses belong to other attempts
    INVALID_STATUS = "status"  # not a valid HTTP status code
    NO_SEAL = "no-seal"  # a success without the seal header, by which a replica confirms that it ran the request
    NO_LENGTH = "no-length"  # a success without Content-Length or Transfer-Encoding
    NO_STREAM = "no-stream"  # a stream was to be resumed, and the response is not a stream
    CUT = "cut"  # an error response broke off


class AttemptResult(NamedTuple):
    """Result of an attempt.

    :ivar details: as listed at `Outcome`.
    :ivar keep_s: seconds for which its connection may be reused; None: close it.
    """

    outcome: Outcome
    details: tuple[Any, ...] = ()
    keep_s: float | None = None


class Attempt(Record):
    """An attempt in progress.

    :ivar deadline: in seconds of the monotonic clock.
    """

    request: ClientRequest
    number: int
    target: AttemptTarget
    connection: PooledConnection
    deadline: float
