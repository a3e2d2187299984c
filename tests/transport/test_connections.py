"""Connections between daemons (design 3.1): which messages reach a peer that was unreachable, and how soon."""

import socket

import anyio
import anyio.lowlevel

from silverglade.transport import connections, framing


class NullLogger:
    def info(self, *args):
        pass

    warning = info


class RecordingConnection:
    """A connection that records every message sent on it and never receives anything."""

    def __init__(self, received):
        self.received, self.options = received, {}

    def extra(self, attribute):
        return self

    def setsockopt(self, level, name, value):
        self.options[level, name] = value

    async def send(self, data):
        self.received.append(framing.decode_frame(data[4:])[2])

    async def receive(self, max_bytes):
        await anyio.sleep_forever()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exception):
        pass


def received_by_peer(monkeypatch, *, max_queue_age_s, refusals):
    """Send messages 0 to 5 before and 99 after the first connection, which the peer refuses `refusals` times; return those received."""
    received, attempts, connected = [], [], anyio.Event()

    async def connect(ip, port, local_host):
        attempts.append(1)
        if len(attempts) <= refusals:
            raise OSError("refused")
        connected.set()
        return RecordingConnection(received)

    async def skip_backoff(peers, address, seconds):
        await anyio.lowlevel.checkpoint()

    async def run():
        peers = connections.PeerConnections(own_name="a", process_id="l", address="127.0.0.1:1", on_message=None, logger=NullLogger())
        peers.set_address("b", "127.0.0.1:2")
        async with anyio.create_task_group() as peers.task_group:
            for number in range(6):
                peers.send("b", ("alive", number, 0))
            await connected.wait()
            for _ in range(20):
                await anyio.lowlevel.checkpoint()
            peers.send("b", ("alive", 99, 0))
            for _ in range(20):
                await anyio.lowlevel.checkpoint()
            peers.task_group.cancel_scope.cancel()

    monkeypatch.setattr(connections, "MAX_QUEUE_AGE_S", max_queue_age_s)
    monkeypatch.setattr(connections.anyio, "connect_tcp", connect)
    monkeypatch.setattr(connections.PeerConnections, "_wait_to_reconnect", skip_backoff)
    anyio.run(run)
    return [body[1] for body in received]


def test_messages_queued_too_long_for_an_unreachable_peer_are_dropped(monkeypatch):
    assert received_by_peer(monkeypatch, max_queue_age_s=0.0, refusals=2) == [99]


def test_messages_queued_briefly_or_for_a_reachable_peer_are_delivered(monkeypatch):
    assert received_by_peer(monkeypatch, max_queue_age_s=60.0, refusals=2) == [0, 1, 2, 3, 4, 5, 99]
    monkeypatch.undo()
    assert received_by_peer(monkeypatch, max_queue_age_s=0.0, refusals=0) == [0, 1, 2, 3, 4, 5, 99]


def test_connections_have_a_user_timeout_of_at_most_two_seconds(monkeypatch):
    """Guards against waiting as long as the kernel would for a peer that acknowledges no data."""
    opened = []

    async def connect(ip, port, local_host):
        opened.append(RecordingConnection([]))
        return opened[-1]

    async def run():
        peers = connections.PeerConnections(own_name="a", process_id="l", address="127.0.0.1:1", on_message=None, logger=NullLogger())
        peers.set_address("b", "127.0.0.1:2")
        async with anyio.create_task_group() as peers.task_group:
            peers.send("b", ("alive", 1, 0))
            await anyio.wait_all_tasks_blocked()
            peers.task_group.cancel_scope.cancel()

    monkeypatch.setattr(connections.anyio, "connect_tcp", connect)
    anyio.run(run)
    assert 0 < opened[0].options[socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT] <= 2000


def test_a_peer_that_connects_to_this_daemon_is_retried_at_once(monkeypatch):
    """Guards against slow recovery from a network partition: the side that reconnects first ends the back-off of the other side."""
    attempted_ports, failed = [], anyio.Event()

    async def connect(ip, port, local_host):
        attempted_ports.append(port)
        if len(attempted_ports) == 1:
            failed.set()
            raise OSError("unreachable")
        return RecordingConnection([])

    async def run():
        peers = connections.PeerConnections(own_name="a", process_id="l", address="127.0.0.1:1", on_message=None, logger=NullLogger())
        peers.set_address("b", "127.0.0.1:2")
        async with anyio.create_task_group() as peers.task_group:
            peers.send("b", ("alive", 1, 0))
            await failed.wait()
            await anyio.wait_all_tasks_blocked()
            assert len(attempted_ports) == 1
            peers.on_peer_reachable("another daemon")
            await anyio.wait_all_tasks_blocked()
            assert len(attempted_ports) == 1
            peers.on_peer_reachable("b")
            await anyio.wait_all_tasks_blocked()
            peers.task_group.cancel_scope.cancel()

    monkeypatch.setattr(connections, "INITIAL_BACKOFF_S", 3600)
    monkeypatch.setattr(connections, "MAX_QUEUE_AGE_S", 7200)
    monkeypatch.setattr(connections.anyio, "connect_tcp", connect)
    anyio.run(run)
    assert attempted_ports == [2, 2]
