"""The retry budget (design 7.5): allowance of one owner, and of the fleet."""

from datetime import timedelta

import pytest

from silverglade.membership.records import MemberRecord
from silverglade.runtime.settings import tuning
from silverglade.tenant_shards.retry_budget import RetryBudget

SECOND = timedelta(seconds=1)
TUNING = tuning(retry_window=30.0)


@pytest.fixture
def budget():
    return RetryBudget(own_name="me", tuning=TUNING)


def count_first_requests(budget, number, now=SECOND):
    for _ in range(number):
        budget.count_first_request(now)


def member(name, counts):
    return MemberRecord(name, "p", 1, 1, "z", "r", "a", "h", False, "ready", (), (("pace", counts),))


def test_retries_are_a_share_of_first_requests(budget):
    count_first_requests(budget, 100)
    assert [budget.take_retry(SECOND, 0.1, 1.0) for _ in range(11)] == [True] * 10 + [False]
    assert budget.counts == (100, 10) and budget.totals == {"fresh": 100, "again": 10, "refused": 1}


def test_an_owner_of_half_the_shards_gets_its_fraction_of_the_fleet_allowance(budget):
    budget.record_peer_counts((member("other", (100, 0)),), SECOND)
    assert [budget.take_retry(SECOND, 0.1, 0.5) for _ in range(3)] == [True, True, False]  # 0.1 * (0 + 100 * 0.5) / 2


def test_retries_of_other_owners_use_up_the_fleet_budget(budget):
    count_first_requests(budget, 100)
    budget.record_peer_counts((member("other", (0, 10)),), SECOND)
    assert not budget.take_retry(SECOND, 0.1, 1.0)


@pytest.mark.parametrize("counts", [None, (1,), ("1", 2), [1, 2]])
def test_malformed_counts_of_another_daemon_are_ignored(budget, counts):
    budget.record_peer_counts((member("other", counts),), SECOND)
    count_first_requests(budget, 10)
    assert budget.take_retry(SECOND, 0.1, 1.0)


def test_counts_older_than_the_window_are_dropped(budget):
    count_first_requests(budget, 10)
    budget.record_peer_counts((member("other", (100, 0)),), SECOND)
    assert budget.take_retry(SECOND, 0.1, 1.0)
    budget.expire(32 * SECOND)
    assert budget.counts == (0, 0) and not budget.is_counting
    assert not budget.take_retry(32 * SECOND, 0.1, 1.0)
