"""Placement of long prompts by prefill backlogs (design 15.11): backlog contents, queries, and behaviour without a reply."""

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
    assert prompt_of((("s", 900), ("o", 9)), (10, 1)).own_tokens == 0  # inconsistent token counts


def test_prompts_longer_than_the_mean_are_long_and_equal_ones_are_not():
    lengths = PromptLengths()
    assert [lengths.is_long("a", 100) for _ in range(50)] == [False] * 50
    assert lengths.is_long("a", 101)
    assert not lengths.is_long("b", 9000)  # services have separate means
    got = [lengths.is_long("c", n) for _ in range(40) for n in (800, 9000)]
    assert got[1::2][5:] == [True] * 35 and got[::2] == [False] * 40


def test_a_backlog_counts_prompts_sent_and_not_yet_prefilled():
    backlogs, now, p = PrefillBacklogs(), 10 * SEC, prompt_of(*LONG)
    assert backlogs.cost(now, "1", p) == 9500
    backlogs.add(now, "1", PrefillId("d2", 7), p, 0)
    assert backlogs.cost(now, "1", p) == 9500 + 3000  # its shared parts will be cached by then
    backlogs.remove("1", PrefillId("d2", 7))
    assert backlogs.cost(now, "1", p) == 3000
    backlogs.add(now, "1", PrefillId("d2", 8), p, 0)
    assert backlogs.cost(now + PREFILL_EXPIRY, "1", p) == 3000  # end never reported: its daemon may be gone
    backlogs.remove("1", PrefillId("d3", 99))
    backlogs.remove("9", PrefillId("d3", 99))
    backlogs.expire(now + PREFILL_EXPIRY, {"1"})
    assert backlogs.replicas["1"].prefills == {}
    backlogs.expire(now, set())
    assert backlogs.replicas == {}


def test_parts_after_an_uncached_part_need_prefill():
    backlogs = PrefillBacklogs()
    backlogs.add(SEC, "1", PrefillId("d2", 1), Prompt((("d", 4000),), 0), 0)
    backlogs.remove("1", PrefillId("d2", 1))
    assert backlogs.cost(SEC, "1", prompt_of(*LONG)) == 9500


@pytest.mark.parametrize("room, parts", [(10_000, 10), (0, MAX_CACHED_PARTS)])
def test_cached_parts_are_bounded_by_the_replicas_memory_and_by_number(room, parts):
    backlogs = PrefillBacklogs()
    for n in range(MAX_CACHED_PARTS + 100):
        backlogs.add(SEC, "1", PrefillId("d2", n), Prompt(((f"p{n}", 1000),), 0), room)
    backlog = backlogs.replicas["1"]
    assert len(backlog.cached) == parts and backlog.cached_tokens == 1000 * parts
    assert f"p{MAX_CACHED_PARTS + 99}" in backlog.cached


def test_a_query_needs_both_replies_and_chooses_the_smaller_backlog_or_the_first():
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


class BacklogBench(RouterBench):
    """A router whose replicas' backlogs other daemons hold; short prompts come before the long ones."""

    def __init__(self):
        super().__init__(route(by_prefix=True), replicas=tuple(endpoint(str(i)) for i in range(1, 9)))
        for _ in range(3):
            rid, _ = self.request(prefix=SHORT[0], tokens=SHORT[1])
            self.report(rid, 1, "done")

    def send_long_prompts(self):
        """Send long prompts until other daemons hold both backlogs; return the request id and the queries."""
        for _ in range(60):
            rid, es = self.request(prefix=((f"s{self.requests_made}", 2500), *LONG[0][1:]), tokens=LONG[1])
            asks = [e for e in es if e[0] == "send" and e[2][0] == "load-ask"]
            if len(asks) == 2:
                assert es == asks
                return rid, asks
            self.report(rid, 1, "done")
        raise AssertionError("no prompt for which other daemons hold both backlogs")

    def reply(self, ask, cost):
        return self.feed("msg", ask[1], ("load-told", ask[2][1], ask[2][2], cost))


def tries(effects):
    return [e[3]["replica"] for e in effects if e[0] == "try"]


@pytest.mark.parametrize("costs, chosen", [((9000, 100), 1), ((100, 9000), 0), ((500, 500), 0)])
def test_the_replica_with_less_to_prefill_is_chosen_and_its_holder_notified(costs, chosen):
    b = BacklogBench()
    rid, asks = b.send_long_prompts()
    assert tries(b.reply(asks[0], costs[0])) == []
    es = b.reply(asks[1], costs[1])
    assert tries(es) == [asks[chosen][2][2]]
    puts = [e for e in es if e[0] == "send"]
    assert [p[1:] for p in puts] == [(asks[chosen][1], ("load-put", asks[chosen][2][2], puts[0][2][2], *asks[0][2][3:]))]
    reads = [e for e in b.report(rid, 1, "began", 200) if e[0] == "send"]
    assert [r[2][0] for r in reads] == ["load-read"]
    assert [e for e in b.report(rid, 1, "done") if e[0] == "send"] == []  # only once


@pytest.mark.parametrize("what", [("unsent", "refused"), ("lost", None), ("gone",), ("not-run", 503, 0.1)])
def test_an_attempt_that_ends_before_its_first_token_is_removed_from_the_backlog(what):
    b = BacklogBench()
    rid, asks = b.send_long_prompts()
    b.reply(asks[0], 1)
    b.reply(asks[1], 2)
    assert ("load-read", asks[0][2][2]) in [e[2][:2] for e in b.report(rid, 1, *what) if e[0] == "send"]


def test_without_a_reply_the_first_replica_is_used_and_the_holder_not_queried_for_a_while():
    b = BacklogBench()
    _, asks = b.send_long_prompts()
    b.reply(asks[1], 1)
    es = b.advance(REPLY_TIMEOUT / SEC)
    assert tries(es) == [asks[0][2][2]]
    assert b.reply(asks[0], 1) == []  # after the time-out
    for _ in range(20):
        es = b.request(prefix=((f"t{b.requests_made}", 2500), *LONG[0][1:]), tokens=LONG[1])[1]
        assert asks[0][1] not in [e[1] for e in es if e[0] == "send" and e[2][0] == "load-ask"]
    b.advance(UNRESPONSIVE_HOLDER_BACKOFF / SEC)
    later = [b.request(prefix=((f"u{b.requests_made}", 2500), *LONG[0][1:]), tokens=LONG[1])[1] for _ in range(40)]
    assert asks[0][1] in {e[1] for es in later for e in es if e[0] == "send"}


def test_a_client_that_disconnects_during_the_query_gets_no_attempt():
    b = BacklogBench()
    rid, asks = b.send_long_prompts()
    b.report(rid, 0, "gone")
    assert [b.reply(a, 1) for a in asks] == [[], []]
    assert tries(b.advance(1)) == []


def test_a_replica_that_leaves_during_the_query_gets_no_attempt():
    b = BacklogBench()
    _, asks = b.send_long_prompts()
    gone = asks[0][2][2]
    b.feed("listed", (endpoint(gone, leaving=True),), False)
    b.reply(asks[0], 0)
    assert gone not in tries(b.reply(asks[1], 5000))


@pytest.mark.parametrize("sender, number, replica", [("x", 0, None), (None, 99, None), (None, 0, "77")])
def test_unsolicited_replies_change_nothing(sender, number, replica):
    b = BacklogBench()
    _, asks = b.send_long_prompts()
    _, to, (_, n, r, *_) = asks[0]
    assert b.feed("msg", sender or to, ("load-told", number or n, replica or r, 1)) == []
    assert tries(b.reply(asks[1], 5)) == []


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
def test_messages_that_are_malformed_or_about_unknown_replicas_are_ignored(body):
    b = RouterBench(route(), replicas=(endpoint("1"),))
    assert b.all_effects("msg", "d2", body) == ()
    assert b.component.machine.context.placement.backlogs.replicas == {}


def test_prompts_whose_prefill_is_never_reported_as_ended_expire():
    p, replica = PrefillPlacement(own_name="d1", region="a"), type("R", (), dict(service="s"))
    for n in range(1000):
        p.on_prefill_started(SEC, "d2", decode(("load-put", "1", n, (), 9000)), replica)
    assert p.backlogs.cost(SEC, "1", Prompt((), 1)) == 9_000_001
    p.expire(SEC + PREFILL_EXPIRY, {"1": replica})
    assert p.backlogs.cost(SEC + PREFILL_EXPIRY, "1", Prompt((), 1)) == 1


def test_the_holder_of_a_backlog_is_the_replicas_health_checker():
    p = PrefillPlacement(own_name="d1", region="a")
    p.set_live_daemons([("d1", "a"), ("d2", "a"), ("e1", "b")])
    for i in range(20):
        r = type("R", (), dict(id=str(i), region="a"))
        assert p.holder_of(r) == health_checker(str(i), "a", p.live) != "e1"
    p.set_live_daemons([])
    assert p.holder_of(r) is None


def test_a_single_replica_needs_no_query():
    b = RouterBench(route(by_prefix=True), replicas=(endpoint("1"),))
    for _ in range(3):
        rid, _ = b.request(prefix=SHORT[0], tokens=SHORT[1])
        b.report(rid, 1, "done")
    assert only_effect(b.request(prefix=LONG[0], tokens=LONG[1])[1][-1:], "try")


def test_nothing_is_queried_when_disabled():
    p = PrefillPlacement(own_name="d1", region="a", is_enabled=False)
    request = type("Q", (), dict(prompt=None, route=dict(by_prefix=True), facts=dict(tokens=(9, 9), prefix=()), service="s"))
    p.on_request(request)
    assert request.prompt is None


@pytest.mark.parametrize("seed", [1, 2])
def test_backlog_queries_increase_the_share_of_requests_in_time(seed):
    """Compared with the same run with the mechanism disabled."""
    asked = play(day="load", seed=seed, seconds=8).table()
    alone = play(day="load", seed=seed, seconds=8, without=("prefill-ledger",)).table()
    late = [sum(k.get("late", 0) for k in t["kinds"].values()) for t in (asked, alone)]
    assert asked["worth"] > alone["worth"] and late[0] < 0.8 * late[1]
