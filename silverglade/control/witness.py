"""The witness role of a core: it votes on the next view (design 5.2). Each vote is on disk before it is sent."""

from __future__ import annotations

from datetime import timedelta

from . import register, view_change
from .context import CoreContext
from .disk_writes import Outgoing, SendIfSynced, meta_puts
from .messages import Accept, Accepted, Prepare, Promise, Rejected
from .register import Register


def on_prepare(core: CoreContext, sender: str, message: Prepare, now: timedelta) -> None:
    """Answer a prepare request."""
    if message.ballot.proposer == sender:
        vote(core, sender, *register.prepare(core.state.register, message, disk=core.settings.disk), now)


def on_accept(core: CoreContext, sender: str, message: Accept, now: timedelta) -> None:
    """Answer an accept request. The base that it names is chosen, so it is adopted first."""
    if message.ballot.proposer == sender:
        view_change.adopt(core, message.base, now)
        vote(core, sender, *register.accept(core.state.register, message, disk=core.settings.disk), now)


def vote(core: CoreContext, to: str, new_register: Register, answer: Promise | Accepted | Rejected, now: timedelta) -> None:
    """Answer a prepare or accept request once the new register is on disk; answer at once if the register is unchanged.

    The register is the witness's durable record of what it has promised and accepted. The answer must not be sent before the
    register is on disk (design 5.2); if the write fails, no answer is sent.

    :param to: the proposer that sent the request.
    :param new_register: the register after the request; the same object as the current one if the request changed nothing.
    """
    if new_register is core.state.register:
        core.send(to, answer)
        return
    core.state.register = new_register
    core.write(meta_puts(reg=new_register.stored()), SendIfSynced(Outgoing(to, answer)), now)
