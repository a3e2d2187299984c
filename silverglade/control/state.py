"""The state of a control core (design 5): plain typed values, which values.py copies and compares."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any, NamedTuple

from ..runtime.effects import ZERO
from .heartbeat import Peers
from .operation_results import Result
from .operations import ControlOperation
from .outcomes import VersionAges
from .register import Register
from .register import read as read_register
from .replicated_state import INITIAL_VERSION, Items, Version
from .seek import Seeker
from .spread import Place, Tolerance
from .store import Store
from .view import View
from .writes import DiskOperation, Writes

Client = tuple[str, int]
"""Who waits for an operation: the daemon and the number of its request there."""


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """What a core is given when it starts, and never changes.

    :ivar named: the cores that form the first view.
    :ivar may_form: whether this core may form the first view (design 5.5).
    :ivar formed_before: whether its disk says so from an earlier start.
    :ivar tuning: time settings and limits, shared by all components and never written here.
    """

    name: str
    disk: str
    named: tuple[str, ...]
    may_form: bool
    formed_before: bool
    tolerance: Tolerance
    tuning: Mapping[str, Any]

    def __deepcopy__(self, memo: dict[int, Any]) -> CoreSettings:
        return self


class StoreOnDisk(Enum):
    """Whether the store on this core's disk is as it is held in memory."""

    WHOLE = "whole"
    WRITING = "writing"  # it is being written anew
    TORN = "torn"  # a write of it failed


class QueuedOperation(NamedTuple):
    """An operation that waits for its turn.

    :ivar client: who is told the result; None for nobody.
    :ivar change: the operator's own id of the change; "" for none.
    :ivar digest: of the operation's text.
    """

    client: Client | None
    change: str
    operation: ControlOperation
    digest: str


class Answer(NamedTuple):
    """The result of an operation, for its client."""

    client: Client | None
    result: Result


@dataclass(slots=True)
class PendingChange:
    """The one change in flight: of all operations that were settled together, in their order.

    They are answered when `synced_here` and `synced_by` holds every backup. Without items it only asks the backups whether the
    view still holds, for reads and refusals.

    :ivar version: of the store with the change.
    :ivar previous: of the store before it.
    :ivar synced_here: whether the primary's own disk has synced it.
    :ivar nonce: names the change among those of the epoch.
    :ivar sent: when it was last sent to the backups.
    """

    answers: tuple[Answer, ...]
    items: Items
    version: Version
    previous: Version
    synced_here: bool
    nonce: int
    sent: timedelta
    synced_by: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class OpeningSnapshot:
    """The snapshot with which a new primary opens its view, and when it was last sent."""

    nonce: int
    sent: timedelta


@dataclass(frozen=True, slots=True)
class BetterView:
    """The view that the primary would rather have, and since when the live cores have been the same."""

    since: timedelta
    view: View


class HeldRequest(NamedTuple):
    """A daemon's request for updates that is held until there is one."""

    received: timedelta
    sender: str
    number: int
    version: Version
    position: Any


@dataclass(slots=True)
class CoreState:
    """All that a control core knows. Only a step changes it.

    On disk before anything is said that rests on it: `register`, `sealed`, `recruited`, `served` and `store`; `committed_items` and
    `committed_version` follow later, and may be behind on disk.

    Invariants:
    - `view.epoch` never falls; `sealed`, `recruited`, `served`, `committed_version` and the register's promise never fall.
    - `register.base == view`: what is known to be chosen is what the witness holds as its base.
    - `open_epoch` is 0 or `view.epoch`, and is not 0 only on the primary, after all backups have synced its whole store.
    - A backup takes changes of `view` only while `served == view.epoch > sealed`.
    - On disk, the committed items lack nothing up to the committed version there.
    - `pending` is None but on the primary of `view`: begun in it, or, until the view is open, part of `store`.
    - Every version in `committed_items` is at most `committed_version`, and was acknowledged or synced by all members of a view.
    - `proofs` and `snapshot_synced_by` name backups of `view` alone.
    """

    # the register, and the newest view known to be chosen
    register: Register
    view: View | None
    # epochs: no more changes are taken under `sealed`; this core was recruited for `recruited`; its store began from the opening
    # snapshot of `served`
    sealed: int
    recruited: int
    served: int
    # what control holds, and what of it may be told to others (design 5.7)
    store: Store
    committed_items: Store
    committed_version: Version
    store_on_disk: StoreOnDisk
    writes: Writes
    # the other cores
    peers: Peers
    places: dict[str, Place]
    # what this process adds to its clock in the stamps of its heartbeats, so that no other process's stamp is taken for its own
    stamp_origin: int
    # of the committed items: what is not on disk yet, by key, and whether a write of some is under way
    committed_unwritten: dict[str, DiskOperation] = field(default_factory=dict)
    committed_write_under_way: bool = False
    known_cores: set[str] = field(default_factory=set)  # through membership, or by a heartbeat
    leaving: set[str] = field(default_factory=set)  # those that said that they leave, and are not back
    live: dict[str, str] = field(default_factory=dict)  # those that may be named in a view, and since when they are the same
    live_since: timedelta = ZERO
    heartbeat_sent: dict[str, timedelta] = field(default_factory=dict)
    # when the next round of heartbeats is due (None before the first event); since when this core is awake in its view, has
    # been seeking another, and, as its primary, is to hear all; was it said that it may end?
    next_heartbeat: timedelta | None = None
    awake_since: timedelta = ZERO
    seeking_since: timedelta | None = None
    listening_since: timedelta = ZERO
    exit_allowed: bool = False
    # primary: the epoch in which it is open, changes, the snapshot that opens the view, proofs that it still leads
    open_epoch: int = 0
    queue: list[QueuedOperation] = field(default_factory=list)
    pending: PendingChange | None = None
    outcome_ages: VersionAges = field(default_factory=VersionAges)
    opening_snapshot: OpeningSnapshot | None = None
    snapshot_synced_by: set[str] = field(default_factory=set)
    proofs: dict[str, timedelta] = field(default_factory=dict)
    # the newest time at which the primary was proved to be primary; when the last pull of committed items was sent
    proved_at: timedelta | None = None
    pulled_at: timedelta | None = None
    # seeking a new view: the seeker; a better view; the epoch that this core sealed to seek the next; recruits' syncs
    seeker: Seeker | None = None
    better: BetterView | None = None
    sealed_by_self: int = 0
    recruits_synced: dict[tuple[str, int, int], str] = field(default_factory=dict)  # (core, epoch, nonce) -> disk
    # daemons that wait for news; where the table of soft state stands (design 4.3)
    held_requests: list[HeldRequest] = field(default_factory=list)
    table_position: Any = None


def may_form_first_view(*, name: str, named: Iterable[str], first: bool, formed_before: bool) -> bool:
    """Tell whether this core may form the first view (design 5.5): it was started for that, now or, by its disk, before."""
    return name in named and (first or formed_before)


def initial_state(
    *,
    settings: CoreSettings,
    meta: Mapping[str, Any],
    store: Mapping[str, Any],
    committed: Mapping[str, Any],
    place: Place,
    stamp_origin: int = 0,
) -> CoreState:
    """Return the state after a start, from the tables on disk as last synced."""
    register = read_register(meta)
    return CoreState(
        register=register,
        view=register.base,
        sealed=meta.get("sealed", 0),
        recruited=meta.get("recruited", 0),
        served=meta.get("served", 0),
        store=dict(store),
        committed_items=dict(committed),
        committed_version=meta.get("shown", INITIAL_VERSION),
        store_on_disk=StoreOnDisk.WHOLE,
        writes=Writes(settings.tuning),
        peers=Peers(settings.tuning),
        places={settings.name: place},
        stamp_origin=stamp_origin,
    )
