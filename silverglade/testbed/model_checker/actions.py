"""What may happen next in a model of the control parts, as typed records that travel as JSON."""

import json
from typing import NamedTuple


class Deliver(NamedTuple):
    """A message in flight reaches its core. `again`: a copy of it stays in flight."""

    sender: str
    to: str
    kind: str
    digest: str
    again: bool = False


class Hold(NamedTuple):
    """A message is late: the ordinary schedule passes over it, and it may come at any later moment, or never."""

    sender: str
    to: str
    kind: str
    digest: str


class Sync(NamedTuple):
    """The oldest write under way at a core is on its disk, and the core is told."""

    core: str


class Stall(NamedTuple):
    """A core's disk is slow: the ordinary schedule passes over it."""

    core: str


class Crash(NamedTuple):
    """A core loses power. Of the writes under way the first `kept` reached the disk, unheard; the rest are lost."""

    core: str
    kept: int


class Wipe(NamedTuple):
    """A core loses power and its disk; a new disk is put in."""

    core: str


class Start(NamedTuple):
    """A core that is down starts from its disk; one that was never there joins as a new machine."""

    core: str


class Cut(NamedTuple):
    """What a core ("out"), its peer ("in"), or each ("both") sends the other from now on is lost. peer "": all others."""

    core: str
    peer: str = ""
    way: str = "both"


class Heal(NamedTuple):
    """A core's messages pass again."""

    core: str


class Freeze(NamedTuple):
    """A core's process stands still while time goes on."""

    core: str


class Thaw(NamedTuple):
    """A frozen core goes on, with old heartbeats before it."""

    core: str


class Tick(NamedTuple):
    """Time passes: `count` heartbeats of it. Every core gets its timer, heartbeats pass at once."""

    count: int


class Call(NamedTuple):
    """An operator's call (by its index in the scenario) is sent, for the first time or again, to a core."""

    call: int
    core: str


KINDS = {k.__name__.lower(): k for k in (Deliver, Hold, Sync, Stall, Crash, Wipe, Start, Cut, Heal, Freeze, Thaw, Tick, Call)}


def to_json(scenario, actions):
    """The script of a trace: the scenario's name and what happened, one object an action."""
    rows = ",\n  ".join(json.dumps({"do": type(a).__name__.lower(), **a._asdict()}) for a in actions)
    return f'{{"scenario": {json.dumps(scenario)}, "actions": [\n  {rows}\n]}}\n'


def from_json(text):
    """-> (name of the scenario, actions)."""
    held = json.loads(text)
    return held["scenario"], [KINDS[row.pop("do")](**row) for row in map(dict, held["actions"])]
