"""Names of headers that a request carries to a replica and back (design 15.1).

Decisions know fields, never names. `OWN` is the product's own dialect; an adapter brings another.
"""

from __future__ import annotations

from typing import NamedTuple


class Dialect(NamedTuple):
    """Header names in lower case, as bytes, and two paths.

    :ivar attempt: the id of one attempt, given by the client, echoed by the replica.
    :ivar deadline: ms that the client will wait from here on.
    :ivar prefix: ID:TOKENS,... the parts of the prompt in order.
    :ivar last_event: the stream goes on behind this event.
    :ivar seal: the replica's mark of a complete, successful response.
    :ivar expect: only this replica may run it; others answer 421.
    :ivar version: only weights of this version may run it; others answer 421.
    :ivar not_run: the replica says that it did not run the request.
    :ivar replica: who answers a health check.
    :ivar cold_ms: ms that the replica stays cold.
    :ivar model: the model that is asked for.
    :ivar tokens: IN,OUT: tokens of the prompt, and the most out.
    :ivar urgency: 0 to 9, 0 goes first.
    :ivar credentials: the client's scheme and key; no replica is shown it where the configuration has callers (design 17).
    :ivar scheme: of the credentials, in lower case.
    :ivar tenant: the caller that holds the key, said by the daemon alone.
    :ivar health: path of a GET: is the replica well.
    :ivar report: path of a GET: what the replica does now.
    """

    attempt: bytes = b"silverglade-attempt-id"
    deadline: bytes = b"silverglade-due"
    prefix: bytes = b"silverglade-parts"
    last_event: bytes = b"last-event-id"
    seal: bytes = b"silverglade-seal"
    expect: bytes = b"silverglade-replica"
    version: bytes = b"silverglade-expect-version"
    not_run: bytes = b"silverglade-not-run"
    replica: bytes = b"silverglade-replica-id"
    cold_ms: bytes = b"silverglade-cold"
    model: bytes = b"silverglade-model"
    tokens: bytes = b"silverglade-tokens"
    urgency: bytes = b"silverglade-urgency"
    credentials: bytes = b"authorization"
    scheme: bytes = b"bearer"
    tenant: bytes = b"silverglade-tenant"
    health: str = "/v1/health"
    report: str = "/v1/report"


OWN = Dialect()
