"""Effects of an attempt's outcome on the state of its replica (design 15.3, 15.10), here and at other daemons."""

from __future__ import annotations

from datetime import timedelta

from ..runtime.components import Component
from ..runtime.effects import ExpireIdleConnections, Post
from ..runtime.events import ReplicaSuspected
from .context import RouterContext
from .replicas import ReplicaState


class ReplicaFeedback:
    """Records outcomes in the state of replicas and notifies other components and daemons."""

    __slots__ = ("context",)

    def __init__(self, context: RouterContext) -> None:
        self.context = context

    def accuse(self, replica: ReplicaState, now: timedelta) -> None:
        """Publish an accusation of a replica that failed a request (design 15.10)."""
        context = self.context
        if "shared-suspicion" in context.switched_off:
            return
        context.ejection.accuse(now, replica, [other for other in context.replicas.values() if other.gone_since is None])
        if context.publish_accusations():
            context.log("replica-accused", replica=replica.id)

    def on_served(self, replica: ReplicaState, now: timedelta) -> None:
        """Record that the replica served a request."""
        replica.on_success()
        self.context.ejection.on_answer(now, replica)
        self.context.publish_accusations()

    def on_suspected(self, replica: ReplicaState, now: timedelta, *, may_be_down: bool) -> None:
        """Record silence or a broken response: start a backoff and request a health check out of turn.

        Idle connections are closed if the machine may be down. A machine that goes down closes none of its connections: a request
        written to an old one after the machine has restarted would be lost, whereas a new connection either fails for certain
        before anything is sent or yields a response.
        """
        replica.on_failure(now)
        self.context.effects.append(Post(Component.ENDPOINT_LIST, ReplicaSuspected(replica.id)))
        if may_be_down:
            self.context.effects.append(ExpireIdleConnections(replica.id))
