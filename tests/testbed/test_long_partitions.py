"""The judge of the long troubles of real processes (design 10.4): a sound history passes, each planted breach is named."""

import itertools
import random
import socket
import struct
import time
from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest

from silverglade.testbed.checkers.linearizability import Operation
from silverglade.testbed.checkers.operator_history import (
    ALWAYS,
    IN_FORCE_S,
    NEVER,
    WORK_ENDS_S,
    Attempt,
    CallHistory,
    Configuration,
    Reading,
)
from silverglade.testbed.local_fleet.long_partitions import KINDS, ROLES, LongCuts, Operators, kind_of
from silverglade.testbed.local_fleet.network_relay import Relay

NORTH, SOUTH = "north", "south"


def history(*rows):
    h = CallHistory(100.0, "first", (NORTH, SOUTH))
    for row in rows:
        (h.attempts if isinstance(row, Attempt) else h.readings).append(row)
    return h


def put(change, base, invoked, answered=None, result=None, version=(0, 0), given_up=None, daemon="d1"):
    return Attempt(change, daemon, ("put", base, change), invoked, answered, result, version, given_up)


def empty(change, on, invoked, answered=None, result=None, version=(0, 0), given_up=None, zone=NORTH, daemon="d1"):
    return Attempt(change, daemon, ("set", zone, on), invoked, answered, result, version, given_up)


def reads(at, news, config, *, mark=None, emptied=None, daemon="d2", clear_since=ALWAYS):
    return Reading(daemon, at, at + 0.1, news, config, mark, None if emptied is None else frozenset(emptied), clear_since)


def rules(*rows):
    return {rule for rule, _ in history(*rows).broken()}


A = put("a", "first", 101, 102, "ok", (1, 5))
EMPTIED = empty("e", True, 110, 111, "ok", (1, 6))
RETURNED = empty("r", False, 120, 121, "ok", (1, 7))


def test_a_call_that_lost_its_answer_and_was_sent_to_two_others_at_once_is_one_change():
    assert not rules(
        put("a", "first", 101, given_up=102.5),
        put("a", "first", 102.6, 103, "ok", (1, 5), daemon="d2"),
        put("a", "first", 102.6, 103.2, "ok", (1, 5), daemon="d3"),
        put("b", "first", 102.7, 103.3, "refused"),
        reads(107, (1, 5), (1, 5), mark="a"),
        EMPTIED,
        empty("e", True, 110, given_up=111.5, daemon="d3"),
        reads(115, (1, 6), (1, 5), emptied=[NORTH]),
    )


def test_a_daemon_in_trouble_may_hold_what_is_old():
    old = reads(115, (1, 4), (1, 4), mark="first", clear_since=NEVER)
    assert not rules(A, old)
    assert "not in force in time" in rules(A, reads(115, (1, 4), (1, 4), mark="first"))
    assert "not in force in time" in rules(A, reads(115, (1, 4), (1, 4), mark="first", clear_since=111.9))
    assert not rules(A, reads(115, (1, 4), (1, 4), mark="first", clear_since=112.1))
    assert not rules(A, reads(102 + IN_FORCE_S - 0.1, (1, 4), (1, 4), mark="first"))


def test_a_read_of_the_configuration_says_nothing_of_the_zones():
    assert not rules(A, EMPTIED, reads(115, (1, 6), (1, 5), emptied=[NORTH]), reads(116, None, (1, 5), mark="a"))
    assert rules(A, reads(115, None, (1, 4), mark="first")) >= {"not in force in time"}


BREACHES = {
    "both acknowledged and refused": (A, put("a", "first", 103, 104, "refused", daemon="d2")),
    "acknowledged under two versions": (A, put("a", "first", 103, 104, "ok", (1, 6), daemon="d2")),
    "two changes under one version": (A, empty("e", True, 101, 102, "ok", (1, 5))),
    "versions against the acknowledgements": (A, empty("e", True, 103, 104, "ok", (1, 4))),
    "went back": (A, reads(103, (1, 5), (1, 5), mark="a"), reads(104, (1, 4), (1, 4), mark="first")),
    "not in force in time": (EMPTIED, reads(115, (1, 5), (1, 4), emptied=[])),
}


@pytest.mark.parametrize("rule", BREACHES)
def test_a_planted_breach_is_named(rule):
    assert rule in rules(*BREACHES[rule])


UNPLACED = {
    "two over one base": (A, put("b", "first", 101, 102, "ok", (1, 6))),
    "a sent-again change refused that was taken": (put("a", "first", 101, 104, "refused"), reads(103, (1, 5), (1, 5), mark="a")),
    "a change that was not run is in force": (put("a", "first", 101, 102, "not run"), reads(103, (1, 5), (1, 5), mark="a")),
    "given up, and behind a later acknowledged one": (
        EMPTIED,
        empty("late", False, 111.5, given_up=113),
        empty("again", True, 114, 115, "ok", (1, 7)),
        reads(140, (1, 8), (1, 4), emptied=[]),
    ),
    "a zone that nobody emptied": (reads(140, (1, 8), (1, 4), emptied=[SOUTH]),),
    "a configuration that nobody made": (reads(140, (1, 8), (1, 8), mark="x"),),
}


@pytest.mark.parametrize("what", UNPLACED)
def test_a_history_that_fits_no_order_is_named(what):
    assert "no order fits" in rules(*UNPLACED[what])


def test_work_in_a_zone_that_was_surely_emptied():
    h = history(EMPTIED, RETURNED)
    assert h.late_work([(111 + WORK_ENDS_S + 0.1, NORTH)])
    assert not h.late_work([(111 + WORK_ENDS_S - 0.1, NORTH), (118, SOUTH), (120.5, NORTH), (130, NORTH)])
    under_way = empty("w", False, 109, given_up=112)
    assert not history(EMPTIED, RETURNED, under_way).late_work([(118, NORTH)])
    refused_long_before = empty("w", False, 101, 102, "ok", (1, 3))
    assert history(EMPTIED, RETURNED, refused_long_before).late_work([(118, NORTH)])


def test_the_longest_time_without_an_acknowledgement():
    h = history(A, EMPTIED, RETURNED)
    assert h.longest_silence(105, 125) == 10 and h.longest_silence(122, 150) == 28


def test_a_change_on_another_base_is_refused_and_on_its_own_taken():
    state = Configuration("a")
    assert state.after(("put", "a", "b"), "ok") == Configuration("b") and state.after(("put", "a", "b"), "refused") is None
    assert state.after(("put", "x", "b"), "refused") == state and state.after(("put", "x", "b"), None) is None


def test_random_histories_of_one_correct_store_pass():
    """Changes and reads take effect at a moment between call and answer; some answers are lost."""
    for seed in range(20):
        rng, rows, at, mark, emptied, version = random.Random(seed), [], 100.0, "first", False, 4
        config = version
        for n in range(60):
            at += rng.uniform(0.1, 0.6)
            begun, ended, lost = at - rng.random(), at + rng.random(), rng.random() < 0.3
            outcome = (None, None, (0, 0), ended) if lost else (ended, "ok", (1, version + 1))
            kind = rng.random()
            if kind < 0.3:
                rows.append(put(f"p{n}", mark, begun, *outcome))
                version += 1
                mark, config = f"p{n}", version
            elif kind < 0.6:
                emptied, version = rng.random() < 0.5, version + 1
                rows.append(empty(f"e{n}", emptied, begun, *outcome))
            elif kind < 0.8:
                rows.append(Reading(f"r{n}", begun, ended, (1, version), (1, config), mark=mark))
            else:
                rows.append(Reading(f"r{n}", begun, ended, (1, version), (1, config), emptied=frozenset([NORTH] if emptied else ())))
        assert not history(*rows).broken(), seed


def crowded(wrong_at=None):
    """80 changes of a zone, each read by four daemons within the 3 s for which that is not late; one may be read wrong."""
    rows = []
    for n in range(80):
        at, version, on = 101 + n / 2, (1, n + 5), n % 3 > 0
        rows.append(empty(f"e{n}", on, at, at + 0.4, "ok", version) if n % 10 else empty(f"e{n}", on, at, given_up=at + 1.5))
        for d in range(4):
            shown = on != (n == wrong_at and d == 3)
            rows.append(reads(at + 0.5 + d / 2, version, (1, 4), emptied=[NORTH] if shown else [], daemon=f"d{n}.{d}"))
    return history(*rows)


def test_a_long_history_of_late_reads_is_judged():
    assert not crowded().broken()
    assert "no order fits" in {rule for rule, _ in crowded(wrong_at=61).broken()}


def test_a_change_that_no_daemon_ran_is_no_operation():
    h = history(put("a", "first", 101, 102, "not run"), put("a", "first", 101, 103, "not run", daemon="d2"))
    assert [c.operation(h.start) for c in h.changes()] == [None]
    assert isinstance(history(A).changes()[0].operation(100.0), Operation)


class Store:
    """A fleet of daemons over one store, in place of processes. `forgets`: a change that is sent again is taken anew."""

    def __init__(self, forgets=False):
        self.daemons = dict.fromkeys(("d1", "d2", "d3", "d4"))
        self.forgets, self.version, self.config, self.emptied = forgets, 4, ((1, 4), "first"), set()
        self.taken, self.asked = {}, []

    async def ask(self, name, verb, path, body=None, head=()):
        head = dict(head)
        change = head.get("Silverglade-Change")
        self.asked.append((change, name))
        if path == "/v1/config" and verb == "GET":
            return 200, {"version": list(self.config[0]), "config": {"body_cap": self.config[1]}}
        if verb == "GET":
            return 200, {"news": [1, self.version], "config": list(self.config[0]), "evacuated": sorted(self.emptied)}
        if change in self.taken and not self.forgets:
            return 200, {"version": self.taken[change]}
        if body is not None and head["If-Match"] != ".".join(map(str, self.config[0])):
            return 409, {"code": 501}
        self.version += 1
        self.taken[change] = [1, self.version]
        if body is not None:
            self.config = ((1, self.version), body["body_cap"])
        elif verb == "PUT":
            self.emptied.add(path.split("/")[3])
        else:
            self.emptied.discard(path.split("/")[3])
        return 200, {"version": self.taken[change]}


def operated(store):
    h = CallHistory(time.monotonic(), "first", (NORTH, SOUTH))
    o = Operators(store, seed=1, history=h, zones=(NORTH, SOUTH))

    async def calls():
        rng = random.Random(1)
        for n in range(30):
            await o.put(rng)
            await o.set_zone(rng, SOUTH, n % 2 == 0)
            await o.read_status(rng, "d1")

    anyio.run(calls)
    return o


def test_operators_that_lose_answers_send_the_same_call_to_other_daemons():
    store = Store()
    o = operated(store)
    assert not o.odd and not o.history.broken()
    assert o.counts["answer lost"] and o.counts["sent again"] and not o.counts["given up"]
    again = [c for c in o.history.changes() if len({a.invoked for a in c.attempts}) > 1]
    assert any(len(c.attempts) >= 3 for c in again)
    for c in again:
        assert c.attempts[1].daemon != c.attempts[0].daemon


def test_operators_see_a_change_that_is_taken_each_time_it_is_sent():
    assert {"acknowledged under two versions", "no order fits"} & {rule for rule, _ in operated(Store(forgets=True)).history.broken()}


def test_the_relay_cuts_one_direction_between_two_machines_alone():
    relay = Relay(delay_ms=1.0)
    relay.region = {"m1": "x", "m2": "x", "m3": "x"}
    relay.cut_addresses = {("m1", "m2")}
    assert relay.is_cut("m1", "m2") and not relay.is_cut("m2", "m1") and not relay.is_cut("m1", "m3")


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def test_the_relay_goes_on_when_a_caller_has_reset_before_it_is_accepted():
    async def play():
        told, relay = ("127.0.0.1", free_port()), Relay(delay_ms=0.0)
        echo = await anyio.create_tcp_listener(local_host="127.0.0.1")

        async def answer(stream):
            async with stream:
                await stream.send(await stream.receive())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(echo.serve, answer)
            tasks.start_soon(lambda: relay.open(told=told, real=echo.extra(anyio.abc.SocketAttribute.local_address)))
            while True:  # until it listens
                try:
                    gone = socket.create_connection(told)
                    break
                except ConnectionRefusedError:
                    await anyio.lowlevel.checkpoint()
            gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            gone.close()  # the relay's turn comes only now
            with anyio.fail_after(10):
                async with await anyio.connect_tcp(*told) as s:
                    await s.send(b"x")
                    assert await s.receive() == b"x"
            tasks.cancel_scope.cancel()

    anyio.run(play)


def test_each_kind_of_cut_parts_one_machine_from_all_others_in_its_directions():
    fleet = SimpleNamespace(relay=Relay(delay_ms=1.0), daemons={n: {"real": n} for n in ("c1", "c2", "e1")})
    troubles = LongCuts(SimpleNamespace(f=fleet), seed=1)
    for kind, out, into in (("cut both ways", True, True), ("cut outwards", True, False), ("cut inwards", False, True)):
        heal = troubles.begin("c1", kind)
        for other in ("c2", "e1"):
            assert (fleet.relay.is_cut("c1", other), fleet.relay.is_cut(other, "c1")) == (out, into), kind
        assert not fleet.relay.is_cut("c2", "e1") and not fleet.relay.is_cut("e1", "c2")
        heal()
        assert not fleet.relay.is_cut("c1", "c2") and not fleet.relay.is_cut("c2", "c1")


def test_four_seeds_in_a_row_give_each_role_every_kind():
    assert {(role, kind_of(seed, role)) for seed in range(1, 5) for role in ROLES} == set(itertools.product(ROLES, KINDS))
