"""The paper's Markov chain (design 9.1): state probabilities, throughput and response time.

The code uses the paper's symbols (docs/paper.md): `lam` is the number of arrivals per second, `mu` the number of requests per second
that one replica completes, `r` the number of requests per second that the dispatcher places, `m` the number of replicas, `room` the
largest number of requests in the system, and `q[k,n]` the probability of k requests in the system of which n are with the dispatcher.

Everything works with floats and with Fractions. Summing the balance equations over the levels below k gives q[k,0] from level k-1
without a subtraction; the balance equation of (k,0) itself then gives q[k,1].
"""

from __future__ import annotations

from math import ceil, floor
from typing import TYPE_CHECKING, Final, NamedTuple, TypeVar

if TYPE_CHECKING:
    from fractions import Fraction

MAX_WEIGHT = 1e200
"""If a weight exceeds this, all weights are scaled down to prevent overflow."""

RESPONSE_TIME_TOLERANCE = 1e-13
"""Relative difference between response times below which further replicas are taken to change nothing."""

NEGLIGIBLE_WEIGHT = 1e-20
"""Share of the total weight below which the remaining states of a chain are left out."""

ROUNDING_TOLERANCE = 1e-9
"""Floating-point error that a quotient may have when it is rounded to an integer."""

FLOW_PRINTED: Final = "printed"
FLOW_SERVED: Final = "served"

Number = TypeVar("Number", float, "Fraction")


class ChainMeasures(NamedTuple):
    """Figures of a chain in its steady state.

    :ivar response_time: W in seconds.
    :ivar throughput: completed requests per second.
    :ivar loss: share of arrivals that are rejected because the system is full.
    :ivar utilization: share of the time for which a replica is busy.
    """

    response_time: float
    throughput: float
    loss: float
    utilization: float


class RequiredReplicas(NamedTuple):
    """A number of replicas, and whether it meets the latency target."""

    replicas: int
    meets_target: bool


def state_weights(*, lam: Number, mu: Number, r: Number, m: int, room: int) -> list[tuple[Number, Number]]:
    """Return the weights of the states, not normalised.

    With floats, the list ends where all further weights decrease and are negligible compared with the sum.

    :returns: (q[k,0], q[k,1]) for k = 0 to `room`; q[0,1] is 0.
    """
    one = lam / lam if lam else lam + 1
    weights = [(one, one * 0)]
    total = one
    for k in range(1, room + 1):
        q0_below, q1_below = weights[-1]
        dispatched_from = q1_below if k > 1 else q0_below
        q0 = lam * (q0_below + q1_below) / (min(k, m) * mu)
        if k == room:
            q1 = lam * dispatched_from / r
        else:
            q1 = lam * (q0 + dispatched_from) / r
        weights.append((q0, q1))
        total += q0 + q1
        if not isinstance(q0, float):
            continue
        if max(q0, q1) > MAX_WEIGHT:
            weights = [(a / MAX_WEIGHT, b / MAX_WEIGHT) for a, b in weights]
            total = total / MAX_WEIGHT
        elif lam < 0.9 * min(k, m) * mu and q0 + q1 < NEGLIGIBLE_WEIGHT * total:
            break
    return weights


def chain_measures(*, lam: float, mu: float, r: float, m: int, room: int, flow: str = FLOW_PRINTED) -> ChainMeasures:
    """Return the figures of the chain in its steady state.

    :param flow: `FLOW_PRINTED` computes the throughput by equation (8) of the paper, as the design states it: mu times the sum of the
        (k,0) probabilities. `FLOW_SERVED` counts all busy replicas of a state, min(k, m) mu: what leaves the chain (docs/paper.md).
    """
    weights = state_weights(lam=lam, mu=mu, r=r, m=m, room=room)
    total = sum(a + b for a, b in weights)
    in_system = sum(k * (a + b) for k, (a, b) in enumerate(weights)) / total
    counted_replicas = m if flow == FLOW_SERVED else 1
    throughput = sum(min(k, counted_replicas) * a for k, (a, _) in enumerate(weights)) * mu / total
    return ChainMeasures(in_system / throughput, throughput, sum(weights[-1]) / total, throughput / (m * mu))


def smallest_sufficient(
    *,
    lam: float,
    mu: float,
    replicas: int,
    latency_target: float,
    room: int,
    fan_out: int,
    max_load: float,
    fallback_load: float,
    flow: str = FLOW_PRINTED,
) -> RequiredReplicas:
    """Return the smallest number of replicas that meets a latency target (design 9.2).

    Every number is tried, because the printed W does not necessarily decrease with m. More replicas than the room change nothing.

    :param replicas: the region's present number of replicas.
    :param latency_target: in seconds.
    :param room: requests per replica.
    :param fan_out: this multiple of the region's replicas is both the speed of the dispatcher and the largest number returned.
    :param max_load: numbers for which lam/(m mu) exceeds this are not returned.
    :param fallback_load: if no number meets the target, the smallest with at most this load is returned.
    """
    if lam <= 0:
        return RequiredReplicas(0, True)
    max_replicas = fan_out * max(1, replicas)
    r = max_replicas * mu
    total_room = room * max(1, replicas)
    previous: float | None = None
    for m in range(_replicas_at_load(lam, mu, max_load), min(max_replicas, total_room) + 1):
        response_time = chain_measures(lam=lam, mu=mu, r=r, m=m, room=total_room, flow=flow).response_time
        if response_time <= latency_target:
            return RequiredReplicas(m, True)
        if previous and abs(previous - response_time) < RESPONSE_TIME_TOLERANCE * response_time:
            break  # states with more than m requests have negligible weight: a larger m does not change W
        previous = response_time
    return RequiredReplicas(min(max_replicas, _replicas_at_load(lam, mu, fallback_load)), False)


def _replicas_at_load(lam: float, mu: float, load: float) -> int:
    """Return the smallest number of replicas, at least 1, whose load is at most `load`."""
    return max(1, ceil(lam / (load * mu) - ROUNDING_TOLERANCE))


def room_of_replica(*, capacity: int, mu: float, latency_target: float) -> int:
    """Return K for one replica (design 16.3): running requests, plus those whose wait for a slot stays within the latency target.

    A request that finds k requests at a replica with `capacity` slots waits for k - capacity + 1 completions, of which there are mu
    per second.
    """
    return capacity + floor(latency_target * mu + ROUNDING_TOLERANCE)
