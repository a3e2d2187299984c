"""Names of headers that a request carries to a replica and back (design 15.1).

Decisions know fields, never names. `OWN` is the product's own dialect; an adapter brings another.
"""

from typing import NamedTuple


class Dialect(NamedTuple):
    """Header names in lower case, as bytes."""

    attempt: bytes = b"silverglade-attempt-id"  # the id of one try, given by the client, echoed by the replica
    deadline: bytes = b"silverglade-due"  # ms that the client will wait from here on
    prefix: bytes = b"silverglade-parts"  # ID:TOKENS,... the parts of the prompt in order
    last_event: bytes = b"last-event-id"  # a stream goes on behind this event
    seal: bytes = b"silverglade-seal"  # a replica's word for a whole, successful answer
    expect: bytes = b"silverglade-replica"  # only this replica may run it; others answer 421
    version: bytes = b"silverglade-expect-version"  # only weights of this version may run it; others answer 421
    not_run: bytes = b"silverglade-not-run"  # the replica's word that it did not run the request
    replica: bytes = b"silverglade-replica-id"  # who answers a probe
    cold_ms: bytes = b"silverglade-cold"  # ms that the replica stays cold
    model: bytes = b"silverglade-model"
    tokens: bytes = b"silverglade-tokens"  # IN,OUT: tokens of the prompt, and the most out
    urgency: bytes = b"silverglade-urgency"  # 0 to 9, 0 goes first
    health: str = "/v1/health"  # GET: is the replica well
    report: str = "/v1/report"  # GET: what the replica does now


OWN = Dialect()
