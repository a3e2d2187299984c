"""Twenty seconds without a control machine, on real processes, with operators at work on both sides (design 10.4).

One after the other a core that is primary, one that is a backup and one that is a witness is stopped (SIGSTOP) or cut off
from all other daemons (in the relay; both ways, or one way alone). Meanwhile operators change, read and empty zones, at the
core in trouble and at others. They lose answers, stop waiting, and send the same call, by its id, to several other daemons at
once. What they saw is judged by call_history.py.
"""

import os
import random
import signal
import time
from collections import Counter

import anyio
import anyio.to_thread

from ..checkers.operator_history import ALWAYS, NEVER, WORK_ENDS_S, Attempt, CallHistory, Reading

TROUBLE_S = 20.0
BACK_S = 12.0  # control is back after its closing fault
WHOLE_S = 20.0  # from the trouble's end until all cores are of one view again, at most
RELAY_HOLDS_S = 3.0  # a connection that was begun in a cut is dropped by the relay after so long
SETTLED_S = 0.5
ROLES = ("primary", "backup", "witness")
KINDS = ("stop", "cut both ways", "cut outwards", "cut inwards")
OPERATORS = 6
PAUSE_S = (0.1, 0.8)
PATIENCE_S = 10.0  # for which an operator sends one call again
SILENCE_S = (1.5, 1.5, 6.0)  # after so much of it an operator stops waiting for a daemon; longer than options.caller_wait
ANSWERS_LOST = 0.3
AT_ONCE = (2, 3)  # other daemons to which a call is sent again
FIRST_MARK = 300_000  # body_cap of the operators' configurations: each has its own
HELD_S, RETURNED_S = 9.0, 4.0  # one zone is emptied for longer than the bound on work, in turn with its return


def kind_of(seed: int, role: str) -> str:
    """Four seeds in a row give each role every kind."""
    return KINDS[(seed + ROLES.index(role)) % len(KINDS)]


class Operators:
    """Sessions that call daemons, and the history of what they saw."""

    def __init__(self, fleet, *, seed, history, zones):
        self.fleet, self.history, self.zones, self.seed = fleet, history, zones, seed
        self.open, self.mark, self.calls, self.counts, self.odd = True, FIRST_MARK, 0, Counter(), []
        self.clear_since = dict.fromkeys(fleet.daemons, ALWAYS)  # NEVER: in trouble now
        self.in_trouble = ""

    def daemons(self, rng, count, other_than=()):
        """At random; every third one in trouble, if there is any."""
        names = [n for n in self.fleet.daemons if n not in other_than]
        names = rng.sample(names, len(names))
        if rng.random() < 1 / 3:
            names.sort(key=lambda n: n != self.in_trouble)
        return names[:count]

    async def session(self, number):
        rng = random.Random(f"{self.seed}/{number}")
        while self.open:
            kind = rng.random()
            if kind < 0.25:
                await self.read_config(rng)
            elif kind < 0.5:
                await self.read_status(rng, self.daemons(rng, 1)[0])
            elif kind < 0.75:
                await self.put(rng)
            else:
                await self.set_zone(rng, rng.choice(self.zones[1:]), rng.random() < 0.5)
            await anyio.sleep(rng.uniform(*PAUSE_S))

    async def keep_zone(self):
        """The first zone is this operator's alone."""
        rng, emptied = random.Random(f"{self.seed}/keeper"), False
        while self.open:
            emptied = not emptied
            await self.set_zone(rng, self.zones[0], emptied)
            await anyio.sleep(HELD_S if emptied else RETURNED_S)

    async def get(self, rng, daemon, path):
        """-> (decoded answer, invoked, answered, clear_since of both moments), or None."""
        clear, invoked = self.clear_since[daemon], time.monotonic()
        with anyio.move_on_after(rng.choice(SILENCE_S)):
            code, got = await self.fleet.ask(daemon, "GET", path)
            if code == 200:
                return got, invoked, time.monotonic(), max(clear, self.clear_since[daemon])
        self.counts["read without answer"] += 1
        return None

    async def read_config(self, rng):
        """-> (version, mark, configuration), or None."""
        daemon = self.daemons(rng, 1)[0]
        heard = await self.get(rng, daemon, "/v1/config")
        if heard is None or heard[0]["config"] is None:
            return None
        got, invoked, answered, clear = heard
        version, mark = tuple(got["version"]), got["config"]["body_cap"]
        self.history.readings.append(Reading(daemon, invoked, answered, None, version, mark=mark, clear_since=clear))
        self.counts["read"] += 1
        return version, mark, got["config"]

    async def read_status(self, rng, daemon):
        heard = await self.get(rng, daemon, "/v1/status")
        if heard is None:
            return None
        got, invoked, answered, clear = heard
        held = Reading(daemon, invoked, answered, tuple(got["news"]), tuple(got["config"]), clear_since=clear)
        held.emptied = frozenset(got["evacuated"])
        self.history.readings.append(held)
        self.counts["read"] += 1
        return got

    async def put(self, rng):
        base = await self.read_config(rng)
        if base is None:
            return
        version, base_mark, config = base
        self.mark += 1
        body, head = dict(config, body_cap=self.mark), [("If-Match", ".".join(map(str, version)))]
        await self.send(rng, ("put", base_mark, self.mark), "PUT", "/v1/config", body, head)

    async def set_zone(self, rng, zone, emptied):
        await self.send(rng, ("set", zone, emptied), "PUT" if emptied else "DELETE", f"/v1/zones/{zone}/evacuation", None, [])

    async def send(self, rng, action, verb, path, body, head):
        """A change, at one daemon (at several, one time in four); then, while nothing is clear, at several others at once."""
        self.calls += 1
        change, until = f"operator-{self.seed}-{self.calls}", time.monotonic() + PATIENCE_S
        at = self.daemons(rng, 1 if rng.random() < 0.75 else 3)
        head = [*head, ("Silverglade-Change", change)]
        while True:
            wave = [Attempt(change, daemon, action, time.monotonic()) for daemon in at]
            self.history.attempts += wave
            async with anyio.create_task_group() as tasks:
                for a in wave:
                    plan = (rng.choice(SILENCE_S), rng.random() < ANSWERS_LOST)
                    tasks.start_soon(self.attempt, a, verb, path, body, head, *plan)
            clear = [a.result for a in wave if a.result in ("ok", "refused")]
            if clear or time.monotonic() > until:
                self.counts[clear[0] if clear else "given up"] += 1
                return
            self.counts["sent again"] += 1
            at = self.daemons(rng, rng.choice(AT_ONCE), other_than=at)

    async def attempt(self, a, verb, path, body, head, silence, lost):
        code, got = 0, {}
        with anyio.move_on_after(silence):
            code, got = await self.fleet.ask(a.daemon, verb, path, body, head)
        now = time.monotonic()
        if lost and code:
            self.counts["answer lost"] += 1
            code, got = 0, {}
        match code, got.get("code"):
            case 200, _:
                a.result, a.answered, a.version = "ok", now, tuple(got["version"])
            case _, 501:
                a.result, a.answered = "refused", now
            case _, 504:
                a.result, a.answered = "not run", now
            case (0, _) | (_, 503):
                a.given_up = now
            case _:
                a.given_up = now
                self.odd.append(("an answer that does not fit the call", f"{a.change} {a.action} at {a.daemon}: {code} {got}"))


class LongCuts:
    """The troubles, one after the other, beside the operators. `storm`: whose fleet, notes and rules are used."""

    def __init__(self, storm, *, seed):
        self.storm, self.fleet, self.seed = storm, storm.f, seed
        self.rng = random.Random(f"long cuts {seed}")

    async def run(self):
        config = (await self.fleet.ask(self.fleet.cores[0], "GET", "/v1/config"))[1]["config"]
        zones = tuple(config["zones"])
        self.history = CallHistory(time.monotonic(), config["body_cap"], zones)
        self.operators = Operators(self.fleet, seed=self.seed, history=self.history, zones=zones)
        async with anyio.create_task_group() as tasks:
            for number in range(OPERATORS):
                tasks.start_soon(self.operators.session, number)
            tasks.start_soon(self.operators.keep_zone)
            roles = list(ROLES)
            self.rng.shuffle(roles)
            for role in roles:
                await self.trouble(role, kind_of(self.seed, role))
            self.operators.open = False
        await self.close()
        await anyio.to_thread.run_sync(self.judge)  # the relay goes on

    async def view(self, core):
        return (await self.fleet.ask(core, "GET", "/v1/status"))[1].get("view", [])

    async def one_view(self):
        """Do all cores speak of one view, and has it a primary?"""
        views = [await self.view(c) for c in self.fleet.cores]
        return all(v and v == views[0] and v[1] for v in views)

    async def core_of(self, role):
        _, primary, *backups = await self.view(self.fleet.cores[0])
        by_role = {"primary": [primary], "backup": [b for b in backups if b]}
        by_role["witness"] = [c for c in self.fleet.cores if c not in (primary, *backups)]
        return self.rng.choice(by_role[role])

    async def trouble(self, role, kind):
        whole = await self.fleet.until(self.one_view, WHOLE_S)
        self.storm.rule(whole is not None, "the cores did not come to one view", (role, kind))
        core = await self.core_of(role)
        self.storm.note("long", kind, role, core)
        begun = time.monotonic()
        self.operators.in_trouble, self.operators.clear_since[core] = core, NEVER
        end = self.begin(core, kind)
        try:
            await anyio.sleep(TROUBLE_S)
        finally:
            end()
        now = time.monotonic()
        self.operators.in_trouble, self.operators.clear_since[core] = "", now + RELAY_HOLDS_S + SETTLED_S
        silence = self.history.longest_silence(begun, now)
        self.storm.times[f"longest without an acknowledged change, {kind}, {role}"] = silence
        self.storm.rule(silence <= BACK_S, "control not back in a long trouble", (kind, role, core, silence))
        took = await self.fleet.until(self.one_view, WHOLE_S)
        self.storm.times[f"one view again after {kind}, {role}"] = took
        self.storm.rule(took is not None, "not of one view again", (kind, role, core))

    def begin(self, core, kind):
        """-> what ends it."""
        if kind == "stop":
            self.fleet.kill(core, signal.SIGSTOP)
            return lambda: self.fleet.kill(core, signal.SIGCONT)
        relay, mine = self.fleet.relay, self.fleet.daemons[core]["real"]
        others = [d["real"] for n, d in self.fleet.daemons.items() if n != core]
        outwards, inwards = {(mine, o) for o in others}, {(o, mine) for o in others}
        relay.cut_addresses = {"cut outwards": outwards, "cut inwards": inwards, "cut both ways": outwards | inwards}[kind]

        def heal():
            relay.cut_addresses = set()

        return heal

    async def close(self):
        """Every zone is returned, for what the storm does next; then all daemons are read."""
        rng = random.Random(f"{self.seed}/close")
        for zone in self.operators.zones:
            await self.operators.set_zone(rng, zone, False)
        newest = max((c.version for c in self.history.acknowledged() if c.action[0] == "put"), default=None)
        if newest:
            self.storm.acked = list(newest)
        await self.fleet.until(self.returned, WHOLE_S)
        for daemon in self.fleet.daemons:
            await self.operators.read_status(rng, daemon)
        self.storm.rule(await self.returned(), "zones not returned after the long troubles")

    async def returned(self):
        got = [(await self.fleet.ask(n, "GET", "/v1/status"))[1] for n in self.fleet.daemons]
        return all(g.get("evacuated") == [] for g in got)

    def judge(self):
        began = [(at, row[5]) for at, row in self.storm.began()]
        self.write()
        broken = [*self.operators.odd, *self.history.broken(), *self.history.late_work(began)]
        for rule, detail in broken:
            self.storm.rule(False, rule, detail)
        counts = ", ".join(f"{name} {n}" for name, n in sorted(self.operators.counts.items()))
        print(f"  long troubles: {self.operators.calls} changes in {len(self.history.attempts)} attempts: {counts}")
        in_trouble = sum(r.clear_since == NEVER for r in self.history.readings)
        print(f"  {len(self.history.readings)} reads, {in_trouble} of them at a core in trouble")
        spans = [min(b, time.monotonic()) - a for z in self.operators.zones for a, b in self.history.emptied_spans(z)]
        print(f"  emptied for longer than the bound on work: {sum(s > WORK_ENDS_S for s in spans)} times")

    def write(self):
        """All that the operators saw, a line each, beside the logs."""
        with open(os.path.join(self.fleet.dir, "operators"), "w", encoding="utf-8") as f:
            for row in sorted([*self.history.attempts, *self.history.readings], key=lambda row: row.invoked):
                f.write(f"{row}\n")
