"""State of one request in the router, and the description of its attempts (design 15.3)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from datetime import timedelta
from typing import Any, NotRequired, TypedDict

from ..runtime.effects import milliseconds, to_milliseconds
from .attempt_outcomes import AttemptOutcome
from .callers import Caller, effective_rank
from .prefill_backlog import BacklogQuery, OngoingPrefill, Prompt
from .replicas import ReplicaState
from .route_table import Route, ServiceConfiguration

INPUT_TOKENS_PER_OUTPUT_TOKEN = 8
"""Prompt tokens whose prefill costs as much work as one token of a response (design 15.5)."""

MIN_SILENCE_TIMEOUT_MS = 250
SILENCE_TIMEOUT_PER_LATENCY_TARGET = 0.8
INPUT_TOKENS_PER_MS = 20
"""Assumed prefill speed, by which the silence time-out before a response grows with the prompt."""
SILENCE_TIMEOUT_PER_LONGEST_PAUSE = 0.6

MIDDLE_URGENCY = 4
MAX_URGENCY = 9


class RequestFacts(TypedDict):
    """The fields that the HTTP layer parsed from a request's head (http/request_facts.py).

    `attempt` is the client's id for its own attempt; `prefix` holds the prompt's parts, (id, tokens) each, the last one the
    request's own; `tokens` holds the tokens of the prompt and the maximum of the response; `key` is the digest of the client's key.
    """

    host: str
    path: str
    method: str
    attempt: str
    deadline_ms: int | None
    prefix: tuple[tuple[str, int], ...]
    tokens: tuple[int, int] | None
    model: str
    last_event: str | None
    version: NotRequired[str | None]
    key: NotRequired[str | None]
    size: int


class Request:
    """One client request, from its arrival to the end of its response.

    :ivar id: its id within this daemon.
    :ivar facts: the fields that the HTTP layer parsed from its head.
    :ivar received_at: when it arrived.
    :ivar route: its route; set once, before anything is sent.
    :ivar service: the service chosen from its route.
    :ivar caller: the holder of its key if known, else None.
    :ivar is_counted: whether the usage counter was notified of it.
    :ivar hides_key: whether the key must be hidden from replicas, as a configuration under which it was sent has callers.
    :ivar homes: the regions where it may be served, by its route and its caller; empty for any.
    :ivar deadline: when processing ends, limited by a shutdown.
    :ivar client_deadline: its own deadline, even if that is after the daemon's end.
    :ivar tried_replicas: ids of the replicas tried so far.
    :ivar attempt_number: number of the latest attempt; 0 before the first.
    :ivar counted_attempts: attempts that count towards the route's limit: neither unsent nor refused by another incarnation.
    :ivar arrivals: attempts that reached any replica, including one that refused it; charged to the retry budget.
    :ivar unreachable_by_region: region to the number of its replicas to which connections timed out for this request.
    :ivar sent_at: when the latest attempt was started.
    :ivar response_begun: whether the head of a streamed response was forwarded.
    :ivar last_event_id: id of the last forwarded event.
    :ivar open_attempts: number of an open attempt to its replica's id.
    :ivar last_failure: outcome of the latest failed attempt, or None.
    :ivar silent_replica: id of the replica that was left for another one because it was silent, or None.
    :ivar work: its work in tokens (`work_of`).
    :ivar prompt: its prompt if that is long, else None.
    :ivar backlog_query: the query for the prefill backlogs of its replicas; None before it is made.
    :ivar prefill: the replica and holder that track its prompt until the first token, else None.
    """

    __slots__ = (
        "id",
        "facts",
        "received_at",
        "route",
        "service",
        "caller",
        "is_counted",
        "hides_key",
        "homes",
        "deadline",
        "client_deadline",
        "tried_replicas",
        "attempt_number",
        "counted_attempts",
        "arrivals",
        "unreachable_by_region",
        "sent_at",
        "response_begun",
        "last_event_id",
        "open_attempts",
        "last_failure",
        "silent_replica",
        "work",
        "prompt",
        "backlog_query",
        "prefill",
    )

    route: Route
    service: str

    def __init__(self, request_id: str, facts: RequestFacts, now: timedelta) -> None:
        self.id = request_id
        self.facts = facts
        self.received_at = now
        self.caller: Caller | None = None
        self.is_counted = False
        self.hides_key = False
        self.homes: Collection[str] = ()
        self.deadline = now
        self.client_deadline = now
        self.tried_replicas: set[str] = set()
        self.attempt_number = 0
        self.counted_attempts = 0
        self.arrivals = 0
        self.unreachable_by_region: Counter[str] = Counter()
        self.sent_at = now
        self.response_begun = False
        self.last_event_id = facts["last_event"]
        self.open_attempts: dict[int, str] = {}
        self.last_failure: AttemptOutcome | None = None
        self.silent_replica: str | None = None
        self.work = 0.0
        self.prompt: Prompt | None = None
        self.backlog_query: BacklogQuery | None = None
        self.prefill: OngoingPrefill | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may be run more than once."""
        return self.route["kind"] == "pure" or self.route["kind"] == "streaming" and self.route["resumable"]

    @property
    def is_streaming(self) -> bool:
        """Whether events are forwarded as they arrive."""
        return self.route["kind"] == "streaming"

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request, so that the client must not be told otherwise."""
        return self.last_failure in (AttemptOutcome.LOST, AttemptOutcome.CUT)


class AttemptTarget(TypedDict):
    """Description of one attempt for the request forwarder (server/request_forwarding.py).

    :ivar expect: whether only this incarnation of the replica may run it.
    :ivar urgency: priority in the replica's queue, or None.
    :ivar resume: whether it continues a stream whose head was already forwarded.
    :ivar tenant: name of the caller, sent to the replica instead of the key; empty for none; if absent, headers pass unchanged.
    :ivar connect: connect time-out.
    :ivar patience: silence time-out before the response: the router is notified if the replica is silent on all connections.
    :ivar pause: the same once events arrive.
    :ivar cap: maximum number of connections of this daemon to this replica.
    """

    replica: str
    addr: str
    service: str
    expect: bool
    urgency: int | None
    deadline_ms: int
    last_event: str | None
    resume: bool
    connect: timedelta
    patience: timedelta | None
    pause: timedelta | None
    cap: int
    stream: bool
    tenant: NotRequired[str]


def work_of(facts: RequestFacts) -> float:
    """Return the work in tokens: prefill costs less per token than generating the response (design 15.5)."""
    input_tokens, output_tokens = facts["tokens"] or (0, 0)
    return input_tokens / INPUT_TOKENS_PER_OUTPUT_TOKEN + output_tokens or 1.0


def silence_timeout_before_response(request: Request) -> timedelta:
    """Return how long a replica may be silent on all connections before others are preferred and repeatable requests are retried (15.3)."""
    input_tokens = (request.facts["tokens"] or (0, 0))[0]
    allowed = SILENCE_TIMEOUT_PER_LATENCY_TARGET * request.route["aim_ms"] + input_tokens / INPUT_TOKENS_PER_MS
    return milliseconds(max(MIN_SILENCE_TIMEOUT_MS, allowed))


def silence_timeout_between_events(request: Request) -> timedelta | None:
    """Return how long a replica may be silent once events have begun; None for no limit."""
    longest_pause = request.route["gap_ms"]
    if not longest_pause:
        return None
    return milliseconds(max(MIN_SILENCE_TIMEOUT_MS, SILENCE_TIMEOUT_PER_LONGEST_PAUSE * longest_pause))


def attempt_target(
    request: Request,
    replica: ReplicaState,
    service: ServiceConfiguration,
    *,
    remaining: timedelta,
    connect_timeout: timedelta,
    daemons: int,
    tuning: Mapping[str, Any],
) -> AttemptTarget:
    """Describe one attempt to the request forwarder.

    :param remaining: time left until the deadline.
    :param daemons: number of daemons that share the replica's connections.
    """
    switched_off = tuning["without"]
    detects_silence = "silence" not in switched_off
    urgency = (
        None if "urgency" in switched_off else min(MAX_URGENCY, MIDDLE_URGENCY + effective_rank(request.route["rank"], request.caller))
    )
    target: AttemptTarget = {
        "replica": replica.id,
        "addr": replica.address,
        "service": request.service,
        "expect": True,
        "urgency": urgency,
        "deadline_ms": to_milliseconds(remaining),
        "last_event": request.last_event_id,
        "resume": request.response_begun,
        "connect": connect_timeout,
        "patience": silence_timeout_before_response(request) if detects_silence else None,
        "pause": silence_timeout_between_events(request) if detects_silence else None,
        "cap": max(1, service["conns"] // max(1, daemons)),
        "stream": request.is_streaming,
    }
    if request.hides_key:
        target["tenant"] = request.caller.name if request.caller else ""
    return target
