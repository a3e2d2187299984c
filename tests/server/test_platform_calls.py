"""Calls of a duty holder to a fake platform over real sockets (design 18.3)."""

import asyncio
import json
import logging
import pathlib
import socket
import sys
import time
from datetime import timedelta

import anyio
import pytest

from silverglade.http.dialect import DEFAULT_DIALECT
from silverglade.runtime.settings import checked
from silverglade.server import platform_calls
from silverglade.server.daemon import Daemon
from silverglade.server.platform_calls import PlatformCaller, PlatformRequest, PlatformResponse
from silverglade.server.shutdown import clock
from tests.support.source_mutation import without

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent.parent / "platform"))

import duty_calls  # noqa: E402

SECOND = timedelta(seconds=1)
TIMEOUT = timedelta(milliseconds=300)


class Clock:
    """A monotonic clock that the test sets."""

    def __init__(self):
        self.now = SECOND

    def __call__(self):
        return self.now


class Platform:
    """A fake platform that answers every request with the same bytes.

    :ivar pieces: parts of the response, written with a short pause between them; None: it never answers.
    :ivar ends: how each connection ended: "closed", "reset", or "nothing" or "part" of a request received.
    """

    def __init__(self, pieces):
        self.pieces, self.requests, self.ends = pieces, [], []

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            size = next(int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length"))
            self.requests.append((head, await reader.readexactly(size)))
            for piece in self.pieces or ():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01)
            if self.pieces is None:
                await reader.read()
            self.ends.append("closed")
        except asyncio.IncompleteReadError as error:
            self.ends.append(("nothing" if not error.partial else "part"))
        except ConnectionResetError:
            self.ends.append("reset")
        finally:
            writer.close()


def call_platform(pieces, *, lease=(7, 5 * SECOND), token=7, clock=None, body=b"{}", before=None):
    """Make one call to a fake platform; return the response and the platform."""
    platform = Platform(pieces)
    caller = PlatformCaller(clock=clock or Clock(), local="127.0.0.1", timeout=TIMEOUT)

    async def run():
        server = await asyncio.start_server(platform.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        caller.set_lease("usage", *lease)
        if before:
            before(caller)
        answer = await caller.call(duty="usage", token=token, request=PlatformRequest(address, "/x", (("A", "b"),), body))
        await asyncio.sleep(0.05)
        server.close()
        return answer

    return asyncio.run(run()), platform


def test_a_call_is_delivered_completely_and_its_status_returned():
    answer, platform = call_platform([b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"], body=b"x" * 100_000)
    assert answer == PlatformResponse(200, b"ok")
    ((head, body),) = platform.requests
    assert head.startswith(b"POST /x HTTP/1.1\r\nHost: 127.0.0.1:") and b"\r\nA: b\r\n" in head and body == b"x" * 100_000


@pytest.mark.parametrize("status", [302, 400, 409, 429, 500, 503])
def test_other_statuses_are_returned(status):
    assert call_platform([f"HTTP/1.1 {status} Why\r\n\r\n".encode()])[0].status == status


@pytest.mark.parametrize(
    "pieces",
    [
        None,
        [],
        [b"HTTP/1.1 200 OK\r\n"],
        [b"HTTP/1.1 20"],
        [b"HTTP/1.1 100 Continue\r\n\r\n"],
        [b"garbage\r\n\r\n"],
        [b"HTTP/1.1 2000 OK\r\n\r\n"],
        [b"\0" * 1000] * 100,
        [b"HTTP/1.1 200 OK\r\nX: "] + [b"y" * 1000] * 40,
    ],
)
def test_an_invalid_or_incomplete_response_gives_no_status(pieces):
    assert call_platform(pieces)[0] == PlatformResponse(None)


def test_an_endless_body_is_not_read():
    answer, _ = call_platform([b"HTTP/1.1 200 OK\r\n\r\n", *[b"z" * 10_000] * 50])
    assert answer.status == 200 and len(answer.body) <= 1024


def test_a_refused_connection_gives_no_status():
    caller = PlatformCaller(clock=Clock(), local="127.0.0.1", timeout=TIMEOUT)
    caller.set_lease("usage", 7, 5 * SECOND)
    request = PlatformRequest("127.0.0.1:9", "/x", (), b"")
    assert asyncio.run(caller.call(duty="usage", token=7, request=request)) == PlatformResponse(None)


# Guards against data of an abandoned call that arrives later, while another daemon holds the duty.
def test_the_connection_of_an_abandoned_call_is_reset():
    _, platform = call_platform(None)
    assert platform.ends == ["reset"]


@pytest.mark.parametrize("lease, token", [((7, SECOND), 7), ((7, None), 7), ((None, None), 7), ((8, 5 * SECOND), 7)])
def test_nothing_is_sent_without_a_usable_lease(lease, token):
    answer, platform = call_platform([b"HTTP/1.1 200 OK\r\n\r\n"], lease=lease, token=token)
    assert answer == PlatformResponse(None) and platform.requests == [] and platform.ends == []


class LateClock(Clock):
    """A clock that jumps ahead after its first reading, as if the process had been paused while the connection was opened."""

    def __call__(self):
        seen, self.now = self.now, 6 * SECOND
        return seen


# Guards against a daemon that is paused between the decision and the write, and sends the call on resuming, after its successor.
def test_nothing_is_sent_if_the_lease_ends_while_the_connection_is_opened():
    answer, platform = call_platform([b"HTTP/1.1 200 OK\r\n\r\n"], clock=LateClock())
    assert answer == PlatformResponse(None) and platform.requests == [] and "closed" not in platform.ends


def test_without_the_second_lease_check_the_call_is_sent(monkeypatch):
    without(
        monkeypatch,
        "silverglade.server.platform_calls",
        "            if not self.may_write(duty, token):\n                return False\n",
        "",
        "silverglade.server.platform_calls.PlatformCaller",
    )
    import silverglade.server.platform_calls as module

    monkeypatch.setattr(sys.modules[__name__], "PlatformCaller", module.PlatformCaller)
    _, platform = call_platform([b"HTTP/1.1 200 OK\r\n\r\n"], clock=LateClock())
    assert len(platform.requests) == 1


def test_calls_are_translated_to_the_platforms_format():
    request = duty_calls.platform_request(
        address="1.2.3.4:5", holder="core-1", path_kind="usage", token=12, body={"window": 353445120, "counts": {"a": 4, "b": 2}}
    )
    head, _, body = request.encode().partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert lines[0] == "POST /usage HTTP/1.1"
    assert {"Host: 1.2.3.4:5", "Duty-Holder: core-1", "Fence-Number: 12", "Content-Type: application/json"} <= set(lines)
    assert json.loads(body) == {"window_no": 353445120, "counts": {"a": 4, "b": 2}}
    request = duty_calls.platform_request(
        address="1.2.3.4:5", holder="core-1", path_kind="scale", token=3, body={"service": "s", "zone": "z", "count": 6}
    )
    assert request.path == "/desired-scale" and json.loads(request.body) == {"target": "s", "zone": "z", "desired": 6}


# Guards against a late write: a holder was stopped during a partition, and after the partition the kernel sent its data, behind that of
# its successor.
def test_the_kernel_abandons_a_call_that_is_not_acknowledged_in_time(monkeypatch):
    timeouts = []

    class Watched(socket.socket):
        def close(self):
            timeouts.append(self.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))
            super().close()

    class Sockets:
        def __getattr__(self, name):
            return Watched if name == "socket" else getattr(socket, name)

    monkeypatch.setattr(platform_calls, "socket", Sockets())
    answer, _ = call_platform([b"HTTP/1.1 200 OK\r\n\r\n"])
    assert answer.status == 200 and timeouts == [TIMEOUT / timedelta(milliseconds=1)]


class Adapter:
    """A platform adapter that supports only duty calls."""

    client_address, endpoint_list_address, api_addresses = "", "", ()

    def __init__(self, address):
        self.dialect, self.address = DEFAULT_DIALECT, address

    def platform_request(self, path_kind, token, body):
        return PlatformRequest(self.address, f"/{path_kind}/{token}", (), json.dumps(body).encode())


def test_a_daemon_carries_out_leases_platform_calls_and_wall_clock_reads():
    platform = Platform([b"HTTP/1.1 200 OK\r\n\r\n"])

    async def run():
        server = await asyncio.start_server(platform.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        raw = {"name": "n", "zone": "z", "region": "r", "listen": "127.0.0.1:1", "http": "127.0.0.1:2", "seeds": ["127.0.0.1:1"]}
        daemon = Daemon(
            settings=checked({**raw, "cores": ["x", "y", "z"], "tuning": {"duties": ["usage"]}}),
            logger=logging.getLogger("test"),
            adapter=Adapter(address),
        )
        async with anyio.create_task_group() as daemon.task_group:
            daemon.carry_out(("lease", "usage", 7, clock() + SECOND))
            daemon.carry_out(("call-platform", "c1", "usage", 7, "usage", {"window": 3}))
            daemon.carry_out(("wall",))
        events = [daemon.queues.next_event(), daemon.queues.next_event()]
        server.close()
        return events

    (_, since_1970), ended = asyncio.run(run())
    assert abs(since_1970.total_seconds() - time.time()) < 5
    assert ended == ("platform-called", "c1", 200, b"")
    assert platform.requests[0][0].startswith(b"POST /usage/7 ") and platform.requests[0][1] == b'{"window": 3}'
