"""What the outcome of an attempt says of its replica (design 15.3, 15.10), and who is told."""

from __future__ import annotations

from datetime import timedelta

from ..runtime.components import Component
from ..runtime.effects import ExpireIdleConnections, Post
from ..runtime.events import ReplicaSuspected
from .context import RouterContext
from .replicas import ReplicaState


class ReplicaFeedback:
    """Notes outcomes at replicas and tells others of them."""

    __slots__ = ("context",)

    def __init__(self, context: RouterContext) -> None:
        self.context = context

    def accuse(self, replica: ReplicaState, now: timedelta) -> None:
        """Tell other daemons that it failed a request (15.10)."""
        context = self.context
        if "shared-suspicion" in context.switched_off:
            return
        context.ejection.accuse(now, replica, [other for other in context.replicas.values() if other.gone_since is None])
        if context.publish_accusations():
            context.log("replica-accused", replica=replica.id)

    def on_served(self, replica: ReplicaState, now: timedelta) -> None:
        """Note that it served a request."""
        replica.on_success()
        self.context.ejection.on_answer(now, replica)
        self.context.publish_accusations()

    def on_doubt(self, replica: ReplicaState, now: timedelta, *, may_be_down: bool) -> None:
        """Note that it is silent or broke off: others go first and its health checker asks it.

        Idle connections to it end if its machine may be down. A machine that goes down ends none: what is written on an old
        one to the machine's next start would be lost, whereas a new one says for sure that nothing arrived, or brings an answer.
        """
        replica.on_failure(now)
        self.context.effects.append(Post(Component.ENDPOINT_LIST, ReplicaSuspected(replica.id)))
        if may_be_down:
            self.context.effects.append(ExpireIdleConnections(replica.id))
