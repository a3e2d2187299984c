"""The paper's chain (design 9.1), compared with its printed equations, a linear solve and a simulation."""

import random
from fractions import Fraction as F

import pytest

from silverglade.autoscaling import markov_chain as chain
from silverglade.autoscaling.markov_chain import chain_measures, room_of_replica, smallest_sufficient, state_weights

CASES = [(m, k, lam) for m in (1, 2, 3, 5) for k in (1, 2, 3, 6, 9) for lam in (F(1, 3), F(2), F(7, 2))]


def printed(lam, mu, r, m, room):
    """Recursions (1) to (6) as the paper prints them, with subtractions; they hold for m >= 3."""
    q0, q1 = {0: F(1)}, {0: F(0)}
    q0[1] = lam / mu
    q1[1] = (lam + mu) / r * (lam / mu)
    q0[2] = (lam + r) / (2 * mu) * q1[1] - lam / (2 * mu)
    for k in range(2, room):
        d = min(k, m) * mu
        if k > 2:
            q0[k] = (lam + r) / d * q1[k - 1] - lam / d * q1[k - 2]
        q1[k] = (lam + d) / r * q0[k] - lam / r * q0[k - 1]
    q1[room] = lam / r * q1[room - 1]
    q0[room] = lam / (m * mu) * (q0[room - 1] + q1[room - 1])
    return [(q0[k], q1[k]) for k in range(room + 1)]


@pytest.mark.parametrize("m,room", [(3, 4), (3, 9), (5, 12), (4, 20)])
def test_states_are_those_of_the_printed_recursions_in_exact_arithmetic(m, room):
    lam, mu, r = F(7, 2), F(1), F(200)
    assert state_weights(lam=lam, mu=mu, r=r, m=m, room=room) == printed(lam, mu, r, m, room)


def balance(lam, mu, r, m, room):
    """Transition rates between the states of the paper's diagram."""
    go = {}
    for k in range(room + 1):
        if k < room:
            go[(k, 0), (k + 1, 0 if k else 1)] = lam
            if k:
                go[(k, 1), (k + 1, 1)] = lam
        if k:
            go[(k, 1), (k, 0)] = r
            go[(k, 0), (k - 1, 1 if k > 1 else 0)] = min(k, m) * mu
    return go


@pytest.mark.parametrize("m,room,lam", CASES)
def test_states_balance_every_state_of_the_diagram(m, room, lam):
    mu, r = F(3, 2), F(40)
    q = state_weights(lam=lam, mu=mu, r=r, m=m, room=room)
    p = {(k, n): q[k][n] for k in range(room + 1) for n in (0, 1)}
    net = dict.fromkeys(p, F(0))
    for (a, b), x in balance(lam, mu, r, m, room).items():
        net[a] -= p[a] * x
        net[b] += p[a] * x
    assert set(net.values()) == {F(0)}


def test_states_are_those_of_a_linear_solve():
    lam, mu, r, m, room = F(5), F(2), F(100), 3, 7
    ids = [(k, n) for k in range(room + 1) for n in (0, 1) if (k, n) != (0, 1)]
    at = {s: i for i, s in enumerate(ids)}
    a = [[F(0)] * len(ids) + [F(0)] for _ in ids]
    for (s, t), x in balance(lam, mu, r, m, room).items():
        a[at[s]][at[s]] -= x
        a[at[t]][at[s]] += x
    a[-1] = [F(1)] * (len(ids) + 1)  # replaces one equation: probabilities sum to 1
    for i in range(len(ids)):  # exact Gauss-Jordan elimination
        p = next(j for j in range(i, len(ids)) if a[j][i])
        a[i], a[p] = a[p], a[i]
        a[i] = [x / a[i][i] for x in a[i]]
        for j in range(len(ids)):
            if j != i and a[j][i]:
                f = a[j][i]
                a[j] = [x - f * y for x, y in zip(a[j], a[i])]
    q = state_weights(lam=lam, mu=mu, r=r, m=m, room=room)
    tot = sum(x + y for x, y in q)
    assert [a[at[s]][-1] for s in ids] == [q[k][n] / tot for k, n in ids]


def test_a_simulated_chain_agrees_with_the_measures():
    lam, mu, r, m, room = 2.4, 1.0, 60.0, 3, 12
    rng, s, t, held, out, in0 = random.Random(5), (0, 0), 0.0, 0.0, 0, 0.0
    go = {}
    for (a, b), x in balance(lam, mu, r, m, room).items():
        go.setdefault(a, []).append((b, x))
    for _ in range(300000):
        tot = sum(x for _, x in go[s])
        dt = rng.expovariate(tot)
        t, held, in0 = t + dt, held + dt * s[0], in0 + (dt if s[0] and not s[1] else 0)
        u = rng.random() * tot
        for b, x in go[s]:
            u -= x
            if u <= 0:
                break
        out += b[0] < s[0]
        s = b
    w, g, _, _ = chain_measures(lam=lam, mu=mu, r=r, m=m, room=room, flow="served")
    assert abs(out / t - g) / g < 0.02 and abs(held / out - w) / w < 0.02
    w, g, _, _ = chain_measures(lam=lam, mu=mu, r=r, m=m, room=room)
    assert abs(mu * in0 / t - g) / g < 0.02 and abs(held / (mu * in0) - w) / w < 0.02


KW = dict(mu=1.0, replicas=3, room=20, fan_out=50, max_load=0.8, fallback_load=0.65)


def test_the_smallest_m_that_meets_the_target_is_returned():
    for lam in (0.3, 0.9, 1.7, 2.3):
        for aim in (1.05, 1.2, 2.0, 6.0):
            m, met = smallest_sufficient(lam=lam, latency_target=aim, **KW)
            if met:
                for x in range(1, m + 1):
                    w = chain_measures(lam=lam, mu=1.0, r=150.0, m=x, room=60)[0]
                    assert (w <= aim and lam / x <= 0.8) == (x == m)


def test_the_load_is_limited_and_the_fallback_load_applies_if_the_target_is_missed():
    assert smallest_sufficient(lam=0.79, latency_target=100.0, **KW) == (1, True)
    assert smallest_sufficient(lam=0.81, latency_target=100.0, **KW) == (2, True)  # above 0.8 on one
    assert smallest_sufficient(lam=3.0, latency_target=0.5, **KW) == (5, False)  # 3/0.65 = 4.6
    assert smallest_sufficient(lam=2.6, latency_target=0.5, **KW) == (4, False)  # 2.6/0.65 = 4, at most
    assert smallest_sufficient(lam=0.0, latency_target=0.5, **KW) == (0, True)
    assert smallest_sufficient(lam=1e6, latency_target=0.5, **KW) == (150, False)  # fan_out times the replicas


def test_long_chains_neither_overflow_nor_underflow():
    w, g, loss, use = chain_measures(lam=5000.0, mu=1.0, r=1e6, m=3, room=2000, flow="served")
    assert 0.99 < use <= 1.0 and loss > 0.99 and 600 < w < 700


def whole(*, lam, mu, replicas, latency_target, room, fan_out, max_load, fallback_load, flow="printed"):
    """Return the smallest m by the printed rule alone, with every m tried and every state computed."""
    from math import ceil

    cap, big = fan_out * replicas, room * replicas
    for m in range(max(1, ceil(lam / (max_load * mu) - 1e-9)), min(cap, big) + 1):
        q = [(1.0, 0.0)]
        for k in range(1, big + 1):
            p0, p1 = q[-1]
            a = lam * (p0 + p1) / (min(k, m) * mu)
            q.append((a, lam * ((a if k < big else 0.0) + (p1 if k > 1 else p0)) / (cap * mu)))
        busy = (lambda k: min(k, m)) if flow == "served" else (lambda k: min(k, 1))
        if sum(k * (a + b) for k, (a, b) in enumerate(q)) / (sum(busy(k) * a for k, (a, _) in enumerate(q)) * mu) <= latency_target:
            return m, True
    return min(cap, max(1, ceil(lam / (fallback_load * mu) - 1e-9))), False


def differ(seed):
    """Return the random cases in which the search and the printed rule disagree."""
    rng, bad = random.Random(seed), []
    for _ in range(150):
        mu = rng.choice((0.5, 1.0, 30.0))
        kw = dict(
            lam=rng.uniform(0.01, 12) * mu,
            mu=mu,
            replicas=rng.randrange(1, 5),
            latency_target=rng.uniform(0.3, 8) / mu,
            room=rng.choice((1, 3, 7, 20, 60)),
            fan_out=rng.choice((3, 12)),
            max_load=0.8,
            fallback_load=0.65,
            flow=rng.choice(("printed", "served")),
        )
        if smallest_sufficient(**kw) != whole(**kw):
            bad.append(kw)
    return bad


@pytest.mark.parametrize("seed", range(3))
def test_the_shortened_search_returns_the_same_m_as_the_full_search(seed):
    assert differ(seed) == []


@pytest.mark.parametrize(
    "name,value",
    [pytest.param("NEGLIGIBLE_WEIGHT", 0.05, id="TINY-0.05"), pytest.param("RESPONSE_TIME_TOLERANCE", 0.05, id="SAME-0.05")],
)
def test_a_search_that_omits_too_many_states_is_detected(monkeypatch, name, value):
    monkeypatch.setattr(chain, name, value)
    assert differ(0)


def test_the_room_includes_requests_that_can_start_within_the_latency_target():
    assert room_of_replica(capacity=64, mu=100.0, latency_target=0.6) == 124
    assert room_of_replica(capacity=6, mu=2.0, latency_target=0.4) == 6  # no queued request would meet the target
    assert room_of_replica(capacity=1, mu=2.5, latency_target=2.0) == 6
