"""A replica that refuses a request before it has read it: the refusal must be received, however the connection ends."""

import pytest

from silverglade.http.connection_pool import HIGH_WATER_BYTES

from ..support.scripted_replicas import ID, NOT, answer, scene

SMALL, LARGE, HUGE = 40, 3 * HIGH_WATER_BYTES, 40 * HIGH_WATER_BYTES  # one packet; several writes; more than the kernel takes at once
REFUSALS = [
    (lambda i: answer(i, "", status="421 Misdirected", seal=""), 421),
    (lambda i: answer(i, "full", status="503 Full", seal="", more=(f"{NOT}: 1", "Connection: close")), 503),
]


def refuse_early(*, read, end, say):
    """A replica that reads the head and `read` bytes of the body, responds, and ends the connection."""

    async def script(c):
        head = await c.r.readuntil(b"\r\n\r\n")
        fields = dict(x.split(": ", 1) for x in head.decode("latin-1")[:-4].split("\r\n")[1:])
        await c.r.readexactly(read)
        await c.say(say({k.lower(): v for k, v in fields.items()}[ID]))
        if end == "reset":
            c.reset()
        elif end == "wait":
            await c.closed()

    return script


async def words(c, d, rep, client):
    await c.ask(body="x" * client)
    status = (await c.answer())[0]
    return status, d.words()


@pytest.mark.parametrize("size", [SMALL, LARGE, HUGE], ids=["small", "large", "huge"])
@pytest.mark.parametrize("end", ["close", "reset", "wait"])
@pytest.mark.parametrize("say, status", REFUSALS, ids=["421", "503"])
def test_a_refusal_sent_before_the_body_was_read_is_received(size, end, say, status):
    for read in sorted({0, 1, size // 2, size - 1, size}):

        async def talk(c, d, rep, client):
            await c.ask(body="x" * size)
            got = (await c.answer())[0]
            return got, [w[:3] for w in d.words()]

        got = scene(refuse_early(read=read, end=end, say=say), talk)[0]
        assert got == (status, [(1, "not-run", status)]), (read, got)
