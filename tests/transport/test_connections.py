"""Links between daemons (design 3.1): what a peer that was away is told when it is back, and how soon."""

import socket

import anyio
import anyio.lowlevel

from silverglade.transport import connections as links
from silverglade.transport import framing as wire


class Quiet:
    def info(self, *a):
        pass

    warning = info


class Wire:
    """A connection that takes all and says nothing."""

    def __init__(self, got):
        self.got, self.options = got, {}

    def extra(self, attribute):
        return self

    def setsockopt(self, level, name, value):
        self.options[level, name] = value

    async def send(self, data):
        self.got.append(wire.decode_frame(data[4:])[2])

    async def receive(self, n):
        await anyio.sleep_forever()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *a):
        pass


def told(monkeypatch, *, held, away):
    """Said before and after the peer takes a connection, which it refuses so many times -> what it is told."""
    got, tries, up = [], [], anyio.Event()

    async def connect(ip, port, local_host):
        tries.append(1)
        if len(tries) <= away:
            raise OSError("refused")
        up.set()
        return Wire(got)

    async def rest(link, addr, seconds):
        await anyio.lowlevel.checkpoint()

    async def go():
        link = links.PeerConnections(own_name="a", process_id="l", address="127.0.0.1:1", on_message=None, logger=Quiet())
        link.set_address("b", "127.0.0.1:2")
        async with anyio.create_task_group() as link.task_group:
            for i in range(6):
                link.send("b", ("alive", i, 0))
            await up.wait()
            for _ in range(20):
                await anyio.lowlevel.checkpoint()
            link.send("b", ("alive", 99, 0))
            for _ in range(20):
                await anyio.lowlevel.checkpoint()
            link.task_group.cancel_scope.cancel()

    monkeypatch.setattr(links, "MAX_QUEUE_AGE_S", held)
    monkeypatch.setattr(links.anyio, "connect_tcp", connect)
    monkeypatch.setattr(links.PeerConnections, "_wait_to_reconnect", rest)
    anyio.run(go)
    return [body[1] for body in got]


def test_what_waited_too_long_for_a_peer_that_was_away_never_reaches_its_next_life(monkeypatch):
    assert told(monkeypatch, held=0.0, away=2) == [99]


def test_what_waited_a_moment_does_and_a_peer_that_was_there_loses_nothing(monkeypatch):
    assert told(monkeypatch, held=60.0, away=2) == [0, 1, 2, 3, 4, 5, 99]
    monkeypatch.undo()
    assert told(monkeypatch, held=0.0, away=0) == [0, 1, 2, 3, 4, 5, 99]


def test_a_peer_that_takes_no_bytes_is_not_waited_for_as_long_as_the_kernel_would(monkeypatch):
    made = []

    async def connect(ip, port, local_host):
        made.append(Wire([]))
        return made[-1]

    async def go():
        link = links.PeerConnections(own_name="a", process_id="l", address="127.0.0.1:1", on_message=None, logger=Quiet())
        link.set_address("b", "127.0.0.1:2")
        async with anyio.create_task_group() as link.task_group:
            link.send("b", ("alive", 1, 0))
            await anyio.wait_all_tasks_blocked()
            link.task_group.cancel_scope.cancel()

    monkeypatch.setattr(links.anyio, "connect_tcp", connect)
    anyio.run(go)
    assert 0 < made[0].options[socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT] <= 2000


def test_a_peer_that_is_heard_is_tried_at_once(monkeypatch):
    """After a cut: whoever finds the way first brings the other back."""
    tries, failed = [], anyio.Event()

    async def connect(ip, port, local_host):
        tries.append(port)
        if len(tries) == 1:
            failed.set()
            raise OSError("no way there")
        return Wire([])

    async def go():
        link = links.PeerConnections(own_name="a", process_id="l", address="127.0.0.1:1", on_message=None, logger=Quiet())
        link.set_address("b", "127.0.0.1:2")
        async with anyio.create_task_group() as link.task_group:
            link.send("b", ("alive", 1, 0))
            await failed.wait()
            await anyio.wait_all_tasks_blocked()
            assert len(tries) == 1
            link.on_peer_reachable("somebody else")
            await anyio.wait_all_tasks_blocked()
            assert len(tries) == 1
            link.on_peer_reachable("b")
            await anyio.wait_all_tasks_blocked()
            link.task_group.cancel_scope.cancel()

    monkeypatch.setattr(links, "INITIAL_BACKOFF_S", 3600)
    monkeypatch.setattr(links, "MAX_QUEUE_AGE_S", 7200)
    monkeypatch.setattr(links.anyio, "connect_tcp", connect)
    anyio.run(go)
    assert tries == [2, 2]
