"""Seeking a new view (design 5.4): seal, copy to the recruit, then the register's round."""
from ..part import log, send, span
from . import register as rg


def seeker(*, me, opt, rng, cores, plan, seal, snapok, copy):
    """Generator; sent (now, event, highest ballot seen, effects to fill)."""
    rnd = nonce = goal = None
    step, at, top, due = "rest", None, rg.NONE, None
    sealing = {"done": None}

    def ask(m, out):
        out.extend(send(c, *m) for c in cores)

    while True:
        now, ev, seen, out = yield
        top = max(top, seen)
        if due is None:
            due = now + opt["settle"] * rng.random()
        if ev[0] == "pulse":
            if step == "rest" and now >= due:
                goal = plan(now)
                if goal is None:
                    due = now + opt["beat"]
                    continue
                step, at, nonce = ("seal" if goal[2] else "round"), now, rng.getrandbits(48)
                if goal[2]:
                    out.append(log("seek", epoch=goal[1][0], recruit=goal[2]))
                    sealing["done"] = None
                    seal(now, lambda n=nonce: sealing.update(done=n))
                rnd = None
            if step == "seal" and sealing["done"] == nonce:
                step, sent = "copy", None
            if step == "copy":
                d = snapok.get((goal[2], goal[1][0], nonce))
                if d is not None and d == dict(goal[1][3])[goal[2]]:
                    step = "round"
                elif sent is None or now - sent >= opt["takeover"] / 2:
                    sent = now
                    out.append(send(goal[2], "snap", goal[1][0], nonce, rg.NONE, None, copy()))
            if step == "round" and rnd is None:
                rnd = rg.round_(me=me, ballot=(top[0] + 1, me), basis=goal[0], want=goal[1],
                                cores=cores)
                ask(next(rnd), out)
            if step != "rest" and now - at > opt["takeover"]:
                step, due = "rest", now + opt["settle"] * rng.random() + span(50)
        elif ev[0] == "answer" and step == "round" and rnd is not None:
            _, frm, disk, ans = ev
            if ans[0] == "nack" and len(ans) == 3 and rg.sound_ballot(ans[2]):
                top = max(top, ans[2])
            if ans[0] == "prom" and not (len(ans) == 4 and rg.sound_ballot(ans[2]) and rg.sound(ans[3])):
                continue
            got = rnd.send((frm, disk, ans))
            match got[0]:
                case "acc":
                    ask(got, out)
                case "chosen":
                    out.append(("post", "control", got))
                    step, due = "rest", now + opt["settle"]
                case "lost":
                    step, due = "rest", now + opt["settle"] * rng.random() + span(50)
