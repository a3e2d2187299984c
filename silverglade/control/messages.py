"""The messages of control, one class per kind (design 5).

On the wire a message is an array of its kind and its fields, in the order given here. transport/message_schemas.py checks the
shapes of all kinds before any component sees them, and transport/framing.py packs them. `decode` validates a body once, where it
enters control; from there on messages are matched by class.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from .replicated_state import Items, Version, is_item_list, is_version
from .view import Ballot, View, decode_ballot, decode_view, is_ballot, is_view, is_view_or_none, to_array


class Heartbeat(NamedTuple):
    """The status of a core.

    :ivar epoch: the epoch of the newest view that it has adopted; 0 for none.
    :ivar committed: the newest version that it has committed.
    :ivar eligible: whether it may be a member of a view: its disk is writable and it is not leaving.
    :ivar disk: the id of its disk.
    :ivar sealed: the newest epoch that it sealed.
    :ivar can_form: whether its disk is empty and it may form the first view.
    :ivar stamp: its clock, in ms, plus a random offset of its process.
    :ivar echo: the newest stamp that it has received from the recipient; -1 for none.
    :ivar age: the age of its proof that the primary leads, in ms; -1 for none.
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
    """Announces a view that is chosen; None if the sender has not adopted any view."""

    view: View | None


class Prepare(NamedTuple):
    """A proposer asks a witness to promise to reject lower ballots than this one."""

    ballot: Ballot


class Accept(NamedTuple):
    """A proposer asks a witness to accept `view` as the successor of `base`."""

    ballot: Ballot
    base: View | None
    view: View


class Promise(NamedTuple):
    """A witness promises to reject lower ballots.

    :ivar accepted: the ballot under which the witness accepted `view`.
    :ivar view: the view that it has accepted as the successor of `base`; None if there is none.
    :ivar base: the newest view that it knows to be chosen; None if there is none.
    """

    ballot: Ballot
    disk: str
    accepted: Ballot
    view: View | None
    base: View | None


class Accepted(NamedTuple):
    """A witness has accepted the view proposed under this ballot."""

    ballot: Ballot
    disk: str


class Rejected(NamedTuple):
    """A witness rejects a ballot: it has promised a higher one, or knows that a view later than the base is chosen."""

    ballot: Ballot
    disk: str
    promised: Ballot


class Snapshot(NamedTuple):
    """A whole store, sent to recruit a core for the view of that epoch (`view` is None) or to open `view`."""

    epoch: int
    nonce: int
    view: View | None
    items: Items


class SnapshotSynced(NamedTuple):
    """A core confirms that it has synced the snapshot with this nonce to its disk, whose id is `disk`."""

    epoch: int
    nonce: int
    disk: str


class Replicate(NamedTuple):
    """A change for a backup to sync; without items, a request to confirm that the view still holds."""

    epoch: int
    nonce: int
    previous: Version
    version: Version
    items: Items


class Replicated(NamedTuple):
    """A backup has synced the change, or confirms that the view still holds."""

    epoch: int
    nonce: int


class CommittedItems(NamedTuple):
    """The items acknowledged after `previous`, up to `version`; empty for a backup, which already has them."""

    epoch: int
    previous: Version
    version: Version
    items: Items


class Pull(NamedTuple):
    """A core requests the items acknowledged after a version."""

    version: Version


class UpdateRequest(NamedTuple):
    """A daemon requests an update after a version; `position` is the position of its table of soft state."""

    number: int
    version: Version
    position: Any


class Operation(NamedTuple):
    """A client's operation; `change` is its change id, an idempotency key, and `digest` the digest of its text."""

    number: int
    change: str
    operation: tuple[Any, ...]
    digest: str


class FencingTokenRequest(NamedTuple):
    """A client requests the fencing token of an operation without a base of its own (configuration/operator_calls.py)."""

    number: int
    operation: tuple[Any, ...]


class FencingTokenReply(NamedTuple):
    """The answer to `FencingTokenRequest`: the operation is accepted only while `version` is current."""

    number: int
    version: Version


class OperationResult(NamedTuple):
    """The answer to a client's operation; `result` is the encoded form of a class in operation_results.py."""

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
    | FencingTokenRequest
    | FencingTokenReply
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
    "fence": (FencingTokenRequest, (INT, ARRAY)),
    "fenced": (FencingTokenReply, (INT, VERSION)),
    "opr": (OperationResult, (INT, ARRAY)),
}
NAMES: dict[type, str] = {kind: name for name, (kind, _) in KINDS.items() if isinstance(kind, type)}
DECODERS: dict[Callable[[Any], bool], Callable[[Any], Any]] = {is_ballot: decode_ballot, is_view: decode_view, is_view_or_none: decode_view}
KINDS_WITH_VIEWS_OR_BALLOTS = frozenset(name for name, (_, fields) in KINDS.items() if not DECODERS.keys().isdisjoint(fields))


def encode(message: Message) -> tuple[Any, ...]:
    """Return the array sent on the wire."""
    name = NAMES[type(message)]
    if name in KINDS_WITH_VIEWS_OR_BALLOTS:
        return (name, *[to_array(field) for field in message])
    return (name, *message)


def decode(body: tuple[Any, ...]) -> Message | None:
    """Decode a message body; return None for a kind that control does not handle, or for a malformed body."""
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
