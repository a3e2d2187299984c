"""One tenant's request at the owner of its shard (design 6.2)."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from ..runtime.record import Record, field


class RequestStep(Enum):
    """Where a request is on its way to a grant."""

    WAITING = "waiting"  # for a slot
    LEASING = "leasing"  # the holder of a replica's slot leases was asked
    CLAIMING = "claiming"  # the follower was asked to sync the claim
    GRANTED = "granted"
    REFUSED = "refused"  # the replica did not have it; its ingress may ask again under its claim


WAITING = RequestStep.WAITING
GRANTED = RequestStep.GRANTED
REFUSED = RequestStep.REFUSED
"""For loops over all requests: reading a member of an enum takes its time."""


class QueuedRequest(Record):
    """One request at its tenant's owner.

    :ivar request_id: unique in the fleet.
    :ivar asking: which asking of its ingress this is: 1, and one more for each redispatch.
    :ivar ingress: the daemon that asked.
    :ivar tenant: whose request it is.
    :ivar request_class: of the tenant.
    :ivar key_digest: of the tenant and the idempotency key.
    :ivar prefix: the prompt prefix that it declares, or empty.
    :ivar kind: of the replicas that may serve it.
    :ivar is_resumable: whether it may be run again; if not, its key is claimed before it is granted.
    :ivar asked_at: when the ingress asked.
    :ivar time_left: until the deadline, when the ingress asked.
    :ivar deadline: when its client stops waiting.
    :ivar next_attempt_at: when to look for a slot again.
    :ivar step: where it is on its way to a grant.
    :ivar step_deadline: when the present step is given up; None for a step without an end.
    :ivar candidates: replicas whose lease holders were not asked yet.
    :ivar lease_request_id: of the lease that was asked for last.
    :ivar replica: the replica that it is leased a slot of, or asks one of.
    :ivar lease_id: of the slot that it holds; empty for none.
    :ivar is_key_checked: whether its key was looked up among the claims.
    :ivar holds_claim: whether it claimed its key.
    :ivar is_retry: whether its key was asked before.
    :ivar was_not_sent: whether the replica was unusable before it was sent: a redispatch then costs no retry.
    :ivar is_overflow: whether it may run outside the region of its first home.
    :ivar refused_by: replicas that are not tried again.
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
        """Enter a step."""
        self.step, self.step_deadline = step, until

    def has_step_timed_out(self, now: timedelta) -> bool:
        """Whether the present step has taken too long."""
        return self.step_deadline is not None and now > self.step_deadline
