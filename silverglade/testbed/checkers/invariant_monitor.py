"""What the request oracle looks at all along (design 10.3): versions, reach of control, every message, retries."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

from ...control.replicated_state import INITIAL_VERSION
from ...runtime import result_codes

SEC = timedelta(seconds=1)
CHECK_EVERY = timedelta(milliseconds=250)
IN_FORCE = timedelta(seconds=3)  # an acknowledged change is held wherever control can be reached
WORK_ENDS = timedelta(seconds=5)  # the bound on new work under what was changed
RETRY_WINDOW = timedelta(seconds=30)
TOUCH = SEC / 2  # so long a core must have reached the primary to be told of a change
OPEN_CODES = (None, result_codes.OK, result_codes.UNKNOWN_OUTCOME, result_codes.UNREACHABLE)
CARRY_REQUESTS = ("hand", "ask", "res")  # kinds of messages with a tenant's body, prefix or answer
Configuration = Mapping[str, Any]
Version = tuple[int, ...]
Key = tuple[str, str]  # tenant, idempotency key


@dataclass(slots=True, eq=False)
class PutConfiguration:
    """A configuration as an operator sent it.

    :ivar tag: the operator's own name of it.
    :ivar asked: when it was sent.
    :ivar configuration: as it was sent.
    :ivar code: result code that the operator was told; None before.
    :ivar version: under which it was taken.
    :ivar acknowledged: when the operator was told so.
    """

    tag: int
    asked: timedelta
    configuration: Configuration
    code: int | None = None
    version: Version = ()
    acknowledged: timedelta | None = None


class PutHistory:
    """What operators asked for, and so what may be in force at a moment."""

    def __init__(self) -> None:
        """Begin with nothing sent."""
        self.puts: list[PutConfiguration] = []

    def asked(self, now: timedelta, tag: int, configuration: Configuration) -> None:
        """Note that an operator sends a configuration."""
        self.puts.append(PutConfiguration(tag, now, configuration))

    def told(self, now: timedelta, tag: int, code: int, version: Version) -> None:
        """Note what the operator was told."""
        for put in self.puts:
            if put.tag == tag:
                put.code, put.version = code, version
                put.acknowledged = now if code == result_codes.OK else None

    def newest_acknowledged(self, by: timedelta | None = None) -> PutConfiguration | None:
        """Return the acknowledged one of the highest version.

        :param by: only what was acknowledged by then counts.
        """
        acknowledged = (put for put in self.puts if put.acknowledged is not None and (by is None or put.acknowledged <= by))
        return max(acknowledged, key=lambda put: put.version, default=None)

    def possible(self, now: timedelta) -> list[Configuration]:
        """Return the configurations that may rule work begun now.

        The newest acknowledged longer ago than `WORK_ENDS` (any before it is out of force by then), and
        all asked after that one which were not refused.
        """
        firm = self.newest_acknowledged(now - WORK_ENDS)
        return [put.configuration for put in self.puts if put is firm or self._may_follow(put, firm, now)]

    @staticmethod
    def _may_follow(put: PutConfiguration, firm: PutConfiguration | None, now: timedelta) -> bool:
        after_firm = firm is None or put.asked > firm.asked
        return put.asked <= now and after_firm and put.code in OPEN_CODES

    def homes(self, tenant: str, now: timedelta) -> set[str]:
        """Return the zones where the tenant's requests may run."""
        return self._tenant_values(tenant, "homes", now)

    def keys(self, tenant: str, now: timedelta) -> set[str]:
        """Return the digests of keys with which the tenant's clients may call."""
        return self._tenant_values(tenant, "keys", now)

    def _tenant_values(self, tenant: str, setting: str, now: timedelta) -> set[str]:
        tenants = (configuration["tenants"].get(tenant) for configuration in self.possible(now))
        return {value for found in tenants if found is not None for value in found[setting]}


class RetryCount(NamedTuple):
    """Retries in a window, and requests with a new key in that window and the one before."""

    retries: int
    new_requests: int


class Retries:
    """Runs of a key beyond its first request, against keys asked for the first time, in the whole fleet."""

    def __init__(self) -> None:
        """Begin with no key known."""
        self._first: dict[Key, str] = {}  # key -> id of the first request with it
        self._new_requests: deque[timedelta] = deque()
        self._retries: deque[timedelta] = deque()

    def asked(self, now: timedelta, key: Key, request_id: str) -> None:
        """Note a request."""
        if key not in self._first:
            self._first[key] = request_id
            self._new_requests.append(now)

    def ran(self, now: timedelta, key: Key, request_id: str, number: int) -> RetryCount | None:
        """Note a run; return the counts if it is a retry.

        A retry was allowed against requests of the window before it; so the requests of that window and
        of the one before it count, as traffic may have ceased since.

        :param number: of the run among those of the request, from 1.
        """
        if self._first.get(key) == request_id and number == 1:
            return None
        self._retries.append(now)
        _drop_before(self._retries, now - RETRY_WINDOW)
        _drop_before(self._new_requests, now - 2 * RETRY_WINDOW)
        return RetryCount(len(self._retries), len(self._new_requests))


def _drop_before(times: deque[timedelta], begin: timedelta) -> None:
    while times and times[0] < begin:
        times.popleft()


class InvariantMonitor:
    """Checks the daemons of a simulated world while it runs.

    :ivar reachable_since: (process of a daemon, process of a core) to since when they could speak with each other.
    """

    def __init__(self, *, world: Any, bad: Callable[..., None]) -> None:
        """Begin with nothing seen.

        :param world: the simulated daemons and their network.
        :param bad: is called with the rule and details of each breach.
        """
        self.world, self.bad = world, bad
        self.reachable_since: dict[tuple[str, str], timedelta] = {}
        self._highest: dict[tuple[str, str], Version] = {}  # (daemon, key of the store) -> version

    def check(self) -> None:
        """Check now, and again and again, in every run."""
        self.check_versions()
        self._update_reach()
        self.world.after(CHECK_EVERY, self.check)

    def check_versions(self) -> None:
        """Check that what is in force never goes back, through restarts of the daemon too."""
        keys = ("config", *(f"evac/{zone}" for zone in self.world.region))
        for node in self._running_nodes():
            store = node.store
            for key in keys:
                version = store.get(key, (INITIAL_VERSION,))[0]
                highest = self._highest.get((node.name, key), INITIAL_VERSION)
                if INITIAL_VERSION < version < highest:
                    self.bad("slipped-back", node.name, key, version, highest)
                self._highest[(node.name, key)] = max(version, highest)

    def _running_nodes(self) -> list[Any]:
        return [node for node in self.world.nodes.values() if node.hub is not None and node.frozen is None]

    def _update_reach(self) -> None:
        """Note since when each daemon and each core have been able to speak, in these very processes."""
        running, reachable = self._running_nodes(), {}
        for core in (node for node in running if node.core):
            for node in running:
                if node is core or (self.world.open(node.name, core.name) and self.world.open(core.name, node.name)):
                    pair = (node.life, core.life)
                    reachable[pair] = self.reachable_since.get(pair, self.world.now)
        self.reachable_since = reachable

    def acknowledged(self, version: Version) -> None:
        """Handle an acknowledgement now: soon it is in force wherever control could be reached."""
        self._update_reach()
        now = self.world.now
        cores = [node for node in self.world.nodes.values() if node.core and node.hub is not None]
        view = max((core.control.view for core in cores if core.control.view), default=None, key=lambda held: held.epoch)
        if view is None:
            return
        primary = self.world.nodes[view.primary]
        told = [core.life for core in cores if self.reachable_since.get((core.life, primary.life), now) < now - TOUCH]
        self.world.after(IN_FORCE, self.check_in_force, version, now, told)

    def check_in_force(self, version: Version, acknowledged: timedelta, told: Iterable[str]) -> None:
        """Check that every daemon holds a version that could reach a core which knew of it.

        :param version: that was acknowledged.
        :param acknowledged: when.
        :param told: processes of the cores that knew of it.
        """
        self._update_reach()
        cores = list(told)
        for node in self.world.nodes.values():
            if not any(self._reached_since(node, core, acknowledged) for core in cores):
                continue
            held = node.store.get("config", (INITIAL_VERSION,))[0]
            if held < version:
                self.bad("not-in-force", node.name, held, version)

    def _reached_since(self, node: Any, core: str, begin: timedelta) -> bool:
        since = self.reachable_since.get((node.life, core))
        return since is not None and since <= begin

    def sent(self, sender: Any, to: Any, body: tuple[Any, ...]) -> None:
        """Check a message: no body, piece or prefix of a tenant goes to a daemon outside its homes (design 10.3).

        The one exception is the daemon that its client itself called.
        """
        kind = body[0]
        if kind not in CARRY_REQUESTS:
            return
        oracle = self.world.oracle
        request = oracle.orders.get(body[1])
        if request is None or to.name == request["who"]:
            return
        if kind == "res" or to.zone not in oracle.put_history.homes(request["tenant"], self.world.now):
            self.bad("told-outside-homes", kind, request["oid"], sender.name, to.name)
