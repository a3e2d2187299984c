"""A client that sets no bound to its answer ends a daemon that is stopping, and with it the streams of all others."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as s  # noqa: E402

HERE = Path(__file__).resolve().parent
USUAL, NO_BOUND = "826,40", "826,9007199254740991"
"""Token-Counts: those of the prompt, and the most out. The second is what a client says that has no bound (2**53 - 1)."""
EVENTS, PAUSE_S = 20, 0.1


class StreamingReplica(s.Replica):
    """A replica that answers with a stream of two seconds; a request that is larger than its memory is turned away as though it were full."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (head := await s.read_head(reader)) is not None:
                first, headers = head
                method, path, _ = first.split()
                body = await s.read_body(reader, headers)
                attempt = headers.get("attempt-id", "")
                if not attempt or headers.get("expect-replica", self.id) != self.id:
                    writer.write(await self._answer(method, path, headers, body))
                    await writer.drain()
                    continue
                echo = f"Attempt-Id: {attempt}\r\nReplica-Id: {self.id}\r\n"
                if headers.get("token-counts") == NO_BOUND:
                    writer.write(f"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n{echo}\r\n".encode())
                    await writer.drain()
                    continue
                self.ran.append((time.monotonic(), attempt))
                self.record.say(f"replica {self.id} in {self.zone} runs {attempt}")
                kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                writer.write(f"HTTP/1.1 200 OK\r\n{kind}Answer-Seal: seal-{attempt}\r\n{echo}\r\n".encode())
                for number in range(EVENTS):
                    event = f"id: {number + 1}\ndata: {attempt}\n\n".encode()
                    writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                    await writer.drain()
                    await asyncio.sleep(PAUSE_S)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
                self.record.say(f"replica {self.id} has answered {attempt} whole")
        writer.close()


async def played(record: s.Record, fleet: s.Fleet) -> int:
    await fleet.start()
    route = s.route(variant="streaming", deadline_ms=10000, goal_ms=600, gap_goal_ms=600)
    taken = await s.Operator(fleet).replace(4, 0, [route], [s.service()])
    if taken.status != 200 or not await fleet.wait_ready():
        return 2
    edge = fleet.edges[0]
    before = await asyncio.gather(*(ask(edge, USUAL) for _ in range(3)))
    record.say(f"before: {[str(answer) for answer in before]}", show=True)
    if any(answer.status != 200 for answer in before):
        return 2
    streams = [asyncio.create_task(ask(edge, USUAL)) for _ in range(6)]
    await asyncio.sleep(0.3)
    process = edge.process
    stopped_at = time.monotonic()
    stopping = asyncio.create_task(edge.stop()) if s.with_trouble() else None
    await asyncio.sleep(0.5)
    unbounded = await ask(edge, NO_BOUND)
    record.say(f"the request without a bound, {time.monotonic() - stopped_at:.2f} s after SIGTERM: {unbounded}", show=True)
    answers = [await each for each in streams]
    whole = sum(answer.status == 200 and answer.body.count(b"id: ") == EVENTS for answer in answers)
    took = time.monotonic() - stopped_at
    record.say(f"streams under way at SIGTERM: {len(answers)}, whole: {whole}; the last ended {took:.2f} s after it", show=True)
    if stopping:
        await stopping
        assert process is not None
        record.say(f"{edge.name} ended with status {process.returncode}", show=True)
        for line in (fleet.folder / f"{edge.name}.log").read_text(encoding="utf-8").strip().splitlines():
            if "Error" in line:
                record.say(f"{edge.name} wrote: {line.strip(' |')[:160]}", show=True)
    return 1 if whole < len(answers) else 0


async def ask(edge: s.Machine, tokens: str) -> s.Answer:
    attempt = secrets.token_hex(8)
    headers = {"Host": s.HOST, "Attempt-Id": attempt, "Deadline-Ms": "10000", "Model": "m", "Token-Counts": tokens}
    headers["Prompt-Prefix"] = "5c1e07a2:198,e4402b7d:628"
    answer = await s.call(edge.address("front"), "POST", s.PREFIX + "2f", headers=headers, body=b"x", timeout=10)
    edge.fleet.record.say(f"client {attempt} with {tokens} at {edge.name}: {answer}")
    return answer


async def play(record: s.Record) -> int:
    fleet = s.Fleet(record, edges=1)
    replicas = [StreamingReplica(record, ip=ip, port=fleet.ports["replica"], zone=zone) for zone, ip in fleet.replica_ips.items()]
    try:
        for replica in replicas:
            await replica.start()
        await s.PlatformList(fleet.list_address, list(replicas)).start()
        return await played(record, fleet)
    finally:
        await fleet.end()


if __name__ == "__main__":
    sys.exit(s.main(play, HERE))
