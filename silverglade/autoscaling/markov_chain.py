"""The paper's chain (design 9.1): state probabilities, throughput and W.

Works on floats and on Fractions alike. Summing the balance equations over the levels below
k gives q[k,0] from level k-1 with no subtraction; (k,0)'s own balance then gives q[k,1].
"""

from math import ceil, floor

BIG = 1e200
SAME = 1e-13
TINY = 1e-20


def states(*, lam, mu, r, m, room):
    """[(q[k,0], q[k,1])] for k = 0..room, not yet normalised; q[0,1] is 0.

    On floats it ends where what follows can only be smaller and is nothing beside the sum.
    """
    one = lam / lam if lam else 1
    q, tot = [(one, one * 0)], one
    for k in range(1, room + 1):
        p0, p1 = q[-1]
        a = lam * (p0 + p1) / (min(k, m) * mu)
        if k == room:
            b = lam * (p1 if k > 1 else p0) / r
        else:
            b = lam * (a + (p1 if k > 1 else p0)) / r
        q.append((a, b))
        tot += a + b
        if not isinstance(a, float):
            continue
        if max(a, b) > BIG:
            q, tot = [(x / BIG, y / BIG) for x, y in q], tot / BIG
        elif lam < 0.9 * min(k, m) * mu and a + b < TINY * tot:
            break
    return q


def measures(*, lam, mu, r, m, room, flow="printed"):
    """-> (W, throughput, loss, use of a replica).

    flow "printed" is the source's (8) as the design states it: mu times the summed (k,0)
    probabilities. "served" counts every busy replica of a state, min(k, m) mu: what
    leaves the chain (docs/paper.md).
    """
    q = states(lam=lam, mu=mu, r=r, m=m, room=room)
    tot = sum(a + b for a, b in q)
    held = sum(k * (a + b) for k, (a, b) in enumerate(q)) / tot
    busy = (lambda k: min(k, m)) if flow == "served" else (lambda k: min(k, 1))
    g = sum(busy(k) * a for k, (a, _) in enumerate(q)) * mu / tot
    return held / g, g, sum(q[-1]) / tot, g / (m * mu)


def w_of(*, lam, mu, r, m, room, flow="printed"):
    return measures(lam=lam, mu=mu, r=r, m=m, room=room, flow=flow)[0]


def smallest(*, lam, mu, replicas, aim, room, fan, top, fall, flow="printed"):
    """The smallest m that meets the aim (design 9.2) -> (m, met).

    No m with lam/(m mu) above `top`; failing the aim, the smallest at most `fall`. `fan`
    times the region's replicas is the dispatcher's speed and the cap. Beyond the room W no
    longer changes with m; below it every m is tried, as the printed W need not fall with m.
    """
    if lam <= 0:
        return 0, True
    cap = fan * max(1, replicas)
    r, big, old = cap * mu, room * max(1, replicas), None
    for m in range(max(1, ceil(lam / (top * mu) - 1e-9)), min(cap, big) + 1):
        w = w_of(lam=lam, mu=mu, r=r, m=m, room=big, flow=flow)
        if w <= aim:
            return m, True
        if old and abs(old - w) < SAME * w:  # hardly a state holds more than m: no larger m changes W
            break
        old = w
    return min(cap, max(1, ceil(lam / (fall * mu) - 1e-9))), False


def room_of(*, capacity, mu, aim):
    """K for one replica (design 16.3): those that run, and those whose wait for a place is within the aim.

    Who finds k requests at a replica that runs `capacity` at once waits for k - capacity + 1 ends, mu a second.
    """
    return capacity + floor(aim * mu + 1e-9)
