"""What must never happen (docs/proof.md): each rule under the failure that threatens it.

Every case runs twice. With the program as it is the oracle finds nothing. With the guard
taken out of the source, the same run must break the rule: so the check can fail, and the
guard is what keeps it.
"""

import pytest

from ..support.failure_scenarios import (
    a_cut_off_daemon_is_asked_again,
    a_daemon_is_told_by_a_core_that_is_behind,
    a_daemon_restarts_beside_a_core_that_is_behind,
    a_key_is_asked_twice_and_the_first_ask_is_held_up,
    a_leaving_replica_stays_up,
    a_replica_fails_at_the_end,
    a_replica_is_marked_where_it_is_not_known_yet,
    a_replica_returns_cold_into_a_crowd,
    a_replica_skips_a_piece,
    a_run_breaks_off_after_its_first_piece,
    a_visitor_moves_on_while_its_daemon_waits,
    a_zone_is_emptied,
    a_zone_is_emptied_while_cut_off,
    every_replica_fails,
    owner_dies_after_the_grant,
    power_is_lost_after_an_acknowledgement,
    rules,
    the_home_has_no_replica_left,
    the_primary_and_an_owner_are_lost,
    two_operators_race,
)
from ..support.source_mutation import without

REG, ELECT, LEDGER, OWNER, ORDER, REPLICATION, NEWS = (
    "silverglade.replicas.registry",
    "silverglade.replicas.candidate_selection",
    "silverglade.replicas.slot_leases",
    "silverglade.tenant_shards.owner",
    "silverglade.tenant_requests.request",
    "silverglade.control.replication",
    "silverglade.configuration.updater",
)
USABLE = (
    "silverglade.replicas.registry.is_usable",
    "silverglade.replicas.candidate_selection.is_usable",
    "silverglade.tenant_requests.ingress.is_usable",
)

CASES = [
    (
        owner_dies_after_the_grant,
        "ran-twice",
        [
            (
                "silverglade.tenant_shards.shard",
                "got = {k: (g, s, n) for k, g, s, n in rest[0]}",
                "got = {}",
                "silverglade.tenant_shards.owner.Shard",
            ),
            ("silverglade.tenant_shards.follower", "if was and was[0] != gid:", "if False:", "silverglade.runtime.daemon_machine.follower"),
        ],
    ),
    (
        a_cut_off_daemon_is_asked_again,
        "not-run-but-ran",
        [
            (
                "silverglade.tenant_requests.admission",
                'return f["minted"] or',
                "return True or",
                "silverglade.tenant_requests.ingress.sure",
                "silverglade.tenant_requests.request.sure",
            )
        ],
    ),
    (
        a_visitor_moves_on_while_its_daemon_waits,
        "not-run-but-ran",
        [(ORDER, 'soon = f["minted"] or', "soon = True or", "silverglade.tenant_requests.ingress.order")],
    ),
    (
        a_key_is_asked_twice_and_the_first_ask_is_held_up,
        "not-run-but-ran",
        [
            (
                OWNER,
                ("        x.seen = False  # its", 'if c and c[0] != x.oid:\n            return "yes"'),
                ("        # its", 'if False:\n            return "yes"'),
                "silverglade.runtime.daemon_machine.owner",
            )
        ],
    ),
    (a_replica_skips_a_piece, "pieces", [(ORDER, "if k != piece + 1:", "if False:", "silverglade.tenant_requests.ingress.order")]),
    (
        a_replica_fails_at_the_end,
        "success-unearned-or-told",
        [
            (
                ORDER,
                """                case ("ran", "fault", r):
                    how = "fault"
""",
                """                case ("ran", "fault", r):
                    how = "done"
                    result("whole", b"x.1|whole") if not f["stream"] else None
""",
                "silverglade.tenant_requests.ingress.order",
            )
        ],
    ),
    (
        a_run_breaks_off_after_its_first_piece,
        "joined-or-pieces",
        [
            (
                ORDER,
                ('f["resumable"])) and not piece', "if k != piece + 1:"),
                ('f["resumable"]))', "if False:"),
                "silverglade.tenant_requests.ingress.order",
            )
        ],
    ),
    (
        the_home_has_no_replica_left,
        "outside-homes",
        [
            (REG, "and (homes is None or r[ZONE] in homes and any(h in homes for h in r[HOMES]))", "", *USABLE),
            (ELECT, "for z in homes[1:]:", "for z in region:", "silverglade.tenant_shards.owner.select_candidates"),
        ],
    ),
    (
        a_leaving_replica_stays_up,
        "work-after-leaving",
        [(REG, "and not r[LEAVING]\n", "\n", *USABLE), (LEDGER, "or r[LEAVING]\n", "\n", "silverglade.runtime.daemon_machine.ledger")],
    ),
    (
        a_replica_is_marked_where_it_is_not_known_yet,
        "work-after-leaving",
        [
            (
                REG,
                ("if marks.get(r[RID], 0) >= r[INC]:", 'if why != "heard":'),
                ("if False:", "if False:"),
                "silverglade.runtime.daemon_machine.registry",
            )
        ],
    ),
    (
        a_zone_is_emptied,
        "work-after-emptying",
        [(REG, "and r[ZONE] not in evac", "", *USABLE), (LEDGER, "or r[ZONE] in evac", "", "silverglade.runtime.daemon_machine.ledger")],
    ),
    (
        a_zone_is_emptied_while_cut_off,
        "work-after-emptying",
        [
            (LEDGER, ("or fresh is None\n", 'or now - fresh > opt["alone"]\n'), ("\n", "\n"), "silverglade.runtime.daemon_machine.ledger"),
            (OWNER, 'if fresh is None or now - fresh > opt["alone"]:', "if False:", "silverglade.runtime.daemon_machine.owner"),
            (
                "silverglade.tenant_requests.ingress",
                'return self.heard is not None and now - self.heard <= self.opt["alone"]',
                "return True",
                "silverglade.runtime.daemon_machine.ingress",
            ),
        ],
    ),
    (
        a_daemon_is_told_by_a_core_that_is_behind,
        "slipped-back",
        [
            (
                NEWS,
                (
                    "if answer.version < self.store_version:",
                    " if is_newer(item, self.store)]",
                    "self.store_version = max(self.store_version, answer.version)",
                    "if not newer and answer.version <= self.store_version:",
                ),
                ("if False:", "]", "self.store_version = answer.version", "if False:"),
                "silverglade.runtime.daemon_machine.Updater",
            ),
            (
                "silverglade.control.replicated_state",
                "if item_version > version and not",
                "if not",
                "silverglade.control.replicated_state.items_since",
                "silverglade.control.serving.items_since",
            ),
        ],
    ),
    (
        a_daemon_restarts_beside_a_core_that_is_behind,
        "slipped-back",
        [(NEWS, "if not self._is_start_proved:", "if False:", "silverglade.runtime.daemon_machine.Updater")],
    ),
    (
        power_is_lost_after_an_acknowledgement,
        "acknowledged-forgotten",
        [
            (
                REPLICATION,
                """        if succeeded:
            replicate(core, view, pending)""",
                """        if succeeded:
            replicate(core, view, pending)
            answer(core, *pending.answers[0])""",
                REPLICATION + ".on_written_by_primary",
            )
        ],
    ),
    (
        two_operators_race,
        "both-won",
        [
            (
                "silverglade.control.decisions",
                "if operation.base != held:",
                "if False:",
                "silverglade.control.decisions.decide_configuration",
                "silverglade.control.decisions.decide_table",
            )
        ],
    ),
    (
        a_replica_returns_cold_into_a_crowd,
        "flooded",
        [
            (
                LEDGER,
                "self.cap, self.state, self.warm, self.run = 1,",
                "self.cap, self.state, self.warm, self.run = 99,",
                "silverglade.runtime.daemon_machine.ledger",
            )
        ],
    ),
    (
        every_replica_fails,
        "retries",
        [
            (
                "silverglade.tenant_shards.retry_budget",
                'if self.n["again"] + 1 > mine or gone + 1 > share * fleet:',
                "if False:",
                "silverglade.tenant_shards.owner.RetryBudget",
            )
        ],
    ),
    (
        the_primary_and_an_owner_are_lost,
        "not-back",
        [("silverglade.control.plan", "if fair:", "if False:", "silverglade.control.plan.why")],
    ),
]
IDS = [c[0].__name__ for c in CASES]


@pytest.mark.parametrize("run,rule,guards", CASES, ids=IDS)
def test_the_rule_holds(run, rule, guards):
    s = run()
    assert s.o.faults == []
    assert s.o.orders or s.o.acked


@pytest.mark.parametrize("run,rule,guards", CASES, ids=IDS)
def test_without_its_guard_it_breaks(run, rule, guards, monkeypatch):
    for module, old, new, *targets in guards:
        without(monkeypatch, module, old, new, *targets)
    got = rules(run())
    want = {"success-unearned-or-told": {"success-unearned", "foreign-body"}, "joined-or-pieces": {"joined-runs", "pieces"}}.get(
        rule, {rule}
    )
    assert got & want
