"""Seeking a new view (design 5.4): seal, copy to the recruits, then the register's round."""

from ..part import log, send, span
from . import register as rg


def seeker(*, me, opt, rng, plan, seal, snapok, copy, wait):
    """Generator; sent (now, event, highest ballot seen, effects to fill). `wait` before the first try."""
    rnd = nonce = goal = None
    step, at, top, due = "rest", None, rg.NONE, None
    sealing = {"done": None}

    def ask(m, out):
        base, want = goal[:2]
        out.extend(send(c, *m) for c in sorted(rg.disks(base or want)))

    while True:
        now, ev, seen, out = yield
        top = max(top, seen)
        if due is None:
            due = now + wait
        if ev[0] == "pulse":
            if step == "rest" and now >= due:
                goal = plan(now)
                if goal is None:
                    due = now + opt["beat"]
                    continue
                recruits = goal[2]
                step, at, nonce = ("seal" if recruits else "round"), now, rng.getrandbits(48)
                if recruits:
                    out.append(log("seek", epoch=goal[1][0], recruits=",".join(recruits)))
                    sealing["done"] = None
                    seal(now, lambda n=nonce: sealing.update(done=n))
                rnd = None
            if step == "seal" and sealing["done"] == nonce:
                step, sent = "copy", None
            if step == "copy":
                disks = rg.disks(goal[1])
                todo = [r for r in recruits if snapok.get((r, goal[1][0], nonce)) != disks[r]]
                if not todo:
                    step = "round"
                elif sent is None or now - sent >= opt["takeover"] / 2:
                    sent = now
                    out += [send(r, "snap", goal[1][0], nonce, None, copy()) for r in todo]
            if step == "round" and rnd is None:
                rnd = rg.round_(me=me, ballot=(top[0] + 1, me), base=goal[0], want=goal[1])
                ask(next(rnd), out)
            if step != "rest" and now - at > opt["takeover"]:
                step, due = "rest", now + opt["settle"] * rng.random() + span(50)
        elif ev[0] == "answer" and step == "round" and rnd is not None:
            _, frm, disk, ans = ev
            if ans[0] == "nack" and len(ans) == 3 and rg.sound_ballot(ans[2]):
                top = max(top, ans[2])
            if ans[0] == "prom" and not (len(ans) == 5 and rg.sound_ballot(ans[2]) and rg.sound(ans[3]) and rg.sound(ans[4])):
                continue
            got = rnd.send((frm, disk, ans))
            match got[0]:
                case "acc":
                    ask(got, out)
                case "chosen" | "behind":
                    out.append(("post", "control", ("chosen", got[-1])))
                    step, due = "rest", now + opt["settle"]
                case "lost":
                    step, due = "rest", now + opt["settle"] * rng.random() + span(50)
