"""The HTTP server over real sockets (design 2, 15.7): how it stops."""

import asyncio
import socket

import anyio
import uvicorn

from silverglade.http.listener import Server, bound_socket

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


async def no_content(scope, receive, send):
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


def test_a_connection_that_comes_up_as_the_server_closes_is_answered_or_closed():
    """Guards against connections that are accepted in the turn in which the listeners close, then neither read nor closed."""

    async def play():
        closing = anyio.Event()
        config = uvicorn.Config(no_content, log_config=None, lifespan="off", log_level="critical", http="h11", ws="none", loop="asyncio")
        server, listening = Server(config, closing), bound_socket("127.0.0.1:0")
        serving = asyncio.create_task(server.serve(sockets=[listening]))
        while not server.started:
            await asyncio.sleep(0.01)
        clients = []
        for _ in range(5):  # up and with their requests before the loop has its next turn
            clients.append(socket.create_connection(listening.getsockname()))
            clients[-1].sendall(REQUEST)
        await asyncio.sleep(0)  # they are accepted in this turn, and have no transport yet
        closing.set()
        await asyncio.wait_for(serving, 5)
        for client in clients:
            client.settimeout(0.5)
            try:
                client.recv(1000)  # an answer, or an end
            except ConnectionError:
                pass
            finally:
                client.close()

    asyncio.run(play())
