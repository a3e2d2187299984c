"""The messages between cores, one class a kind (design 5).

On the wire each is an array of its kind and its fields in the order given here (transport/message_schemas.py checks the shapes of
all kinds before any component sees them; transport/framing.py packs them). `decode` checks a body once, where it enters
control; from there on messages are matched by class.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from .replicated_state import Items, Version, is_item_list, is_version
from .view import Ballot, View, decode_ballot, decode_view, is_ballot, is_view, is_view_or_none, to_array


class Heartbeat(NamedTuple):
    """What a core says of itself.

    :ivar committed: the newest version that it may tell to others.
    :ivar able: whether its disk takes writes, and it does not leave.
    :ivar disk: the id of its disk.
    :ivar sealed: the newest epoch that it sealed.
    :ivar blank: whether its disk is empty and it may form the first view.
    :ivar stamp: its clock, in ms.
    :ivar echo: the newest stamp of the receiver that it has seen; -1 for none.
    :ivar age: of its proof that the primary is still primary, in ms; -1 for none.
    """

    epoch: int
    committed: Version
    eligible: bool
    disk: str
    sealed: int
    can_form: bool
    stamp: int
    echo: int
    age: int


class ChosenView(NamedTuple):
    """A view that is known to be chosen."""

    view: View | None


class Prepare(NamedTuple):
    """A proposer asks a witness to promise its ballot."""

    ballot: Ballot


class Accept(NamedTuple):
    """A proposer asks a witness to accept `view` as the one that follows `base`."""

    ballot: Ballot
    base: View | None
    view: View


class Promise(NamedTuple):
    """A witness will take no lower ballot; what it accepted so far, and the newest view it knows to be chosen."""

    ballot: Ballot
    disk: str
    accepted: Ballot
    view: View | None
    base: View | None


class Accepted(NamedTuple):
    """A witness accepted the view of this ballot."""

    ballot: Ballot
    disk: str


class Rejected(NamedTuple):
    """A witness has promised a higher ballot, or knows a later base."""

    ballot: Ballot
    disk: str
    promised: Ballot


class Snapshot(NamedTuple):
    """A whole store: for a recruit of the view with that epoch (`view` is None), or to open `view`."""

    epoch: int
    nonce: int
    view: View | None
    items: Items


class SnapshotSynced(NamedTuple):
    """A member has synced the snapshot; on which disk."""

    epoch: int
    nonce: int
    disk: str


class Replicate(NamedTuple):
    """A change for a backup to sync; without items it only asks whether the view still holds."""

    epoch: int
    nonce: int
    previous: Version
    version: Version
    items: Items


class Replicated(NamedTuple):
    """A backup has synced the change, or confirms the view."""

    epoch: int
    nonce: int


class CommittedItems(NamedTuple):
    """The items acknowledged after `previous`, up to `version`; none are sent to a backup, which holds them already."""

    epoch: int
    previous: Version
    version: Version
    items: Items


class Pull(NamedTuple):
    """A core asks for what was acknowledged after a version."""

    version: Version


class UpdateRequest(NamedTuple):
    """A daemon asks for an update after a version; `position` is where its table of soft state stands."""

    number: int
    version: Version
    position: Any


class Operation(NamedTuple):
    """A client's operation; `change` is its id for repeats, `digest` that of its text."""

    number: int
    change: str
    operation: tuple[Any, ...]
    digest: str


class Fence(NamedTuple):
    """A client asks on which version an operation without a base of its own would rest now (configuration/operator_calls.py)."""

    number: int
    operation: tuple[Any, ...]


class Fenced(NamedTuple):
    """The answer: the operation is taken only while that version stands."""

    number: int
    version: Version


class OperationResult(NamedTuple):
    """The answer to a client's operation; `result` is the array of one of operation_results.py."""

    number: int
    result: tuple[Any, ...]


Message = (
    Heartbeat
    | ChosenView
    | Prepare
    | Accept
    | Promise
    | Accepted
    | Rejected
    | Snapshot
    | SnapshotSynced
    | Replicate
    | Replicated
    | CommittedItems
    | Pull
    | UpdateRequest
    | Operation
    | Fence
    | Fenced
    | OperationResult
)


def _has_type(kind: type) -> Callable[[Any], bool]:
    return lambda value: type(value) is kind


def _any_value(value: Any) -> bool:
    return True


INT, TEXT, FLAG, ARRAY = _has_type(int), _has_type(str), _has_type(bool), _has_type(tuple)
VERSION, ITEMS = is_version, is_item_list

Fields = tuple[Callable[[Any], bool], ...]

KINDS: dict[str, tuple[Callable[..., Message], Fields]] = {
    "hb": (Heartbeat, (INT, VERSION, FLAG, TEXT, INT, FLAG, INT, INT, INT)),
    "view": (ChosenView, (is_view_or_none,)),
    "prep": (Prepare, (is_ballot,)),
    "acc": (Accept, (is_ballot, is_view_or_none, is_view)),
    "prom": (Promise, (is_ballot, TEXT, is_ballot, is_view_or_none, is_view_or_none)),
    "accd": (Accepted, (is_ballot, TEXT)),
    "nack": (Rejected, (is_ballot, TEXT, is_ballot)),
    "snap": (Snapshot, (INT, INT, is_view_or_none, ITEMS)),
    "snapok": (SnapshotSynced, (INT, INT, TEXT)),
    "repl": (Replicate, (INT, INT, VERSION, VERSION, ITEMS)),
    "repd": (Replicated, (INT, INT)),
    "items": (CommittedItems, (INT, VERSION, VERSION, ITEMS)),
    "pull": (Pull, (VERSION,)),
    "get": (UpdateRequest, (INT, VERSION, _any_value)),
    "op": (Operation, (INT, TEXT, ARRAY, TEXT)),
    "fence": (Fence, (INT, ARRAY)),
    "fenced": (Fenced, (INT, VERSION)),
    "opr": (OperationResult, (INT, ARRAY)),
}
NAMES: dict[type, str] = {kind: name for name, (kind, _) in KINDS.items() if isinstance(kind, type)}
DECODERS: dict[Callable[[Any], bool], Callable[[Any], Any]] = {is_ballot: decode_ballot, is_view: decode_view, is_view_or_none: decode_view}
KINDS_WITH_VIEWS_OR_BALLOTS = frozenset(name for name, (_, fields) in KINDS.items() if not DECODERS.keys().isdisjoint(fields))


def encode(message: Message) -> tuple[Any, ...]:
    """Return the array that travels."""
    name = NAMES[type(message)]
    if name in KINDS_WITH_VIEWS_OR_BALLOTS:
        return (name, *[to_array(field) for field in message])
    return (name, *message)


def decode(body: tuple[Any, ...]) -> Message | None:
    """Return the message of a body; None for a kind that control does not handle, or one that is not well formed."""
    known = KINDS.get(body[0])
    if known is None:
        return None
    kind, checks = known
    fields = body[1:]
    if len(fields) != len(checks):
        return None
    for check, field in zip(checks, fields):
        if not check(field):
            return None
    if body[0] in KINDS_WITH_VIEWS_OR_BALLOTS:
        return kind(*[DECODERS[check](field) if check in DECODERS else field for check, field in zip(checks, fields)])
    return kind(*fields)
