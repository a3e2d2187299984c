"""Claims at their follower under fuzz (design 6.3), with a plain model as oracle."""

import random

from silverglade.runtime.effects import ZERO
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.tenant_shards.follower import ClaimFollower

OPT = tuning(claims_most=16)


def follower(*, saved):
    return MachineComponent(ClaimFollower(own_name="f", saved=saved, tuning=OPT))


def test_a_follower_answers_as_the_model_does_and_comes_back_from_disk_the_same():
    for seed in range(40):
        rng, disk, epoch, held, top = random.Random(seed), {}, None, {}, 0
        g = follower(saved={})

        def send(*body):
            """The answer, once its write is synced."""
            ans = []
            for e in g.send((ZERO, ("msg", "o", body))):
                if e[0] == "disk":
                    for op in e[2]:
                        if op[0] == "put":
                            disk.setdefault(op[1], {})[op[2]] = op[3]
                        else:
                            disk.get(op[1], {}).pop(op[2], None)
                    ans += g.send((ZERO, ("disk", e[1], True, None)))
                else:
                    ans.append(e)
            return [a[2] for a in ans if a[0] == "send"]

        for step in range(400):
            k = rng.random()
            kd, gid = f"k{rng.randrange(40)}", f"g{rng.randrange(60)}"
            e = (epoch or 1) + rng.choice([0, 0, 0, 0, 0, 0, -1, 1])
            if k < 0.02:
                g = follower(saved={t: dict(d) for t, d in disk.items()})  # power
            elif k < 0.06:
                if send("adopt", "s", e):
                    pass
                if epoch is not None and e >= epoch:
                    epoch = e
            elif k < 0.08 and (epoch is None or e >= epoch):
                epoch = e
                assert send("copy", "s", e, step, tuple((x, *c) for x, c in held.items())) == [("copied", "s", e, step)]
            elif k < 0.8:
                got = send("claim", "s", e, gid, kd, gid, held[kd][2] if kd in held else top + 1)
                if epoch is None or e != epoch:
                    assert got == [("unclaimed", "s", e, gid, "none" if epoch is None else "old")]
                elif kd in held and held[kd][0] != gid:
                    assert got == [("unclaimed", "s", e, gid, "seen")]
                else:
                    if kd not in held:
                        top += 1
                    held[kd] = (gid, "claimed", held[kd][2] if kd in held else top)
                    if len(held) > 18:
                        held = {x: c for x, c in held.items() if c[2] > top - 16}
                    assert got == [("claimed", "s", e, gid)]
            else:
                st = rng.choice(["free", "ran", "done"])
                send("mark", "s", e, kd, gid, st)
                if e == epoch and kd in held and held[kd][0] == gid:
                    if st == "free":
                        del held[kd]
                    elif held[kd][1] != "done":
                        held[kd] = (gid, st, held[kd][2])
        if epoch is not None:
            assert send("adopt", "s", epoch) == [("adopted", "s", epoch, tuple((x, *c) for x, c in sorted(held.items())))]
            assert len(held) > 3


def test_a_follower_starts_again_whatever_its_tenants_are_called():
    """A configuration takes any text for a name; a core that could not read its own claims would never start again."""
    for name in ("plain", "with a space", "a\0b", "\0", "a\0"):
        disk = {}
        g = follower(saved={})
        for body in (("copy", name, 1, 1, (("k", "g", "claimed", 1),)), ("claim", name, 1, "c", "k2", "g2", 2)):
            for effect in g.send((ZERO, ("msg", "o", body))):
                for op in effect[2] if effect[0] == "disk" else ():
                    disk.setdefault(op[1], {})[op[2]] = op[3]
        again = follower(saved=disk)
        ((_, _, answer),) = [e for e in again.send((ZERO, ("msg", "o", ("claim", name, 1, "c", "k", "g3", 3)))) if e[0] == "send"]
        assert answer == ("unclaimed", name, 1, "c", "seen")
