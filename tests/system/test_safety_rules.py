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

REG, SELECTION, LEASES, ADMISSION, ORDER, REPLICATION, NEWS = (
    "silverglade.replicas.registry",
    "silverglade.replicas.candidate_selection",
    "silverglade.replicas.slot_leases",
    "silverglade.tenant_shards.admission",
    "silverglade.tenant_requests.request",
    "silverglade.control.replication",
    "silverglade.configuration.updater",
)
USABLE = (
    "silverglade.replicas.registry.is_usable",
    "silverglade.replicas.candidate_selection.is_usable",
    "silverglade.tenant_requests.request_context.is_usable",
)

CASES = [
    (
        owner_dies_after_the_grant,
        "ran-twice",
        [
            (
                "silverglade.tenant_shards.shard",
                "received = claims_from_rows(message.claims)",
                "received = {}",
                "silverglade.tenant_shards.owned_shards.Shard",
            ),
            (
                "silverglade.tenant_shards.follower",
                "if held is not None and held.request_id != request.request_id:",
                "if False:",
                "silverglade.tenant_shards.follower.ClaimFollower",
            ),
        ],
    ),
    (
        a_cut_off_daemon_is_asked_again,
        "not-run-but-ran",
        [
            (
                "silverglade.tenant_requests.admission",
                "return facts.key_is_generated or",
                "return True or",
                "silverglade.tenant_requests.admission.is_surely_first",
                "silverglade.tenant_requests.request.is_surely_first",
            )
        ],
    ),
    (
        a_visitor_moves_on_while_its_daemon_waits,
        "not-run-but-ran",
        [(ORDER, "is_soon = facts.key_is_generated or", "is_soon = True or", "silverglade.tenant_requests.ingress.TenantRequest")],
    ),
    (
        a_key_is_asked_twice_and_the_first_ask_is_held_up,
        "not-run-but-ran",
        [
            (ADMISSION, "        request.is_key_checked = False  # its", "        # its", "silverglade.tenant_shards.owner.Admission"),
            (
                "silverglade.tenant_shards.request_queue",
                "if claim is not None and claim.request_id != request.request_id:\n            return run_status_of_claim",
                "if False:\n            return run_status_of_claim",
                "silverglade.tenant_shards.owner.RequestQueue",
            ),
        ],
    ),
    (
        a_replica_skips_a_piece,
        "pieces",
        [(ORDER, "if number != self._pieces + 1:", "if False:", "silverglade.tenant_requests.ingress.TenantRequest")],
    ),
    (
        a_replica_fails_at_the_end,
        "success-unearned-or-told",
        [
            (
                ORDER,
                """            case DispatchFailed(ran):
                self._end_attempt(now, AttemptEnd.FAILED, ran)
""",
                """            case DispatchFailed(ran):
                if not self._facts.is_streamed:
                    self._effects.append(whole_result(self._request_id, b"x.1|whole"))
                self._end_attempt(now, AttemptEnd.DONE, ran)
""",
                "silverglade.tenant_requests.ingress.TenantRequest",
            )
        ],
    ),
    (
        a_run_breaks_off_after_its_first_piece,
        "joined-or-pieces",
        [
            (
                ORDER,
                ("return is_safe and not self._pieces", "if number != self._pieces + 1:"),
                ("return is_safe", "if False:"),
                "silverglade.tenant_requests.ingress.TenantRequest",
            )
        ],
    ),
    (
        the_home_has_no_replica_left,
        "outside-homes",
        [
            (REG, "and (homes is None or record.zone in homes and any(home in homes for home in record.homes))", "", *USABLE),
            (SELECTION, "for zone in homes[1:]:", "for zone in regions:", "silverglade.tenant_shards.admission.select_candidates"),
        ],
    ),
    (
        a_leaving_replica_stays_up,
        "work-after-leaving",
        [
            (REG, "and not record.is_leaving\n", "\n", *USABLE),
            (LEASES, "or record.is_leaving\n", "\n", "silverglade.runtime.daemon_components.SlotLeases"),
        ],
    ),
    (
        a_replica_is_marked_where_it_is_not_known_yet,
        "work-after-leaving",
        [
            (
                "silverglade.replicas.replica_table",
                "if self.leaving_incarnations.get(name, 0) >= record.incarnation:",
                "if False:",
                "silverglade.replicas.replica_table.ReplicaTable",
            ),
            (REG, "if why != ANNOUNCED_BY_PEER:", "if False:", "silverglade.runtime.daemon_components.ReplicaRegistry"),
        ],
    ),
    (
        a_zone_is_emptied,
        "work-after-emptying",
        [
            (REG, "and record.zone not in drained_zones", "", *USABLE),
            (LEASES, "or record.zone in self._drained_zones", "", "silverglade.runtime.daemon_components.SlotLeases"),
        ],
    ),
    (
        a_zone_is_emptied_while_cut_off,
        "work-after-emptying",
        [
            (
                LEASES,
                ("or self._proved_at is None\n", 'or now - self._proved_at > self._tuning["alone"]\n'),
                ("\n", "\n"),
                "silverglade.runtime.daemon_components.SlotLeases",
            ),
            (
                "silverglade.tenant_shards.intake",
                'if self._context.proved_at is None or now - self._context.proved_at > self._context.tuning["alone"]:',
                "if False:",
                "silverglade.tenant_shards.owner.RequestIntake",
            ),
            (
                "silverglade.tenant_requests.request_context",
                'return self.proved_at is not None and now - self.proved_at <= self.tuning["alone"]',
                "return True",
                "silverglade.tenant_requests.ingress.RequestContext",
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
                "silverglade.runtime.daemon_components.Updater",
            ),
            (
                "silverglade.control.replicated_state",
                "if item_version > version and not",
                "if not",
                "silverglade.control.replicated_state.items_since",
                "silverglade.control.committed_items.items_since",
            ),
        ],
    ),
    (
        a_daemon_restarts_beside_a_core_that_is_behind,
        "slipped-back",
        [(NEWS, "if not self._has_passed_startup_check:", "if False:", "silverglade.runtime.daemon_components.Updater")],
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
                "silverglade.control.decisions.decide_numbered_configuration",
            )
        ],
    ),
    (
        a_replica_returns_cold_into_a_crowd,
        "flooded",
        [
            (
                "silverglade.replicas.replica_slots",
                "capacity: int = INITIAL_CAPACITY",
                "capacity: int = 99",
                "silverglade.replicas.slot_leases.ReplicaSlots",
            )
        ],
    ),
    (
        every_replica_fails,
        "retries",
        [
            (
                "silverglade.tenant_shards.retry_budget",
                "if self._retries + 1 > own_allowance or fleet_retries + 1 > share * fleet_first_requests:",
                "if False:",
                "silverglade.tenant_shards.owner.RetryBudget",
            )
        ],
    ),
    (
        the_primary_and_an_owner_are_lost,
        "not-back",
        [("silverglade.control.view_policy", "if grace_elapsed:", "if False:", "silverglade.control.view_policy.view_problem")],
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
