"""The list of live members as a daemon sees it (design 4.3): what the cores hold for live; without them, whom it hears itself."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from operator import itemgetter
from typing import Any, NamedTuple

from ..runtime.effects import Broadcast, Effect, log_record
from ..runtime.events import MembershipChanged
from .records import Attributes, MemberRecord, MemberState
from .replicated_table import ReplicatedTable

_ATTRIBUTE_NAME = itemgetter(0)


class MadeMember(NamedTuple):
    """A member as it was listed last, and what it was made of."""

    record: MemberRecord
    attributes: Attributes
    member: MemberRecord


class LiveMembers:
    """The list of live members.

    :ivar members: in the order of their names, each with its attributes.
    :ivar dead: the daemons that the cores hold for dead.
    :ivar is_outdated: whether the table or the dead have changed since the list was worked out.
    :ivar is_frozen: whether the list stays as it is, since the table is being read anew.
    """

    __slots__ = ("members", "dead", "is_outdated", "is_frozen", "_made", "_own_name", "_was_isolated")

    def __init__(self, *, own_name: str) -> None:
        self.members: tuple[MemberRecord, ...] = ()
        self.dead: frozenset[str] = frozenset()
        self.is_outdated = True
        self.is_frozen = False
        self._made: dict[str, MadeMember] = {}  # by name, as it was listed last
        self._own_name = own_name
        self._was_isolated: bool | None = None

    def by_name(self) -> dict[str, MemberRecord]:
        """Return the live members by name."""
        return {member.name: member for member in self.members}

    def set_dead(self, dead: frozenset[str]) -> None:
        """Note whom the cores hold for dead."""
        self.is_outdated = self.is_outdated or dead != self.dead
        self.dead = dead

    def update(
        self,
        table: ReplicatedTable,
        *,
        own_record: MemberRecord,
        own_attributes: Mapping[str, Any],
        is_isolated: bool,
        is_heard: Callable[[str], bool],
    ) -> list[Effect]:
        """Work the list out again where it may have changed.

        :param is_isolated: no core has answered for long, so only daemons for which `is_heard` is true count.
        :returns: log records and the event that tells the components, where the list has changed.
        """
        if not self.is_outdated and self._was_isolated == is_isolated and not is_isolated:
            return []
        self._was_isolated, self.is_outdated = is_isolated, False
        records = {
            name: record
            for name, record in table.members().items()
            if name not in self.dead and record.state != MemberState.LEFT and (not is_isolated or is_heard(name))
        }
        if own_record.state != MemberState.LEFT:
            records[self._own_name] = own_record
        for name in self._made.keys() - records.keys():
            del self._made[name]
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
        """Return a record with its attributes: the one that was made before, where neither has changed."""
        made = self._made.get(name)
        if made is None or made.record is not record or made.attributes is not attributes:
            made = self._made[name] = MadeMember(record, attributes, record.with_attributes(attributes))
        return made.member

    @staticmethod
    def _own_attributes(table_attributes: Attributes, set_here: Mapping[str, Any]) -> Attributes:
        """Return this daemon's own attributes, as its components last set them."""
        return tuple(sorted({**dict(table_attributes), **set_here}.items(), key=_ATTRIBUTE_NAME))

    def _log_changes(self, members: tuple[MemberRecord, ...]) -> list[Effect]:
        before = {member.name for member in self.members}
        after = {member.name for member in members}
        live = [log_record("daemon-live", daemon=name) for name in sorted(after - before)]
        dead = [log_record("daemon-dead", daemon=name) for name in sorted(before - after)]
        return [*live, *dead]
