"""A core machine goes away for good; the settings files then name the two that are left, and no process starts any more."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as s  # noqa: E402

HERE = Path(__file__).resolve().parent
OWN_ENDS = 3
"""Fault: a machine whose process ends by itself this often in the day, with no trouble there."""


async def played(record: s.Record, fleet: s.Fleet, replicas: list[s.Replica]) -> int:
    await fleet.start()
    taken = await s.Operator(fleet).replace(4, 0, [s.route()], [s.service()])
    if taken.status != 200 or not await fleet.wait_ready():
        return 2
    before = await served(fleet, 30)
    record.say(f"before: {before:.2f} of the requests served", show=True)
    if before < 0.9:
        return 2
    if s.with_trouble():
        lost = fleet.cores[2]
        await lost.remove()
        record.say(f"{lost.name} has gone away for good", show=True)
        await asyncio.sleep(fleet.bounds["seed_lag_s"] + 0.5)
        fleet.seeds = [core.address("control") for core in fleet.cores if core is not lost]
    else:
        await asyncio.sleep(fleet.bounds["seed_lag_s"] + 0.5)
    for machine in fleet.machines:
        if not machine.is_gone:
            machine.write_settings()
    await asyncio.sleep(fleet.bounds["contact_ms"] / 1000 * 2)
    between = await served(fleet, 30)
    record.say(f"after the loss, before the stops: {between:.2f} served", show=True)
    for edge in fleet.edges:  # planned work: stopped and started in turn
        await edge.stop()
        await asyncio.sleep(1.5)
    await asyncio.sleep(fleet.bounds["recovery_s"])
    after = await served(fleet, 30)
    record.say(f"{fleet.bounds['recovery_s']} s after the last stop: {after:.2f} served", show=True)
    often = [machine for machine in fleet.machines if len(machine.exits) >= OWN_ENDS]
    for machine in fleet.machines:
        record.say(f"{machine.name}: ended by itself {len(machine.exits)} times, with {sorted({status for _, status in machine.exits})}", show=True)
    for machine in often[:1]:
        last = (fleet.folder / f"{machine.name}.log").read_text(encoding="utf-8").strip().splitlines()[-1:]
        record.say(f"{machine.name} wrote: {''.join(last)}", show=True)
    tenth = max(2, -(-sum(not machine.is_gone for machine in fleet.machines) // 10))
    return 1 if len(often) >= tenth else 0


async def served(fleet: s.Fleet, count: int) -> float:
    """Send requests to all edges in turn; return the share that got a success."""
    good = 0
    for number in range(count):
        _, answer = await s.ask(fleet.edges[number % len(fleet.edges)], timeout=1.0)
        good += answer.status == 200
        await asyncio.sleep(0.05)
    return good / count


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
