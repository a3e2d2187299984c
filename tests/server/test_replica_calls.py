"""Responses of replicas to dispatches (design 7.6): short, broken off, of another dispatch, errors; each reported with the right `ran`."""

import anyio
import httpcore
import pytest

from silverglade.server import replica_calls

META = dict(tenant="t", cls="c", prefix="", due=1000, kind="model")


def request(*, stream):
    return replica_calls.DispatchRequest.from_facts("o.1", "1.2.3.4:5", dict(META, stream=stream), b"{}")


class Response:
    def __init__(self, status, headers, chunks, end=None):
        self.status, self.chunks, self.end = status, chunks, end
        self.headers = [(k.encode(), v.encode()) for k, v in headers.items()]

    async def aiter_stream(self):
        for c in self.chunks:
            yield c
        if self.end:
            raise self.end


class Pool:
    def __init__(self, response):
        self.response, self.sent = response, None

    def stream(self, verb, url, headers, content, extensions):
        self.sent = (verb, url, dict(headers), content)
        pool = self

        class ResponseContext:
            async def __aenter__(self):
                if isinstance(pool.response, Exception):
                    raise pool.response
                return pool.response

            async def __aexit__(self, *e):
                return False

        return ResponseContext()


def run(response, stream=False):
    said = []

    async def report(*what):
        said.append(what)

    async def wait_for_client():
        pass

    pool = Pool(response)
    anyio.run(lambda: replica_calls.dispatch(pool=pool, request=request(stream=stream), report=report, wait_for_client=wait_for_client))
    return said


OK = {"Silverglade-Dispatch": "o.1", "Content-Length": "4"}


@pytest.mark.parametrize(
    "response,said",
    [
        (Response(200, OK, [b"ab", b"cd"]), [("whole", b"abcd")]),
        (Response(200, OK, [b"ab"]), [("fault", "yes")]),  # short
        (Response(200, {**OK, "Silverglade-Dispatch": "o.2"}, [b"abcd"]), [("fault", "maybe")]),  # of another dispatch
        (Response(200, {"Silverglade-Dispatch": "o.1"}, [b"abcd"]), [("fault", "yes")]),  # no length
        (Response(500, OK, [b"abcd"]), [("fault", "maybe")]),
        (Response(503, OK, []), [("fault", "maybe")]),  # no header that it did not run
        (Response(503, {"Silverglade-Ran": "no"}, []), [("refused",)]),
        (Response(200, OK, [b"ab"], httpcore.ReadError()), [("fault", "maybe")]),
        (httpcore.ConnectError(), [("refused",)]),
        (httpcore.ConnectTimeout(), [("refused",)]),
        (httpcore.WriteError(), [("fault", "maybe")]),
        (httpcore.RemoteProtocolError(), [("fault", "maybe")]),
    ],
)
def test_a_response_is_a_success_only_if_complete_and_of_this_dispatch(response, said):
    assert run(response) == said


def test_a_stream_without_a_done_event_is_a_fault():
    two = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert run(Response(200, OK, [two, b"event: done\nid: 2\n\n"]), True) == [("piece", 1, b"a"), ("piece", 2, b"b"), ("done", 2)]
    assert run(Response(200, OK, [two]), True)[-1] == ("fault", "yes")
    assert run(Response(200, OK, [two, b"event: fault\n\n"]), True)[-1] == ("fault", "yes")
    assert run(Response(200, OK, [two], httpcore.ReadError()), True)[-1] == ("fault", "maybe")


def test_a_dispatch_carries_its_id_and_deadline():
    p = Pool(Response(503, {"Silverglade-Ran": "no"}, []))

    async def nothing(*a):
        pass

    anyio.run(lambda: replica_calls.dispatch(pool=p, request=request(stream=False), report=nothing, wait_for_client=nothing))
    verb, url, head, body = p.sent
    assert (verb, url, body) == ("POST", "http://1.2.3.4:5/v1/run", b"{}")
    assert head["Silverglade-Dispatch"] == "o.1" and head["Silverglade-Due"] == "1000"
