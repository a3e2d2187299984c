"""Names of the headers of requests to replicas and of their responses (design 15.1).

Code that makes decisions uses the fields of `Dialect`, never header names. `DEFAULT_DIALECT` has the product's own names; a platform
adapter supplies others.
"""

from __future__ import annotations

from typing import NamedTuple


class Dialect(NamedTuple):
    """Header names in lower case, as bytes, and two paths.

    :ivar attempt: the id of one attempt, given by the client, echoed by the replica.
    :ivar deadline: how many ms the client will still wait.
    :ivar prefix: the parts of the prompt in order, as ID:TOKENS,...
    :ivar last_event: id of the event after which a stream resumes.
    :ivar seal: set by the replica on a complete, successful response; a success without it is not accepted.
    :ivar expect: the only replica that may run the request; others answer 421.
    :ivar version: the only version of the weights that may run the request; replicas with another answer 421.
    :ivar not_run: the replica states that it did not run the request.
    :ivar replica: id of the replica that answers a health check.
    :ivar cold_ms: for how many ms the replica stays cold.
    :ivar model: the requested model.
    :ivar tokens: IN,OUT: the prompt's number of tokens, and the most output tokens.
    :ivar urgency: 0 to 9; 0 is the most urgent.
    :ivar credentials: the client's scheme and key; not forwarded to replicas if the configuration has callers (design 17).
    :ivar scheme: of the credentials, in lower case.
    :ivar tenant: the caller that holds the key; set only by the daemon.
    :ivar health: path of the health check, a GET.
    :ivar report: path of the load report, a GET.
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


DEFAULT_DIALECT = Dialect()
