"""A core as a witness: its part in the view register (design 5.2). What it says is on its disk first."""

from __future__ import annotations

from datetime import timedelta

from . import register as rg
from . import view_change
from .context import CoreContext
from .messages import Accept, Accepted, Prepare, Promise, Rejected
from .register import Register
from .writes import Outgoing, TellIfSynced, keep


def on_prepare(core: CoreContext, sender: str, message: Prepare, now: timedelta) -> None:
    """A proposer asks for a promise."""
    if message.ballot.proposer == sender:
        vote(core, sender, *rg.prepare(core.state.register, message, disk=core.settings.disk), now)


def on_accept(core: CoreContext, sender: str, message: Accept, now: timedelta) -> None:
    """A proposer asks to accept a view; the base that it names is chosen."""
    if message.ballot.proposer == sender:
        view_change.adopt(core, message.base, now)
        vote(core, sender, *rg.accept(core.state.register, message, disk=core.settings.disk), now)


def vote(core: CoreContext, to: str, register: Register, answer: Promise | Accepted | Rejected, now: timedelta) -> None:
    """Keep the register, then answer; at once where it is as it was."""
    if register is core.state.register:
        core.send(to, answer)
        return
    core.state.register = register
    core.write(keep(reg=register.stored()), TellIfSynced(Outgoing(to, answer)), now)
