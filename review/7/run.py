"""An acknowledged configuration without any service is never applied: the dropped route goes on being served."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as s  # noqa: E402

HERE = Path(__file__).resolve().parent
COUNT = 30


async def played(record: s.Record, fleet: s.Fleet, replicas: list[s.Replica]) -> int:
    await fleet.start()
    operator = s.Operator(fleet)
    taken = await operator.replace(4, 0, [s.route(variant="effectful")], [s.service()])
    if taken.status != 200 or not await fleet.wait_ready():
        return 2
    statuses = [await ask(fleet, number) for number in range(COUNT)]
    record.say(f"version 4, with the route: {summary(statuses)}", show=True)
    if statuses.count("200") < 0.9 * COUNT:
        return 2
    if not s.with_trouble():
        return 0
    dropped = await operator.replace(7, 4, [], [])
    record.say(f"version 7, without routes and services, on top of 4: {dropped}", show=True)
    if dropped.status != 200:
        return 2
    # nothing else happens: every machine is in touch, and `apply_ms` passes three times over
    await asyncio.sleep(3 * fleet.bounds["apply_ms"] / 1000)
    core = fleet.cores[0]
    read = await s.call(core.address("control"), "GET", "/silverglade/config/read")
    record.say(f"read back: {read} {read.body[:40]!r}", show=True)
    before = {replica.id: len(replica.ran) for replica in replicas}
    statuses = [await ask(fleet, number) for number in range(COUNT)]
    ran = sum(len(replica.ran) - before[replica.id] for replica in replicas)
    record.say(f"{3 * fleet.bounds['apply_ms']} ms after the acknowledgement: {summary(statuses)}; {ran} ran at replicas", show=True)
    return 1 if ran else 0


async def ask(fleet: s.Fleet, number: int) -> str:
    _, answer = await s.ask(fleet.edges[number % len(fleet.edges)], timeout=1.0)
    await asyncio.sleep(0.03)
    return str(answer)


def summary(statuses: list[str]) -> str:
    return ", ".join(f"{status}: {statuses.count(status)}" for status in sorted(set(statuses)))


async def play(record: s.Record) -> int:
    fleet = s.Fleet(record, edges=1)
    replicas = [s.Replica(record, ip=ip, port=fleet.ports["replica"], zone=zone) for zone, ip in fleet.replica_ips.items()]
    try:
        for replica in replicas:
            await replica.start()
        await s.PlatformList(fleet.list_address, replicas).start()
        return await played(record, fleet, replicas)
    finally:
        await fleet.end()


if __name__ == "__main__":
    sys.exit(s.main(play, HERE))
