"""Shutdown of the HTTP server, over real sockets (design 2, 15.7)."""

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
    """Guards against connections that are neither read nor closed because they are accepted just as the listeners close."""

    async def play():
        closing = anyio.Event()
        config = uvicorn.Config(no_content, log_config=None, lifespan="off", log_level="critical", http="h11", ws="none", loop="asyncio")
        server, listening = Server(config, closing), bound_socket("127.0.0.1:0")
        serving = asyncio.create_task(server.serve(sockets=[listening]))
        while not server.started:
            await asyncio.sleep(0.01)
        clients = []
        for _ in range(5):  # established, with their requests sent, before the next iteration of the event loop
            clients.append(socket.create_connection(listening.getsockname()))
            clients[-1].sendall(REQUEST)
        await asyncio.sleep(0)  # accepted in this iteration, without a transport yet
        closing.set()
        await asyncio.wait_for(serving, 5)
        for client in clients:
            client.settimeout(0.5)
            try:
                client.recv(1000)  # a response or the end of the connection
            except ConnectionError:
                pass
            finally:
                client.close()

    asyncio.run(play())
