"""Answers of replicas (design 7.6): late, short, another's, an error; each an honest `ran`."""

import anyio
import httpcore
import pytest

from silverglade.server import replica_calls as callout

META = dict(tenant="t", cls="c", prefix="", due=1000, kind="model")


def request(*, stream):
    return callout.DispatchRequest.from_facts("o.1", "1.2.3.4:5", dict(META, stream=stream), b"{}")


class Rsp:
    def __init__(self, status, headers, chunks, end=None):
        self.status, self.chunks, self.end = status, chunks, end
        self.headers = [(k.encode(), v.encode()) for k, v in headers.items()]

    async def aiter_stream(self):
        for c in self.chunks:
            yield c
        if self.end:
            raise self.end


class Pool:
    def __init__(self, rsp):
        self.rsp, self.sent = rsp, None

    def stream(self, verb, url, headers, content, extensions):
        self.sent = (verb, url, dict(headers), content)
        pool = self

        class Cm:
            async def __aenter__(self):
                if isinstance(pool.rsp, Exception):
                    raise pool.rsp
                return pool.rsp

            async def __aexit__(self, *e):
                return False

        return Cm()


def run(rsp, stream=False):
    said = []

    async def report(*what):
        said.append(what)

    async def wait_for_client():
        pass

    pool = Pool(rsp)
    anyio.run(lambda: callout.dispatch(pool=pool, request=request(stream=stream), report=report, wait_for_client=wait_for_client))
    return said


OK = {"Silverglade-Dispatch": "o.1", "Content-Length": "4"}


@pytest.mark.parametrize(
    "rsp,said",
    [
        (Rsp(200, OK, [b"ab", b"cd"]), [("whole", b"abcd")]),
        (Rsp(200, OK, [b"ab"]), [("fault", "yes")]),  # short
        (Rsp(200, {**OK, "Silverglade-Dispatch": "o.2"}, [b"abcd"]), [("fault", "maybe")]),  # another's
        (Rsp(200, {"Silverglade-Dispatch": "o.1"}, [b"abcd"]), [("fault", "yes")]),  # no length
        (Rsp(500, OK, [b"abcd"]), [("fault", "maybe")]),
        (Rsp(503, OK, []), [("fault", "maybe")]),  # no word of not having run
        (Rsp(503, {"Silverglade-Ran": "no"}, []), [("refused",)]),
        (Rsp(200, OK, [b"ab"], httpcore.ReadError()), [("fault", "maybe")]),
        (httpcore.ConnectError(), [("refused",)]),
        (httpcore.ConnectTimeout(), [("refused",)]),
        (httpcore.WriteError(), [("fault", "maybe")]),
        (httpcore.RemoteProtocolError(), [("fault", "maybe")]),
    ],
)
def test_a_plain_answer_is_a_success_only_when_whole_and_its_own(rsp, said):
    assert run(rsp) == said


def test_a_stream_without_its_mark_of_success_is_a_fault():
    two = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert run(Rsp(200, OK, [two, b"event: done\nid: 2\n\n"]), True) == [("piece", 1, b"a"), ("piece", 2, b"b"), ("done", 2)]
    assert run(Rsp(200, OK, [two]), True)[-1] == ("fault", "yes")
    assert run(Rsp(200, OK, [two, b"event: fault\n\n"]), True)[-1] == ("fault", "yes")
    assert run(Rsp(200, OK, [two], httpcore.ReadError()), True)[-1] == ("fault", "maybe")


def test_the_dispatch_carries_its_id_tenant_and_due():
    p = Pool(Rsp(503, {"Silverglade-Ran": "no"}, []))

    async def nothing(*a):
        pass

    anyio.run(lambda: callout.dispatch(pool=p, request=request(stream=False), report=nothing, wait_for_client=nothing))
    verb, url, head, body = p.sent
    assert (verb, url, body) == ("POST", "http://1.2.3.4:5/v1/run", b"{}")
    assert head["Silverglade-Dispatch"] == "o.1" and head["Silverglade-Due"] == "1000"
