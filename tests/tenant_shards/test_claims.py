"""Randomized test of claims at the follower (design 6.3) against a simple model."""

import random

import pytest

from silverglade.runtime.effects import ZERO
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.tenant_shards.follower import ClaimFollower

OWNER = "o"
SHARD = "s"
TUNING = tuning(claims_most=16)


class FollowerOnDisk:
    """A follower whose writes are applied to `disk` immediately; it can be restarted from there."""

    def __init__(self):
        self.disk = {}
        self.restart()

    def restart(self):
        saved = {table: dict(rows) for table, rows in self.disk.items()}
        self.component = MachineComponent(ClaimFollower(own_name="f", saved=saved, tuning=TUNING))

    def send(self, *body):
        """Deliver a message, sync the writes, and return the bodies of the answers."""
        answers = []
        for effect in self.component.send((ZERO, ("msg", OWNER, body))):
            if effect[0] == "disk":
                self.write(effect[2])
                answers += self.component.send((ZERO, ("disk", effect[1], True, None)))
            else:
                answers.append(effect)
        return [effect[2] for effect in answers if effect[0] == "send"]

    def write(self, operations):
        for kind, table, key, *value in operations:
            if kind == "put":
                self.disk.setdefault(table, {})[key] = value[0]
            else:
                self.disk.get(table, {}).pop(key, None)


@pytest.mark.parametrize("seed", range(40))
def test_a_follower_agrees_with_the_model_also_after_restarts(seed):
    rng, epoch, held, last_number = random.Random(seed), None, {}, 0
    follower = FollowerOnDisk()
    for step in range(400):
        chance = rng.random()
        key, request = f"k{rng.randrange(40)}", f"g{rng.randrange(60)}"
        asked_epoch = (epoch or 1) + rng.choice([0, 0, 0, 0, 0, 0, -1, 1])
        if chance < 0.02:
            follower.restart()  # power loss
        elif chance < 0.06:
            follower.send("adopt", SHARD, asked_epoch)
            if epoch is not None and asked_epoch >= epoch:
                epoch = asked_epoch
        elif chance < 0.08 and (epoch is None or asked_epoch >= epoch):
            epoch = asked_epoch
            rows = tuple((held_key, *claim) for held_key, claim in held.items())
            assert follower.send("copy", SHARD, asked_epoch, step, rows) == [("copied", SHARD, asked_epoch, step)]
        elif chance < 0.8:
            number = held[key][2] if key in held else last_number + 1
            answers = follower.send("claim", SHARD, asked_epoch, request, key, request, number)
            if epoch is None or asked_epoch != epoch:
                assert answers == [("unclaimed", SHARD, asked_epoch, request, "none" if epoch is None else "old")]
            elif key in held and held[key][0] != request:
                assert answers == [("unclaimed", SHARD, asked_epoch, request, "seen")]
            else:
                last_number = max(last_number, number)
                held[key] = (request, "claimed", number)
                if len(held) > 18:
                    held = {held_key: claim for held_key, claim in held.items() if claim[2] > last_number - 16}
                assert answers == [("claimed", SHARD, asked_epoch, request)]
        else:
            state = rng.choice(["free", "ran", "done"])
            follower.send("mark", SHARD, asked_epoch, key, request, state)
            if asked_epoch == epoch and key in held and held[key][0] == request:
                if state == "free":
                    del held[key]
                elif held[key][1] != "done":
                    held[key] = (request, state, held[key][2])
    if epoch is not None:
        rows = tuple((key, *claim) for key, claim in sorted(held.items()))
        assert follower.send("adopt", SHARD, epoch) == [("adopted", SHARD, epoch, rows)]
        assert len(held) > 3


@pytest.mark.parametrize("tenant", ["plain", "with a space", "a\0b", "\0", "a\0"])
def test_a_follower_restarts_with_any_tenant_name(tenant):
    """Tenant names are arbitrary text; a core that fails to parse its own claim keys could never restart."""
    follower = FollowerOnDisk()
    follower.send("copy", tenant, 1, 1, (("k", "g", "claimed", 1),))
    follower.send("claim", tenant, 1, "c", "k2", "g2", 2)
    follower.restart()
    assert follower.send("claim", tenant, 1, "c", "k", "g3", 3) == [("unclaimed", tenant, 1, "c", "seen")]
