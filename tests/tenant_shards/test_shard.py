"""Agreement of a shard's owner and follower on the claims (design 6.3, 6.4)."""

from datetime import timedelta

import pytest

from silverglade.runtime.settings import tuning
from silverglade.tenant_shards.claims import Claim
from silverglade.tenant_shards.follower_choice import FollowerAssignment, FollowerCandidates
from silverglade.tenant_shards.messages import (
    Adopted,
    AdoptionRefused,
    AdoptRequest,
    ClaimRequest,
    ClaimsCopied,
    ClaimsCopy,
    decode,
)
from silverglade.tenant_shards.shard import Shard, ShardStep

TUNING = tuning()
SECOND = timedelta(seconds=1)
CORES = FollowerCandidates(live={"owner", "f", "g"}, eligible=["f", "g"], same_zone={"owner"})


def owned(*, follower="f", claims=None, epoch=2):
    return Shard(name="t", epoch=epoch, follower=follower, owner="owner", claims=claims, claims_limit=100)


def advance(shard, now, cores=CORES):
    """Advance the shard and return (recipient, message), the requested assignment, or None."""
    effect = shard.advance(now, cores, TUNING)
    if effect is None or isinstance(effect, FollowerAssignment):
        return effect
    return effect.to, decode(effect.body)


@pytest.fixture
def open_shard():
    shard = owned()
    advance(shard, SECOND)
    shard.on_adopted("f", Adopted("t", 2, ()))
    assert shard.is_open
    return shard


def test_a_new_owner_adopts_the_claims_of_the_follower():
    shard = owned()
    assert advance(shard, SECOND) == ("f", AdoptRequest("t", 2))
    shard.on_adopted("f", Adopted("t", 2, (("k", "r", "done", 5),)))
    assert shard.is_open and shard.claims == {"k": Claim("r", "done", 5)}
    assert decode(shard.claim("k2", "r2").body) == ClaimRequest("t", 2, "r2", "k2", "r2", 6)


@pytest.mark.parametrize(("sender", "epoch"), [("g", 2), ("f", 1)], ids=["another core", "an earlier epoch"])
def test_an_adoption_answer_of_another_core_or_epoch_is_ignored(sender, epoch):
    shard = owned()
    advance(shard, SECOND)
    assert shard.on_adopted(sender, Adopted("t", epoch, ())) == [] and not shard.is_open


def test_a_follower_that_lacks_claims_of_its_owner_gets_a_full_copy():
    shard = owned(claims={"k": Claim("r", "claimed", 1)})
    advance(shard, SECOND)
    shard.on_adopted("f", Adopted("t", 2, ()))
    assert not shard.is_open
    assert advance(shard, 2 * SECOND) == ("f", ClaimsCopy("t", 2, 1, (("k", "r", "claimed", 1),)))
    shard.on_copied("f", ClaimsCopied("t", 2, 1))
    assert shard.step is ShardStep.ADOPT


def test_a_shard_without_claims_on_either_side_reports_them_lost():
    shard = owned()
    advance(shard, SECOND)
    (line,) = shard.on_adoption_refused("f", AdoptionRefused("t", 2, "none"))
    assert line.event == "claims-lost" and shard.has_lost_claims


def test_claims_are_kept_only_for_the_directly_following_epoch(open_shard):
    open_shard.claim("k", "r")
    assert open_shard.claims_for(3) == {"k": Claim("r", "claimed", 1)} and open_shard.claims_for(4) is None


def test_a_dead_follower_is_replaced_once_another_core_has_all_claims(open_shard):
    open_shard.claim("k", "r")
    without_follower = FollowerCandidates(live={"owner", "g"}, eligible=["g"], same_zone={"owner"})
    assert advance(open_shard, 2 * SECOND, without_follower) == ("g", ClaimsCopy("t", 2, 1, (("k", "r", "claimed", 1),)))
    assert not open_shard.is_open
    open_shard.on_copied("g", ClaimsCopied("t", 2, 1))
    wanted = FollowerAssignment("shard", "t", 2, "owner", "g")
    assert advance(open_shard, 3 * SECOND, without_follower) == wanted


def test_an_answer_to_an_earlier_copy_does_not_assign_a_follower(open_shard):
    without_follower = FollowerCandidates(live={"owner", "g"}, eligible=["g"], same_zone={"owner"})
    advance(open_shard, 2 * SECOND, without_follower)
    advance(open_shard, 3 * SECOND, without_follower)  # sent again as copy number 2
    open_shard.on_copied("g", ClaimsCopied("t", 2, 1))
    assert open_shard.step is ShardStep.COPY


def test_a_restarted_follower_is_adopted_again(open_shard):
    open_shard.observe_follower_process("p1")
    assert open_shard.is_open
    open_shard.observe_follower_process("p2")
    assert open_shard.step is ShardStep.ADOPT


@pytest.mark.parametrize(("reason", "step"), [("none", ShardStep.COPY), ("old", ShardStep.ADOPT)])
def test_a_refused_claim_closes_the_shard(open_shard, reason, step):
    open_shard.on_claim_refused(1, reason)
    assert open_shard.is_open  # the refusal is of an earlier epoch
    open_shard.on_claim_refused(2, reason)
    assert open_shard.step is step
