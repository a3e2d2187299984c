"""The primary's evaluation of operations against the current store (design 5.3, 5.4).

`decide` evaluates a single operation. `settle` also recognises repeated operations by their change id and records outcomes. Both
are pure: they return the items to write and change nothing.
"""

from __future__ import annotations

from typing import Any

from ..configuration import schema
from ..duties.duty import Duty
from ..runtime import result_codes
from ..runtime.errors import SilvergladeError
from ..transport import framing
from . import outcomes
from .decision_types import Apply, Decision, FutureBase, Read, Values
from .operation_results import Acknowledged, Refused, Result, SourceRead, Stale
from .operations import (
    AssignRole,
    AssignRoles,
    ConfigurationChange,
    ControlOperation,
    DropRoles,
    Evacuate,
    FencedOperation,
    NumberedConfigurationChange,
    ReadSource,
    RecordUsage,
    ReopenShard,
)
from .replicated_state import (
    CONFIGURATION_KEY,
    DUTY_ROLE,
    INITIAL_VERSION,
    SHARD_ROLE,
    SOURCE_KEY,
    USAGE_KEY,
    Items,
    RoleAssignment,
    StoreView,
    UsageRecord,
    Version,
    configuration_number,
    epoch_floor,
    epoch_floor_key,
    evacuation_key,
    fencing_token_of,
    role_assignment,
    role_key,
    usage_record,
    value_of,
    version_of,
)

MAX_FAULTS_CHARS = 2000
"""Maximum length, in characters, of the list of faults returned to the sender of an invalid configuration."""


def settle(
    store: StoreView,
    *,
    change_id: str,
    operation: ControlOperation,
    digest: str,
    version: Version,
    previous: Version,
    aged: Version = INITIAL_VERSION,
) -> tuple[Result, Items]:
    """Evaluate an operation, or return the recorded outcome if its change id was settled before.

    :param change_id: the change id given by the operator, an idempotency key; "" for none.
    :param digest: digest of the operation's text; a change id belongs to one text.
    :param version: the version that the change gets if it is accepted.
    :param previous: the current version of the store.
    :param aged: the newest version whose outcomes have been kept for the retention time.
    :returns: the result for the client, and the items to write to the store.
    """
    recorded = outcomes.find_outcome(store, change_id)
    if recorded is not None:
        return repeated_result(store, operation, change_id, digest, recorded), ()
    decision = decide(store, operation, version)
    match decision:
        case Read(source):
            return SourceRead(previous, source), ()
        case Apply(values):
            items = tuple((key, version, value) for key, value in values)
            if change_id:
                number = operation.number if isinstance(operation, NumberedConfigurationChange) else 0
                items += (outcomes.outcome_item(change_id=change_id, digest=digest, version=version, number=number),)
                items += outcomes.advanced_horizon(store, version=version, aged=aged)
            return Acknowledged(version), items
        case FutureBase():
            return refuse_future_base(store, operation), refusal_items(store, change_id, digest, version, aged)
        case Refused() | Stale():
            return decision, ()


def repeated_result(store: StoreView, operation: ControlOperation, change_id: str, digest: str, recorded: outcomes.Outcome) -> Result:
    """Return the result of a repeated operation whose change id has the recorded outcome `recorded`."""
    if recorded.digest != digest:
        return Refused(result_codes.CHANGE_USED, change_id)
    return Acknowledged(recorded.version) if recorded.version != INITIAL_VERSION else refuse_future_base(store, operation)


def refusal_items(store: StoreView, change_id: str, digest: str, version: Version, aged: Version) -> Items:
    """Return items that record a permanent refusal: a late duplicate of the change must not be accepted once its base exists."""
    if not change_id:
        return ()
    outcome = outcomes.outcome_item(change_id=change_id, digest=digest, version=version, number=0, accepted=False)
    return (outcome, *outcomes.advanced_horizon(store, version=version, aged=aged))


def refuse_future_base(store: StoreView, operation: ControlOperation) -> Refused:
    """Refuse an operation whose base does not exist yet, and name the version or number in force."""
    if isinstance(operation, NumberedConfigurationChange):
        return base_conflict(configuration_number(store))
    return base_conflict(version_text(version_of(store, CONFIGURATION_KEY)))


def version_text(version: Version) -> str:
    """Return a version in the form shown to operators."""
    epoch, number = version
    return f"{epoch}.{number}"


def base_conflict(in_force: int | str) -> Refused:
    """Refuse an operation because its base is not the one in force."""
    return Refused(result_codes.CONFLICT, f"in force is {in_force}")


def decide(store: StoreView, operation: ControlOperation, version: Version) -> Decision:
    """Evaluate one operation. Only the primary calls this.

    :param version: the version that the change gets if it is accepted.
    """
    match operation:
        case ConfigurationChange():
            return decide_configuration(store, operation, version)
        case NumberedConfigurationChange():
            return decide_numbered_configuration(store, operation, version)
        case ReadSource():
            return Read(value_of(store, SOURCE_KEY, ""))
        case Evacuate():
            return decide_evacuation(store, operation)
        case AssignRole():
            return decide_assignment(store, operation)
        case AssignRoles():
            return decide_assignments(store, operation)
        case DropRoles():
            return decide_drop(store, operation)
        case ReopenShard():
            return decide_reopening(store, operation)
        case RecordUsage():
            return decide_usage(store, operation)
    return Refused(result_codes.BAD_CALL, "unknown change")


def decide_configuration(store: StoreView, operation: ConfigurationChange, version: Version) -> Decision:
    """Evaluate a configuration change whose base is the version that it replaces."""
    held = version_of(store, CONFIGURATION_KEY)
    if operation.base != held:
        horizon, _ = outcomes.horizon(store)
        return base_mismatch(operation.base, held, horizon) or base_conflict(version_text(held))
    configuration, faults = schema.parse_configuration(operation.raw)
    if faults:
        return refuse_invalid_configuration(faults)
    return apply_if_store_fits(store, version, ((CONFIGURATION_KEY, configuration),))


def decide_numbered_configuration(store: StoreView, operation: NumberedConfigurationChange, version: Version) -> Decision:
    """Evaluate a configuration change whose versions the operator numbers (design 15.2)."""
    held = configuration_number(store)
    if operation.base != held:
        _, horizon = outcomes.horizon(store)
        return base_mismatch(operation.base, held, horizon) or base_conflict(held)
    configuration, faults = schema.parse_configuration(operation.raw)
    if not faults and not operation.number == configuration["number"] > held:
        faults = (("number", f"must be above {held}"),)
    if faults:
        return refuse_invalid_configuration(faults)
    return apply_if_store_fits(store, version, ((CONFIGURATION_KEY, configuration), (SOURCE_KEY, operation.source)))


def base_mismatch(base: Any, held: Any, horizon: Any) -> Stale | FutureBase | None:
    """Return the decision on a change whose base is not the current one; None for an ordinary refusal.

    :param horizon: a change with a base below it may have been accepted earlier and its outcome since forgotten, so it is stale.
    """
    if base < horizon:
        return Stale()
    return FutureBase() if base > held else None


def refuse_invalid_configuration(faults: Any) -> Refused:
    """Refuse a configuration; the detail lists the path and the description of each fault."""
    text = "; ".join(f"{path}: {sentence}" for path, sentence in faults)
    return Refused(result_codes.BAD_CONFIG, text[:MAX_FAULTS_CHARS])


def apply_if_store_fits(store: StoreView, version: Version, values: Values) -> Decision:
    """Accept a configuration only if the resulting store fits in one frame, since the store is sent whole to members and daemons."""
    rows = {**store, **{key: (version, value) for key, value in values}}
    try:
        fits = framing.fits_in_frame(tuple((key, item_version, value) for key, (item_version, value) in rows.items()))
    except SilvergladeError as error:
        return Refused(result_codes.BAD_CONFIG, error.detail)
    return Apply(values) if fits else Refused(result_codes.CHANGE_TOO_LARGE, "")


def fencing_token(store: StoreView, operation: FencedOperation) -> Version:
    """Return the fencing token of an operation that has no base of its own: the version it depends on (design 5.4).

    Every change to the item that the operation concerns yields a new, higher token. For an evacuation so does a change of the
    configuration, which determines whether the zone is known.
    """
    if isinstance(operation, Evacuate):
        return fencing_token_of(store, (evacuation_key(operation.zone), CONFIGURATION_KEY))
    return fencing_token_of(store, (role_key(SHARD_ROLE, operation.name),))


def decide_evacuation(store: StoreView, operation: Evacuate) -> Decision:
    """Evaluate an evacuation. Setting the current value again is accepted; it makes a new version and so fences out other operations."""
    configuration = value_of(store, CONFIGURATION_KEY)
    if not configuration or operation.zone not in configuration["zones"]:
        return Refused(result_codes.UNKNOWN_ZONE, operation.zone)
    key = evacuation_key(operation.zone)
    is_unchanged = operation.base is not None and value_of(store, key, False) == operation.drained
    if operation.base != fencing_token(store, operation) and not is_unchanged:
        return Stale()
    return Apply(((key, operation.drained),))


def decide_assignment(store: StoreView, operation: AssignRole) -> Decision:
    """Evaluate the assignment of a role, which is conditional on the role's epoch."""
    held = role_assignment(store, operation.kind, operation.name)
    if (held.epoch if held else 0) != operation.base_epoch:
        return Refused(result_codes.CONFLICT, operation.name)
    floor = 0 if held else epoch_floor(store, operation.kind)
    assignment = RoleAssignment(max(operation.base_epoch, floor) + 1, operation.holder, operation.follower)
    return Apply(((role_key(operation.kind, operation.name), tuple(assignment)),))


def decide_assignments(store: StoreView, operation: AssignRoles) -> Decision:
    """Accept those of several assignments whose base epoch is still current."""
    decisions = [decide_assignment(store, assignment) for assignment in operation.assignments]
    return Apply(tuple(value for decision in decisions if isinstance(decision, Apply) for value in decision.values))


def decide_drop(store: StoreView, operation: DropRoles) -> Decision:
    """Drop those of the named roles that exist, and raise the epoch floor of their kind to the highest epoch among them."""
    held = {name: role_assignment(store, operation.kind, name) for name in operation.names}
    epochs = {name: assignment.epoch for name, assignment in held.items() if assignment}
    if not epochs:
        return Apply(())
    floor = max(epoch_floor(store, operation.kind), *epochs.values())
    dropped = tuple((role_key(operation.kind, name), None) for name in sorted(epochs))
    return Apply(((epoch_floor_key(operation.kind), floor), *dropped))


def decide_reopening(store: StoreView, operation: ReopenShard) -> Decision:
    """Evaluate the reopening of a shard without its follower, by which an operator accepts the loss of claims (design 6.4)."""
    held = role_assignment(store, SHARD_ROLE, operation.name)
    if operation.base != fencing_token(store, operation):
        return Stale()
    if held is None:
        return Refused(result_codes.NOT_FOUND, operation.name)
    return Apply(((role_key(SHARD_ROLE, operation.name), tuple(RoleAssignment(held.epoch + 1, held.holder, ""))),))


def decide_usage(store: StoreView, operation: RecordUsage) -> Decision:
    """Evaluate a usage report (design 18.2).

    Only the holder of the duty may record one, and each window once, so that no window is ever sent with two contents.
    """
    held = role_assignment(store, DUTY_ROLE, Duty.USAGE)
    if held is None or held.epoch != operation.base_epoch:
        return Refused(result_codes.CONFLICT, Duty.USAGE)
    recorded = usage_record(store)
    if recorded is not None and operation.window <= recorded.window:
        return Refused(result_codes.CONFLICT, f"recorded is {recorded.window}")
    return Apply(((USAGE_KEY, tuple(UsageRecord(operation.window, operation.counts))),))
