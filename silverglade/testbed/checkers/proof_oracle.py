"""What a proof promises (design 5.7), judged after each event of each simulated daemon.

A store that is proved to be the newest as of some time holds all that was acknowledged before that time: in a core, in a zone relay, in an
updater, and in the router that answers "there is no such route". So a daemon that says so is behind by less than `certain`. And a
daemon in touch, whatever it says, is behind by less than the bound.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

from ...control.replicated_state import INITIAL_VERSION, Version, value_of, version_of
from ...runtime import result_codes
from ...runtime.effects import ZERO, milliseconds

ROUNDING = milliseconds(2)
"""A core tells whole milliseconds, not rounded up; a zone relay adds one of its own."""

CONFIGURATION_KEY = "config"
CHANGES = ("config-put", "table-put", "evac")
"""Operations of the API that make a change."""


class ProofOracle:
    """Watches a simulated world from now on.

    :ivar breaches: (time, rule, details), in the order in which they were seen.
    :ivar judged: how many proofs were judged.
    :ivar certain_answers: how many moments were judged at which a daemon would have said "there is no such route".
    :ivar longest_lag: the longest that a daemon in touch was behind, and its name.
    :ivar ready_after: how long each daemon that started took to hold a young proof of a configuration.
    """

    def __init__(self, *, world: Any, contact: timedelta, apply: timedelta) -> None:
        """Begin.

        :param contact: for so long a machine must have been without trouble to count as in touch.
        :param apply: within so long a change is in force wherever there is touch.
        """
        self.breaches: list[tuple[Any, ...]] = []
        self.judged = self.certain_answers = 0
        self.longest_lag: tuple[timedelta, str] = (ZERO, "")
        self.ready_after: list[tuple[timedelta, str]] = []
        self._world, self._contact, self._apply = world, contact, apply
        # of acknowledgements, in their order: when, and the highest versions acknowledged by then
        self._times: list[timedelta] = []
        self._stores: list[Version] = []
        self._configurations: list[Version] = []
        self._troubled_at: dict[str, timedelta] = {}
        self._starting: dict[str, timedelta] = {}
        self._listen_to_calls()
        for node in world.nodes.values():
            self._listen_to(node)

    # --- what happens

    def trouble(self, *names: str) -> None:
        """Note trouble now at these daemons; all of them where none is named."""
        for name in names or self._world.nodes:
            self._troubled_at[name] = self._world.now

    def _listen_to_calls(self) -> None:
        call = self._world.call

        def noted(name: str, operation: str, arguments: Any, then: Callable[..., Any] = lambda code, fields: None) -> Any:
            def answered(code: int, fields: Mapping[str, Any]) -> Any:
                if code == result_codes.OK and operation in CHANGES:
                    self._acknowledged(tuple(fields["version"]), is_configuration=operation != "evac")
                return then(code, fields)

            return call(name, operation, arguments, answered)

        self._world.call = noted

    def _acknowledged(self, version: Version, *, is_configuration: bool) -> None:
        configuration = version if is_configuration else INITIAL_VERSION
        self._times.append(self._world.now)
        self._stores.append(max(version, self._stores[-1] if self._stores else INITIAL_VERSION))
        self._configurations.append(max(configuration, self._configurations[-1] if self._configurations else INITIAL_VERSION))

    def _listen_to(self, node: Any) -> None:
        feed, boot = node.feed, node.boot

        def judged(event: Any) -> None:
            feed(event)
            if node.hub is not None and node.frozen is None:
                self.check(node)

        def booted() -> None:
            boot()
            self._starting[node.name] = self._world.now
            self.trouble(node.name)

        node.feed, node.boot = judged, booted

    # --- rules

    def check(self, node: Any) -> None:
        """Judge all that a daemon holds now."""
        clock = self._world.now + node.skew
        if node.core:
            core = node.control
            self._check_store("core", node, core.committed_items, core.committed_version, core.proved_at)
        else:
            relay = node.hub.components["zone_relay"].machine
            self._check_store("relay", node, relay._store, relay._version, relay._proved_at)
        self._check_store("updater", node, node.store, node.store_version, node.store_proved_at)
        self._check_router(node, node.hub.components["router"].machine.context, clock)
        self._measure(node)

    def _check_store(self, place: str, node: Any, store: Any, version: Version, proved_at: timedelta | None) -> None:
        """A store holds what was acknowledged before the time of its proof, and nothing beyond its own version."""
        if proved_at is None:
            return
        self.judged += 1
        newest, configuration = self._acknowledged_before(proved_at - node.skew - ROUNDING)
        if version < newest:
            self._breach("proved-what-is-old", place, node.name, version, newest)
        if version_of(store, CONFIGURATION_KEY) < configuration:
            self._breach("proved-without-an-item", place, node.name, version_of(store, CONFIGURATION_KEY), configuration)

    def _check_router(self, node: Any, context: Any, clock: timedelta) -> None:
        """A router that would refuse an unknown route holds all that was acknowledged longer ago than the bound."""
        if context.configuration is not None and context.configuration is not value_of(node.store, CONFIGURATION_KEY):
            self._breach("router-beside-its-store", node.name)
        if context.configuration is None or not context.is_configuration_certain(clock):
            return
        self.certain_answers += 1
        _, configuration = self._acknowledged_before(self._world.now - self._apply)
        held = version_of(node.store, CONFIGURATION_KEY)
        if held < configuration:
            self._breach("certain-of-an-older-version", node.name, held, configuration)

    def _acknowledged_before(self, time: timedelta) -> tuple[Version, Version]:
        """The newest version of the store, and of the configuration, acknowledged before a time."""
        count = bisect_left(self._times, time)
        return (self._stores[count - 1], self._configurations[count - 1]) if count else (INITIAL_VERSION, INITIAL_VERSION)

    def _breach(self, rule: str, *details: Any) -> None:
        self.breaches.append((self._world.now.total_seconds(), rule, *details))

    # --- figures

    def _measure(self, node: Any) -> None:
        """Measure how long a daemon in touch is behind, and how long one that started takes until it is certain."""
        now, held = self._world.now, version_of(node.store, CONFIGURATION_KEY)
        self._note_lasting_trouble()
        started = self._starting.get(node.name)
        if started is not None and node.hub.components["router"].machine.context.is_configuration_certain(now + node.skew):
            self.ready_after.append((now - self._starting.pop(node.name), node.name))
        missed = next((at for at, version in zip(self._times, self._configurations) if version > held), None)
        in_touch_since = self._troubled_at.get(node.name, ZERO) + self._contact
        if missed is None or now < in_touch_since:
            return
        self.longest_lag = max(self.longest_lag, (now - missed, node.name))
        if now - missed > self._apply:
            self._breach("behind-in-touch", node.name, held, now - missed)

    def _note_lasting_trouble(self) -> None:
        """A cut, lost messages, and a core of which no majority runs are trouble for all as long as they last."""
        world = self._world
        running = [core for core in world.cores if world.nodes[core].hub is not None and world.nodes[core].frozen is None]
        if world.cuts or world.loss or 2 * len(running) <= len(world.cores):
            self.trouble()
