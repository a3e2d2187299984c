"""A daemon's list of live members (design 4.3).

It follows the cores' view; while no core answers, it holds the members that send heartbeats to this daemon.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from operator import itemgetter
from typing import Any, NamedTuple

from ..runtime.effects import Broadcast, Effect, log_record
from ..runtime.events import MembershipChanged
from .records import Attributes, MemberRecord, MemberState
from .replicated_table import ReplicatedTable

_ATTRIBUTE_NAME = itemgetter(0)


class CachedMember(NamedTuple):
    """A member of the last computed list, with the record and attributes from which it was built."""

    record: MemberRecord
    attributes: Attributes
    member: MemberRecord


class LiveMembers:
    """The list of live members.

    :ivar members: sorted by name, each with its attributes.
    :ivar dead: the daemons that the cores consider dead.
    :ivar is_outdated: whether the table or `dead` has changed since the list was last computed.
    :ivar is_frozen: whether the list must not change, because the table is being fetched again from a core.
    """

    __slots__ = ("members", "dead", "is_outdated", "is_frozen", "_cache", "_own_name", "_was_isolated")

    def __init__(self, *, own_name: str) -> None:
        self.members: tuple[MemberRecord, ...] = ()
        self.dead: frozenset[str] = frozenset()
        self.is_outdated = True
        self.is_frozen = False
        self._cache: dict[str, CachedMember] = {}  # name -> member of the last computed list
        self._own_name = own_name
        self._was_isolated: bool | None = None

    def by_name(self) -> dict[str, MemberRecord]:
        """Return the live members by name."""
        return {member.name: member for member in self.members}

    def set_dead(self, dead: frozenset[str]) -> None:
        """Set the daemons that the cores consider dead."""
        self.is_outdated = self.is_outdated or dead != self.dead
        self.dead = dead

    def update(
        self,
        table: ReplicatedTable,
        *,
        own_record: MemberRecord,
        own_attributes: Mapping[str, Any],
        is_isolated: bool,
        has_recent_heartbeat: Callable[[str], bool],
    ) -> list[Effect]:
        """Compute the list again if it may have changed.

        :param is_isolated: whether no core has answered for long; then only daemons with a recent heartbeat are listed.
        :param has_recent_heartbeat: whether a daemon, given by name, has recently sent a heartbeat to this one.
        :returns: log records and a `MembershipChanged` event for the components; empty if the list has not changed.
        """
        if not self.is_outdated and self._was_isolated == is_isolated and not is_isolated:
            return []
        self._was_isolated, self.is_outdated = is_isolated, False
        records = {
            name: record
            for name, record in table.members().items()
            if name not in self.dead and record.state != MemberState.LEFT and (not is_isolated or has_recent_heartbeat(name))
        }
        if own_record.state != MemberState.LEFT:
            records[self._own_name] = own_record
        for name in self._cache.keys() - records.keys():
            del self._cache[name]
        attributes = {name: table.attributes_of(name) for name in records}
        if self._own_name in records:
            attributes[self._own_name] = self._own_attributes(attributes[self._own_name], own_attributes)
        members = tuple([self._member(name, records[name], attributes[name]) for name in sorted(records)])
        if members == self.members or self.is_frozen:
            return []
        effects: list[Effect] = [*self._log_changes(members), Broadcast(MembershipChanged(members))]
        self.members = members
        return effects

    def _member(self, name: str, record: MemberRecord, attributes: Attributes) -> MemberRecord:
        """Return a record with its attributes; the same object as before if neither has changed."""
        cached = self._cache.get(name)
        if cached is None or cached.record is not record or cached.attributes is not attributes:
            cached = self._cache[name] = CachedMember(record, attributes, record.with_attributes(attributes))
        return cached.member

    @staticmethod
    def _own_attributes(table_attributes: Attributes, local_values: Mapping[str, Any]) -> Attributes:
        """Return this daemon's attributes: those in the table, overridden by the values that its components last set."""
        return tuple(sorted({**dict(table_attributes), **local_values}.items(), key=_ATTRIBUTE_NAME))

    def _log_changes(self, members: tuple[MemberRecord, ...]) -> list[Effect]:
        before = {member.name for member in self.members}
        after = {member.name for member in members}
        live = [log_record("daemon-live", daemon=name) for name in sorted(after - before)]
        dead = [log_record("daemon-dead", daemon=name) for name in sorted(before - after)]
        return [*live, *dead]
