"""Keys of callers on the wire (design 17.2): the replica is never shown one, and hears the tenant's name from the daemon alone."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from silverglade.configuration.schema import key_digest
from silverglade.http.dialect import DEFAULT_DIALECT
from silverglade.http.forwarding_protocol import parse_key_digest
from silverglade.server import attempt_runner

from ..support.scripted_replicas import SEAL, answer, chunk, event, one, scene, stream
from ..support.source_mutation import without

KEY = "top-secret"
BEARER = f"Authorization: Bearer {KEY}"
CLAIMED = "Silverglade-Tenant: mallory"
TENANT = DEFAULT_DIALECT.tenant.decode()

HEADS = [
    (BEARER, CLAIMED),
    (f"AUTHORIZATION: bearer  {KEY}", "sIlVeRgLaDe-TeNaNt: mallory"),
    (f"Authorization:Bearer {KEY}", f"Authorization: Bearer {KEY}", CLAIMED, CLAIMED),
    (f"Authorization: Basic {KEY}", f"Authorization: {KEY}", "Silverglade-Tenant:"),
    (BEARER, CLAIMED, "Connection: Silverglade-Tenant, Authorization"),
    (BEARER, "Connection: close, silverglade-tenant"),
    (BEARER, CLAIMED, "Connection: keep-alive", "Connection: authorization, silverglade-tenant"),
    (f"Proxy-{BEARER}", BEARER),
    ("Authorization: Bearer \xff\xfe" + KEY, "Silverglade-Tenant: \xe4"),
]


def seen_by_replica(more, tenant, *, script=None, part=None, answers=1):
    """What a client with these headers makes the replicas see: headers of each request, all bytes."""

    async def answering(c):
        while True:
            *_, attempt = await c.request()
            await c.say(answer(attempt))

    async def talk(c, d, rep, client):
        for number in range(answers):
            await c.ask(f"a{number}", more=more)
            assert (await c.answer())[0] == 200

    kw = {"part": part} if part else {"tenant": tenant}
    _, d, rep = scene(script or answering, talk, **kw)
    return [fields for _, fields, _ in rep.seen], b"".join(rep.raw) + rep.rest, d


def tenants_in(raw):
    """The values of all headers of the tenant's name, as they stand on the wire."""
    lines = raw.decode("latin-1").split("\r\n")
    return [line.partition(":")[2].strip() for line in lines if line.lower().startswith(TENANT + ":")]


def replica_hears_only_the_daemons_word(more, tenant="ann"):
    _, raw, _ = seen_by_replica(more, tenant)
    assert KEY.encode() not in raw and b"authorization" not in raw.lower()
    assert tenants_in(raw) == ([tenant] if tenant else [])


@pytest.mark.parametrize("tenant", ["ann", ""])
@pytest.mark.parametrize("more", HEADS)
def test_a_replica_is_shown_no_key_and_no_tenant_but_the_daemons(more, tenant):
    replica_hears_only_the_daemons_word(more, tenant)


def test_without_callers_the_same_headers_pass_as_they_came():
    fields, raw, _ = seen_by_replica((BEARER, CLAIMED), None)
    assert fields[0]["authorization"] == f"Bearer {KEY}" and tenants_in(raw) == ["mallory"]


def test_every_request_on_a_kept_connection_is_told_of_anew():
    """Guards against a tenant that stays with a connection: each request has a key of its own."""

    def part(addr):
        names = iter(("ann", "bob", ""))

        def decide(ev):
            match ev:
                case ("request", request_id, _):
                    return (("try", request_id, 1, one(addr[0], tenant=next(names))),)
            return ()

        return decide

    _, raw, daemon = seen_by_replica((BEARER, CLAIMED), None, part=part, answers=3)
    assert tenants_in(raw) == ["ann", "bob"] and KEY.encode() not in raw
    assert [told[2]["key"] for told in daemon.told if told[0] == "request"] == [key_digest(KEY)] * 3


def test_a_resumed_stream_carries_the_same_tenant_and_no_key():
    """Guards against an attempt that goes on elsewhere with the client's headers as they came."""

    def part(addr):
        def decide(ev):
            match ev:
                case ("request", request_id, _):
                    return (("try", request_id, 1, one(addr[0], tenant="ann")),)
                case ("tried", request_id, 1, "cut", last):
                    return (("try", request_id, 2, one(addr[0], tenant="ann", resume=True, last_event=last)),)
            return ()

        return decide

    async def script(c):
        *_, attempt = await c.request()
        if c.n == 0:
            await c.say(stream(attempt, event(1), last=False))
        else:
            await c.say(stream(attempt, event(2)))

    async def talk(c, d, rep, client):
        await c.ask(more=(BEARER, CLAIMED))
        return await c.answer()

    (status, fields, body, whole), _, rep = scene(script, talk, part=part)
    assert (status, body.decode(), whole, fields[SEAL]) == (200, event(1) + event(2), True, "s") and len(rep.seen) == 2
    raw = b"".join(rep.raw)
    assert tenants_in(raw) == ["ann", "ann"] and KEY.encode() not in raw


def test_a_key_in_the_trailers_of_a_body_reaches_no_replica():
    async def talk(c, d, rep, client):
        await c.say(f"POST /p HTTP/1.1\r\nHost: h\r\n{DEFAULT_DIALECT.attempt.decode()}: a1\r\nTransfer-Encoding: chunked\r\n\r\n")
        await c.say(chunk("ab") + f"0\r\n{BEARER}\r\n{CLAIMED}\r\n\r\n")
        return await c.answer()

    async def script(c):
        *_, attempt = await c.request()
        await c.say(answer(attempt))

    got, _, rep = scene(script, talk, tenant="ann")
    assert got[0] == 200 and KEY.encode() not in rep.raw[0] and tenants_in(rep.raw[0]) == ["ann"]


GUARDS = [
    ("replaced |= {dialect.credentials, dialect.tenant}", "replaced |= {dialect.tenant}", HEADS[0], "ann"),
    ("replaced |= {dialect.credentials, dialect.tenant}", "replaced |= {dialect.credentials}", HEADS[0], "ann"),
    ("if target.tenant is not None:", "if target.tenant:", HEADS[0], ""),
    ("added.append((dialect.tenant, target.tenant.encode()))", "pass", HEADS[5], "ann"),
]


@pytest.mark.parametrize("guard, instead, more, tenant", GUARDS)
def test_a_guard_that_is_cut_out_shows_on_the_wire(monkeypatch, guard, instead, more, tenant):
    without(monkeypatch, attempt_runner.__name__, guard, instead, "silverglade.server.request_forwarding.AttemptRunner")
    with pytest.raises(AssertionError):
        replica_hears_only_the_daemons_word(more, tenant)


@pytest.mark.parametrize(
    "value, key",
    [
        (b"Token k", "k"),
        (b"token k", "k"),
        (b" TOKEN   k ", "k"),
        (b"Token a b", "a b"),
        (b"Token \xc3\xa4", "ä"),
        (b"Token", None),
        (b"Token ", None),
        (b"Bearer k", None),
        (b"k", None),
        (b"", None),
        (None, None),
    ],
)
def test_what_counts_as_a_key(value, key):
    assert parse_key_digest(value, b"token") == (None if key is None else key_digest(key))


@given(st.binary(max_size=200))
def test_any_bytes_are_a_key_or_none(value):
    for raw in (value, b"Bearer " + value):
        digest = parse_key_digest(raw, DEFAULT_DIALECT.scheme)
        assert digest is None or len(digest) == 32


def test_of_several_keys_the_first_counts():
    """Guards against a second header deciding who a request is judged to be from."""
    _, _, daemon = seen_by_replica(("Authorization: Bearer first", "Authorization: Bearer second"), "ann")
    assert daemon.told[0][2]["key"] == key_digest("first")
