"""One order at its tenant's owner (design 6.2)."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(slots=True, kw_only=True)
class QueuedRequest:
    """One order at its tenant's owner.

    Steps: wait (for a slot), lease (a ledger was asked), claim (the follower was asked), granted,
    idle (the replica did not have it; its ingress may ask again under its claim).
    """

    oid: str
    n: int  # the ask of its ingress: 1, and one more for each redispatch
    frm: str  # its ingress
    tenant: str
    cls: str
    kd: str  # digest of tenant and key
    prefix: str
    kind: str
    resumable: bool
    at: timedelta  # when it was asked
    left: timedelta
    due: timedelta
    next: timedelta  # when to look for a slot again
    step: str = "wait"
    rid: str = ""
    lid: str = ""  # the slot's lease, while it is held
    ask: str = ""
    list: list = field(default_factory=list)  # candidates not asked yet
    seen: bool = False  # was its key looked up among the claims?
    till: timedelta | None = None
    free: bool = False  # was it barred before it was sent? Then a redispatch costs nothing
    again: bool = False  # is it a retry?
    claim: bool = False  # does it hold its key's claim?
    spill: bool = False
    avoid: set = field(default_factory=set)  # replicas that refused it

    def set(self, **kw):
        for k, v in kw.items():
            setattr(self, k, v)
