"""A tenant's request as its shard owner holds it (design 6.2)."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from ..runtime.record import Record, field


class RequestStep(Enum):
    """The steps from arrival to grant."""

    WAITING = "waiting"  # waits for a slot
    LEASING = "leasing"  # waits for a lease holder to grant or deny a slot
    CLAIMING = "claiming"  # waits for the follower to sync the claim
    GRANTED = "granted"
    REFUSED = "refused"  # the replica did not run it; the ingress may redispatch under the same claim


WAITING = RequestStep.WAITING
GRANTED = RequestStep.GRANTED
REFUSED = RequestStep.REFUSED
"""Module-level aliases for loops over all requests: looking up an enum member is slow."""


class QueuedRequest(Record):
    """A request at its tenant's shard owner.

    :ivar request_id: unique in the fleet.
    :ivar attempt: dispatch attempt that the grant is requested for: 1, and one more for each redispatch.
    :ivar ingress: the daemon that requested the grant.
    :ivar tenant: the tenant that sent the request.
    :ivar request_class: name of the request class in the tenant's configuration.
    :ivar key_digest: digest of the tenant and the idempotency key.
    :ivar prefix: the prompt prefix that the request declares, or empty.
    :ivar kind: kind of the replicas that may serve it.
    :ivar is_resumable: whether it may be run again; if not, its key is claimed before it is granted.
    :ivar received_at: when the grant request was received.
    :ivar time_left: time until the deadline, as of the grant request.
    :ivar deadline: when the client stops waiting.
    :ivar next_attempt_at: when to look for a slot again.
    :ivar step: progress towards the grant.
    :ivar step_deadline: when the current step times out; None for a step without a time-out.
    :ivar candidates: replicas whose lease holders were not asked for a slot yet.
    :ivar lease_request_id: id of the last lease request.
    :ivar replica: the replica whose slot is leased or requested.
    :ivar lease_id: id of the lease that the request holds; empty for none.
    :ivar is_key_checked: whether the key was looked up among the claims.
    :ivar holds_claim: whether the request has claimed its key.
    :ivar is_retry: whether the key was used by an earlier request.
    :ivar was_not_sent: whether the granted replica became unusable before the dispatch; the redispatch then costs no retry.
    :ivar is_overflow: whether it may run outside the region of its first home.
    :ivar refused_by: replicas that did not run it and are not tried again.
    """

    request_id: str
    attempt: int
    ingress: str
    tenant: str
    request_class: str
    key_digest: str
    prefix: str
    kind: str
    is_resumable: bool
    received_at: timedelta
    time_left: timedelta
    deadline: timedelta
    next_attempt_at: timedelta
    step: RequestStep = RequestStep.WAITING
    step_deadline: timedelta | None = None
    candidates: list[str] = field(default_factory=list)
    lease_request_id: str = ""
    replica: str = ""
    lease_id: str = ""
    is_key_checked: bool = False
    holds_claim: bool = False
    is_retry: bool = False
    was_not_sent: bool = False
    is_overflow: bool = False
    refused_by: set[str] = field(default_factory=set)

    def enter_step(self, step: RequestStep, *, until: timedelta | None = None) -> None:
        """Enter a step that times out at `until`; None for no time-out."""
        self.step, self.step_deadline = step, until

    def has_step_timed_out(self, now: timedelta) -> bool:
        """Whether the current step has timed out."""
        return self.step_deadline is not None and now > self.step_deadline
