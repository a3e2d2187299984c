"""The state of a control core (design 5), as typed values that state_copy.py can copy and fingerprint."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any, NamedTuple

from ..runtime.effects import ZERO
from .disk_writes import DiskOperation, DiskWrites
from .operation_results import Result
from .operations import ControlOperation
from .outcomes import VersionAges
from .peers import Peers
from .placement import Place, Tolerance
from .register import Register
from .register import read as read_register
from .replicated_state import INITIAL_VERSION, Items, Version
from .store import Store
from .view import MIN_WITNESSES, View
from .view_proposer import ViewProposer

Client = tuple[str, int]
"""The client of an operation: the daemon, and the number of the request at that daemon."""


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """The configuration of a core, fixed when it starts.

    :ivar initial_cores: the cores that form the first view.
    :ivar may_form: whether this core may form the first view (design 5.5).
    :ivar formed_before: whether its disk records that permission from an earlier start.
    :ivar tuning: time settings and limits, shared by all components and never written here.
    """

    name: str
    disk: str
    initial_cores: tuple[str, ...]
    may_form: bool
    formed_before: bool
    tolerance: Tolerance
    tuning: Mapping[str, Any]

    def __deepcopy__(self, memo: dict[int, Any]) -> CoreSettings:
        return self


class StoreOnDisk(Enum):
    """Whether the store on this core's disk matches the one in memory."""

    COMPLETE = "whole"
    REWRITING = "writing"  # the whole store is being rewritten
    INCOMPLETE = "torn"  # a write failed; the store on disk is incomplete


class QueuedOperation(NamedTuple):
    """An operation waiting in the primary's queue.

    :ivar client: the client that gets the result; None if there is none.
    :ivar change: the change id given by the operator, an idempotency key; "" for none.
    :ivar digest: digest of the operation's text.
    """

    client: Client | None
    change: str
    operation: ControlOperation
    digest: str


class Answer(NamedTuple):
    """The result of an operation, with the client to send it to."""

    client: Client | None
    result: Result


@dataclass(slots=True)
class PendingChange:
    """The single change in flight, made of all operations that were settled as one group, in their order.

    The operations are answered once `synced_here` is true and `synced_by` holds every backup. A change without items only asks
    the backups to confirm that the view still holds; reads and refusals need that.

    :ivar version: version of the store with the change.
    :ivar previous: version of the store before it.
    :ivar synced_here: whether the primary's own disk has synced it.
    :ivar nonce: identifies the change within the epoch.
    :ivar sent: when it was last sent to the backups.
    :ivar synced_by: the backups that have confirmed it.
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
    """The snapshot that a new primary sends to open its view, and when it was last sent."""

    nonce: int
    sent: timedelta


@dataclass(frozen=True, slots=True)
class BetterView:
    """A view that the primary prefers to the current one, and since when the set of live cores has been stable."""

    since: timedelta
    view: View


class HeldRequest(NamedTuple):
    """A daemon's request for updates (long poll), held until there is an update or it times out."""

    received: timedelta
    sender: str
    number: int
    version: Version
    position: Any


@dataclass(slots=True)
class CoreState:
    """The complete state of a control core. Only `ControlCore.step` changes it.

    `register`, `sealed`, `recruited`, `store_epoch` and `store` are on disk before any message that depends on them is sent.
    `committed_items` and `committed_version` are written later and may lag behind on disk.

    Invariants:
    - `view.epoch`, `sealed`, `recruited`, `store_epoch`, `committed_version` and the register's promise never decrease.
    - `register.base == view`: the newest view known to be chosen is also the base of the witness.
    - `open_epoch` is 0 or `view.epoch`. It is nonzero only on the primary, once all backups have synced its whole store.
    - A backup accepts changes of `view` only while `store_epoch == view.epoch > sealed`.
    - On disk, the committed items are complete up to the committed version on disk.
    - `pending` is None except on the primary of `view`. It started in that view or, until the view is open, is part of `store`.
    - Every version in `committed_items` is at most `committed_version`, and was acknowledged, or synced by all members of a view.
    - `proofs` and `snapshot_synced_by` name only backups of `view`.
    """

    # the register, and the newest view known to be chosen
    register: Register
    view: View | None
    # epochs: changes of epochs up to `sealed` are refused; `recruited` is the newest epoch this core was recruited for; `store_epoch` is
    # the epoch whose opening snapshot its store started from
    sealed: int
    recruited: int
    store_epoch: int
    # the replicated store, and the committed part of it, which may be sent to others (design 5.7)
    store: Store
    committed_items: Store
    committed_version: Version
    store_on_disk: StoreOnDisk
    writes: DiskWrites
    # the other cores
    peers: Peers
    places: dict[str, Place]
    # offset added to the clock in the stamps of this process's heartbeats, so that it does not mistake another process's stamp for its own
    stamp_origin: int
    # committed items not yet on disk, by key, and whether a write of committed items is in progress
    committed_unwritten: dict[str, DiskOperation] = field(default_factory=dict)
    committed_write_in_progress: bool = False
    known_cores: set[str] = field(default_factory=set)  # learnt from membership or from a heartbeat
    leaving: set[str] = field(default_factory=set)  # cores that announced their departure and have not returned
    live: dict[str, str] = field(default_factory=dict)  # cores that a view may name, with their disks; unchanged since `live_since`
    live_since: timedelta = ZERO
    heartbeat_sent: dict[str, timedelta] = field(default_factory=dict)
    # when the next round of heartbeats is due (None before the first event); since when this core has run without a pause in this
    # view, has been trying to change the view, and, as primary, should have received every core's heartbeats; whether the exit of this
    # daemon has been allowed
    next_heartbeat: timedelta | None = None
    awake_since: timedelta = ZERO
    proposing_since: timedelta | None = None
    listening_since: timedelta = ZERO
    exit_allowed: bool = False
    # primary: the epoch in which it is open, changes, the opening snapshot, and per backup the latest proof that it still leads
    open_epoch: int = 0
    queue: list[QueuedOperation] = field(default_factory=list)
    pending: PendingChange | None = None
    outcome_ages: VersionAges = field(default_factory=VersionAges)
    opening_snapshot: OpeningSnapshot | None = None
    snapshot_synced_by: set[str] = field(default_factory=set)
    proofs: dict[str, timedelta] = field(default_factory=dict)
    # the latest time at which the primary is proved to have led; when the wait before the next pull of committed items started
    proved_at: timedelta | None = None
    pulled_at: timedelta | None = None
    # view changes: the proposer, while this core tries to change the view; a view preferred to the current one; the epoch that this core
    # sealed to propose the next; recruits that synced their copy
    view_proposer: ViewProposer | None = None
    better: BetterView | None = None
    sealed_by_self: int = 0
    recruits_synced: dict[tuple[str, int, int], str] = field(default_factory=dict)  # (core, epoch, nonce) -> disk
    # held requests of daemons; the position of the table of soft state (design 4.3)
    held_requests: list[HeldRequest] = field(default_factory=list)
    table_position: Any = None


def may_form_first_view(*, name: str, initial_cores: Collection[str], first: bool, formed_before: bool) -> bool:
    """Return whether this core may form the first view (design 5.5): it was started for that now or, as its disk records, earlier.

    Settings that name too few cores for a view are those of a later start, when cores may be gone: the first view may already exist.
    """
    return name in initial_cores and len(initial_cores) >= MIN_WITNESSES and (first or formed_before)


def initial_state(
    *,
    settings: CoreSettings,
    meta: Mapping[str, Any],
    store: Mapping[str, Any],
    committed: Mapping[str, Any],
    place: Place,
    stamp_origin: int = 0,
) -> CoreState:
    """Return the state at process start, restored from the tables on disk as last synced."""
    register = read_register(meta)
    return CoreState(
        register=register,
        view=register.base,
        sealed=meta.get("sealed", 0),
        recruited=meta.get("recruited", 0),
        store_epoch=meta.get("served", 0),
        store=dict(store),
        committed_items=dict(committed),
        committed_version=meta.get("shown", INITIAL_VERSION),
        store_on_disk=StoreOnDisk.COMPLETE,
        writes=DiskWrites(settings.tuning),
        peers=Peers(settings.tuning),
        places={settings.name: place},
        stamp_origin=stamp_origin,
    )
