"""Placing long prompts by prefill backlogs (design 15.11): what a backlog says, whom a daemon asks, and what it does without an answer."""

from datetime import timedelta

import pytest

from silverglade.routing.health_checks import health_checker
from silverglade.routing.messages import decode
from silverglade.routing.prefill_backlog import (
    MAX_CACHED_PARTS,
    PREFILL_EXPIRY,
    BacklogQuery,
    PrefillBacklogs,
    PrefillId,
    Prompt,
    PromptLengths,
    prompt_of,
)
from silverglade.routing.prefill_placement import REPLY_TIMEOUT, UNRESPONSIVE_HOLDER_BACKOFF, PrefillPlacement
from silverglade.testbed.experiments.policy_day import play
from silverglade.transport.message_schemas import is_valid_message

from ..support.router_bench import RouterBench, endpoint, only_effect, route

SEC = timedelta(seconds=1)
LONG = ((("s", 2500), ("d", 4000), ("o1", 3000)), (9500, 100))
SHORT = ((("s", 100), ("o2", 100)), (200, 100))


def test_a_prompt_is_its_shared_parts_and_the_rest():
    assert prompt_of(*LONG) == Prompt((("s", 2500), ("d", 4000)), 3000)
    assert prompt_of((), (50, 1)) == Prompt((), 50)
    assert prompt_of(LONG[0], None).tokens == 9500
    assert prompt_of((("s", 900), ("o", 9)), (10, 1)).own_tokens == 0  # tokens that don't add up


def test_what_is_longer_than_the_mean_is_long_and_equal_ones_are_not():
    lengths = PromptLengths()
    assert [lengths.is_long("a", 100) for _ in range(50)] == [False] * 50
    assert lengths.is_long("a", 101)
    assert not lengths.is_long("b", 9000)  # services apart
    got = [lengths.is_long("c", n) for _ in range(40) for n in (800, 9000)]
    assert got[1::2][5:] == [True] * 35 and got[::2] == [False] * 40


def test_a_backlog_counts_what_is_sent_and_not_yet_read():
    backlogs, now, p = PrefillBacklogs(), 10 * SEC, prompt_of(*LONG)
    assert backlogs.cost(now, "1", p) == 9500
    backlogs.add(now, "1", PrefillId("d2", 7), p, 0)
    assert backlogs.cost(now, "1", p) == 9500 + 3000  # its shared parts will be kept by then
    backlogs.remove("1", PrefillId("d2", 7))
    assert backlogs.cost(now, "1", p) == 3000
    backlogs.add(now, "1", PrefillId("d2", 8), p, 0)
    assert backlogs.cost(now + PREFILL_EXPIRY, "1", p) == 3000  # never reported: its daemon may be gone
    backlogs.remove("1", PrefillId("d3", 99))
    backlogs.remove("9", PrefillId("d3", 99))
    backlogs.expire(now + PREFILL_EXPIRY, {"1"})
    assert backlogs.replicas["1"].reading == {}
    backlogs.expire(now, set())
    assert backlogs.replicas == {}


def test_parts_behind_one_that_is_not_kept_are_read_again():
    backlogs = PrefillBacklogs()
    backlogs.add(SEC, "1", PrefillId("d2", 1), Prompt((("d", 4000),), 0), 0)
    backlogs.remove("1", PrefillId("d2", 1))
    assert backlogs.cost(SEC, "1", prompt_of(*LONG)) == 9500


@pytest.mark.parametrize("room, parts", [(10_000, 10), (0, MAX_CACHED_PARTS)])
def test_what_a_backlog_remembers_is_bounded_by_the_replicas_memory_and_by_count(room, parts):
    backlogs = PrefillBacklogs()
    for n in range(MAX_CACHED_PARTS + 100):
        backlogs.add(SEC, "1", PrefillId("d2", n), Prompt(((f"p{n}", 1000),), 0), room)
    backlog = backlogs.replicas["1"]
    assert len(backlog.cached) == parts and backlog.cached_tokens == 1000 * parts
    assert f"p{MAX_CACHED_PARTS + 99}" in backlog.cached


def test_a_question_wants_both_answers_and_takes_the_lesser_then_the_first():
    q = BacklogQuery(("1", "2"), SEC)
    assert not q.on_answer("2", 5) and q.best() == "1"
    assert not q.on_answer("9", 0)
    assert q.on_answer("1", 6) and q.best() == "2"
    q.on_answer("2", 6)
    assert q.best() == "1"


@pytest.mark.parametrize(
    "body, ok",
    [
        (("load-ask", 1, "r", (("s", 1),), 5), True),
        (("load-ask", 1, "r", "s", 5), False),
        (("load-ask", "1", "r", (), 5), False),
        (("load-told", 1, "r", 5), True),
        (("load-told", 1, "r"), False),
        (("load-put", "r", 1, (), 5), True),
        (("load-put", "r", 1, (), None), False),
        (("load-read", "r", 1), True),
        (("load-read", "r"), False),
    ],
)
def test_messages_have_a_stated_shape(body, ok):
    assert is_valid_message(body) == ok


class Asking(RouterBench):
    """A daemon's part whose replicas' backlogs others hold; one long prompt follows short ones."""

    def __init__(self):
        super().__init__(route(by_prefix=True), replicas=tuple(endpoint(str(i)) for i in range(1, 9)))
        for _ in range(3):
            rid, _ = self.request(prefix=SHORT[0], tokens=SHORT[1])
            self.report(rid, 1, "done")

    def long(self):
        """Until both backlogs are others' -> (the request, the messages)."""
        for _ in range(60):
            rid, es = self.request(prefix=((f"s{self.requests_made}", 2500), *LONG[0][1:]), tokens=LONG[1])
            asks = [e for e in es if e[0] == "send" and e[2][0] == "load-ask"]
            if len(asks) == 2:
                assert es == asks
                return rid, asks
            self.report(rid, 1, "done")
        raise AssertionError("no prompt whose backlogs are both others'")

    def tell(self, ask, cost):
        return self.feed("msg", ask[1], ("load-told", ask[2][1], ask[2][2], cost))


def tries(effects):
    return [e[3]["replica"] for e in effects if e[0] == "try"]


@pytest.mark.parametrize("costs, chosen", [((9000, 100), 1), ((100, 9000), 0), ((500, 500), 0)])
def test_the_replica_with_less_to_read_gets_it_and_its_backlog_is_told(costs, chosen):
    b = Asking()
    rid, asks = b.long()
    assert tries(b.tell(asks[0], costs[0])) == []
    es = b.tell(asks[1], costs[1])
    assert tries(es) == [asks[chosen][2][2]]
    puts = [e for e in es if e[0] == "send"]
    assert [p[1:] for p in puts] == [(asks[chosen][1], ("load-put", asks[chosen][2][2], puts[0][2][2], *asks[0][2][3:]))]
    reads = [e for e in b.report(rid, 1, "began", 200) if e[0] == "send"]
    assert [r[2][0] for r in reads] == ["load-read"]
    assert [e for e in b.report(rid, 1, "done") if e[0] == "send"] == []  # once


@pytest.mark.parametrize("what", [("unsent", "refused"), ("lost", None), ("gone",), ("not-run", 503, 0.1)])
def test_a_try_that_ends_before_its_first_token_is_taken_off_the_backlog(what):
    b = Asking()
    rid, asks = b.long()
    b.tell(asks[0], 1)
    b.tell(asks[1], 2)
    assert ("load-read", asks[0][2][2]) in [e[2][:2] for e in b.report(rid, 1, *what) if e[0] == "send"]


def test_without_an_answer_the_first_gets_it_and_the_silent_holder_is_left_alone_for_a_while():
    b = Asking()
    _, asks = b.long()
    b.tell(asks[1], 1)
    es = b.advance(REPLY_TIMEOUT / SEC)
    assert tries(es) == [asks[0][2][2]]
    assert b.tell(asks[0], 1) == []  # too late
    for _ in range(20):
        es = b.request(prefix=((f"t{b.requests_made}", 2500), *LONG[0][1:]), tokens=LONG[1])[1]
        assert asks[0][1] not in [e[1] for e in es if e[0] == "send" and e[2][0] == "load-ask"]
    b.advance(UNRESPONSIVE_HOLDER_BACKOFF / SEC)
    later = [b.request(prefix=((f"u{b.requests_made}", 2500), *LONG[0][1:]), tokens=LONG[1])[1] for _ in range(40)]
    assert asks[0][1] in {e[1] for es in later for e in es if e[0] == "send"}


def test_a_client_that_leaves_while_the_backlogs_are_asked_gets_no_try():
    b = Asking()
    rid, asks = b.long()
    b.report(rid, 0, "gone")
    assert [b.tell(a, 1) for a in asks] == [[], []]
    assert tries(b.advance(1)) == []


def test_a_replica_that_leaves_while_its_backlog_is_asked_gets_nothing():
    b = Asking()
    _, asks = b.long()
    gone = asks[0][2][2]
    b.feed("listed", (endpoint(gone, leaving=True),), False)
    b.tell(asks[0], 0)
    assert gone not in tries(b.tell(asks[1], 5000))


@pytest.mark.parametrize("frm, number, replica", [("x", 0, None), (None, 99, None), (None, 0, "77")])
def test_answers_that_nobody_asked_for_change_nothing(frm, number, replica):
    b = Asking()
    _, asks = b.long()
    _, to, (_, n, r, *_) = asks[0]
    assert b.feed("msg", frm or to, ("load-told", number or n, replica or r, 1)) == []
    assert tries(b.tell(asks[1], 5)) == []


@pytest.mark.parametrize(
    "body",
    [
        ("load-put", "9", 1, (("s", 5),), 5),
        ("load-put", "1", 1, (("s", 5),), -5),
        ("load-put", "1", 1, (("s",),), 5),
        ("load-put", "1", 1, ((5, "s"),), 5),
        ("load-ask", 1, "9", (), 5),
        ("load-read", "9", 1),
    ],
)
def test_words_about_unknown_replicas_and_nonsense_leave_no_trace(body):
    b = RouterBench(route(), replicas=(endpoint("1"),))
    assert b.all_effects("msg", "d2", body) == ()
    assert b.component.machine.context.placement.backlogs.replicas == {}


def test_a_thousand_prompts_of_one_daemon_that_are_never_read_are_forgotten():
    p, replica = PrefillPlacement(own_name="d1", region="a"), type("R", (), dict(service="s"))
    for n in range(1000):
        p.on_prefill_started(SEC, "d2", decode(("load-put", "1", n, (), 9000)), replica)
    assert p.backlogs.cost(SEC, "1", Prompt((), 1)) == 9_000_001
    p.expire(SEC + PREFILL_EXPIRY, {"1": replica})
    assert p.backlogs.cost(SEC + PREFILL_EXPIRY, "1", Prompt((), 1)) == 1


def test_one_holder_a_replica_the_one_who_probes_it():
    p = PrefillPlacement(own_name="d1", region="a")
    p.set_live_daemons([("d1", "a"), ("d2", "a"), ("e1", "b")])
    for i in range(20):
        r = type("R", (), dict(id=str(i), region="a"))
        assert p.holder_of(r) == health_checker(str(i), "a", p.live) != "e1"
    p.set_live_daemons([])
    assert p.holder_of(r) is None


def test_one_replica_or_no_daemon_known_asks_nobody():
    b = RouterBench(route(by_prefix=True), replicas=(endpoint("1"),))
    for _ in range(3):
        rid, _ = b.request(prefix=SHORT[0], tokens=SHORT[1])
        b.report(rid, 1, "done")
    assert only_effect(b.request(prefix=LONG[0], tokens=LONG[1])[1][-1:], "try")


def test_switched_off_it_asks_nobody():
    p = PrefillPlacement(own_name="d1", region="a", is_enabled=False)
    request = type("Q", (), dict(prompt=None, route=dict(by_prefix=True), facts=dict(tokens=(9, 9), prefix=()), service="s"))
    p.on_request(request)
    assert request.prompt is None


@pytest.mark.parametrize("seed", [1, 2])
def test_many_fronts_that_ask_serve_more_in_time_than_those_that_do_not(seed):
    """The planted breach is the mechanism switched off, on the same day."""
    asked = play(day="load", seed=seed, seconds=8).table()
    alone = play(day="load", seed=seed, seconds=8, without=("prefill-ledger",)).table()
    late = [sum(k.get("late", 0) for k in t["kinds"].values()) for t in (asked, alone)]
    assert asked["worth"] > alone["worth"] and late[0] < 0.8 * late[1]
