"""Keys of callers on the wire (design 17.2): a replica never gets a key, and gets the tenant's name from the daemon only."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from silverglade.configuration.schema import key_digest
from silverglade.http.dialect import DEFAULT_DIALECT
from silverglade.http.request_facts import parse_key_digest
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
    """Send requests with these headers, and return what the replicas received (headers of each request, all bytes) and the daemon."""

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
    """Return the values of all tenant headers in the raw bytes."""
    lines = raw.decode("latin-1").split("\r\n")
    return [line.partition(":")[2].strip() for line in lines if line.lower().startswith(TENANT + ":")]


def check_replica_gets_only_the_daemons_tenant(more, tenant="ann"):
    _, raw, _ = seen_by_replica(more, tenant)
    assert KEY.encode() not in raw and b"authorization" not in raw.lower()
    assert tenants_in(raw) == ([tenant] if tenant else [])


@pytest.mark.parametrize("tenant", ["ann", ""])
@pytest.mark.parametrize("more", HEADS)
def test_a_replica_gets_no_key_and_no_tenant_except_from_the_daemon(more, tenant):
    check_replica_gets_only_the_daemons_tenant(more, tenant)


def test_without_callers_the_same_headers_are_forwarded_unchanged():
    fields, raw, _ = seen_by_replica((BEARER, CLAIMED), None)
    assert fields[0]["authorization"] == f"Bearer {KEY}" and tenants_in(raw) == ["mallory"]


def test_each_request_on_a_reused_connection_has_its_own_key_and_tenant():
    """Guards against the tenant of an earlier request being used for later ones on the same connection."""

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
    """Guards against an attempt that resumes at another replica with the client's unfiltered headers."""

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
def test_removing_a_guard_is_detected_on_the_wire(monkeypatch, guard, instead, more, tenant):
    without(monkeypatch, attempt_runner.__name__, guard, instead, "silverglade.server.request_forwarding.AttemptRunner")
    with pytest.raises(AssertionError):
        check_replica_gets_only_the_daemons_tenant(more, tenant)


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
def test_key_digest_of_credentials(value, key):
    assert parse_key_digest(value, b"token") == (None if key is None else key_digest(key))


@given(st.binary(max_size=200))
def test_any_bytes_give_a_digest_or_none(value):
    for raw in (value, b"Bearer " + value):
        digest = parse_key_digest(raw, DEFAULT_DIALECT.scheme)
        assert digest is None or len(digest) == 32


def test_of_several_keys_the_first_counts():
    """Guards against a second header deciding which caller a request belongs to."""
    _, _, daemon = seen_by_replica(("Authorization: Bearer first", "Authorization: Bearer second"), "ann")
    assert daemon.told[0][2]["key"] == key_digest("first")
