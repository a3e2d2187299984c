"""A whole deployment as real processes on loopback (design 10.4). Only this runner starts any."""

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import time

import anyio
import httpcore

from ...runtime.errors import AddressInUseError
from ...runtime.settings import API_ROLES
from ..sites import TOWNS
from .address_holder import process_listening_at
from .network_relay import Relay

WATCHED = "silverglade.testbed.local_fleet.watched_process"

SLOW = {"connect": 2.0, "read": 40.0, "write": 5.0, "pool": 5.0}


def free(addr):
    """Raises Fault 706 where another rehearsal, or anything else, holds the address."""
    ip, port = addr.rsplit(":", 1)
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind((ip, int(port)))
        except OSError as e:
            holder = process_listening_at(addr)
            by = f"process {holder} holds it; kill {holder} ends it" if holder else "does another fleet run?"
            raise AddressInUseError(f"{addr}: {e.strerror}; {by}") from e


class Fleet:
    def __init__(self, *, town, folder, tuning=None, keys=False, other=""):
        """keys: does each role have a key, in a file, as in a deployment?

        other: the folder of a second checkout; every second daemon runs the program there.
        """
        self.other = os.path.abspath(other) if other else ""
        self.t, self.dir, self.tuning = TOWNS[town](), folder, tuning or {}
        self.relay = Relay(delay_ms=self.t["delay"])
        self.procs, self.daemons, self.reps, self.inc = {}, {}, {}, {}
        zs = list(self.t["config"]["zones"])
        for i, (name, zone, region, core) in enumerate(self.t["daemons"]):
            n = f"{zs.index(zone) + 1}.{i + 1}"
            self.daemons[name] = dict(
                name=name, zone=zone, region=region, core=core, real=f"127.1.{n}", told=f"127.2.{n}", http=f"127.1.{n}:8000"
            )
            self.relay.region[f"127.1.{n}"] = region
        for i, r in enumerate(self.t["replicas"]):
            n = f"{zs.index(r['zone']) + 1}.{i + 1}"
            self.reps[r["rid"]] = dict(r, real=f"127.3.{n}", told=f"127.4.{n}")
            self.relay.region[f"127.3.{n}"] = self.t["config"]["zones"][r["zone"]]["region"]
        for d in self.daemons.values():
            free(d["http"])
        self.cores = [d["name"] for d in self.daemons.values() if d["core"]]
        os.makedirs(os.path.join(folder, "log"), exist_ok=True)
        self.keys = {r: f"{r}-{secrets.token_hex(8)}" for r in API_ROLES} if keys else {}
        for r, k in self.keys.items():
            with open(self.key_file(r), "w", encoding="utf-8") as f:
                f.write(k + "\n")
        self.runs = os.path.join(folder, "runs")
        open(self.runs, "a").close()

    def key_file(self, role):
        return os.path.join(self.dir, f"{role}.key")

    def spawn(self, name, args):
        out = open(os.path.join(self.dir, "log", name), "ab")
        strange = self.other and name in self.daemons and list(self.daemons).index(name) % 2
        watched = () if strange else (WATCHED,)  # the other checkout may not have it
        self.procs[name] = subprocess.Popen(
            [sys.executable, "-m", *watched, *args], stdout=out, stderr=out, stdin=subprocess.PIPE, cwd=self.other if strange else None
        )
        out.close()

    def data(self, name):
        return os.path.join(self.dir, "data", name)

    def retune(self, name, **kw):
        """Other tuning for one daemon that runs: settings rewritten, then SIGHUP."""
        path = os.path.join(self.dir, name + ".json")
        with open(path, encoding="utf-8") as f:
            s = json.load(f)
        s["tuning"].update(kw)
        with open(path, "w", encoding="utf-8") as f:
            json.dump(s, f, indent=1)
        self.procs[name].send_signal(signal.SIGHUP)

    def start_daemon(self, name):
        d = self.daemons[name]
        s = dict(
            name=name,
            zone=d["zone"],
            region=d["region"],
            listen=d["real"] + ":7000",
            advertise=d["told"] + ":7000",
            http=d["http"],
            cores=self.cores,
            seeds=[self.daemons[c]["told"] + ":7000" for c in self.cores],
            tuning=dict(self.tuning),
        )
        s.update({f"{r}_key_file": self.key_file(r) for r in self.keys})
        if d["core"]:
            s["data"] = self.data(name)
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(s, f, indent=1)
        self.spawn(name, ["silverglade", "run", "--settings", path])

    def start_replica(self, rid):
        r = self.reps[rid]
        self.inc[rid] = self.inc.get(rid, 0) + 1
        at = [d["http"] for d in self.daemons.values() if d["zone"] == r["zone"]]
        self.spawn(
            rid,
            [
                "silverglade.testbed.fake_servers.replica_process",
                "--id",
                rid,
                "--address",
                r["real"] + ":9000",
                "--told",
                r["told"] + ":9000",
                "--zone",
                r["zone"],
                "--kind",
                r.get("kind", "model"),
                "--homes",
                ",".join(r["homes"]),
                "--prefixes",
                ",".join(r.get("prefixes", [])),
                "--slots",
                str(r["slots"]),
                "--incarnation",
                str(self.inc[rid]),
                "--daemons",
                ",".join(at),
                "--runs",
                self.runs,
                *(["--key-file", self.key_file("replica")] if self.keys else []),
            ],
        )

    def kill(self, name, sig=signal.SIGKILL):
        p = self.procs[name]
        p.send_signal(sig)
        if sig == signal.SIGKILL:
            p.wait()

    def stop(self):
        for p in self.procs.values():
            if p.poll() is None:
                p.kill()
        for p in self.procs.values():
            p.wait()
            p.stdin.close()

    async def open(self, tg):
        for d in self.daemons.values():
            tg.start_soon(lambda d=d: self.relay.open(told=(d["told"], 7000), real=(d["real"], 7000)))
        for r in self.reps.values():
            tg.start_soon(lambda r=r: self.relay.open(told=(r["told"], 9000), real=(r["real"], 9000)))
        await anyio.sleep(0.1)
        for n in self.daemons:
            self.start_daemon(n)
        for r in self.reps:
            self.start_replica(r)

    async def ask(self, name, verb, path, body=None, head=(), key=None):
        """A call of an operator or the platform -> (status, decoded body), or (0, {}) when nobody answers."""
        role = "platform" if path.startswith("/v1/platform") else "operator"
        key = self.keys.get(role, "") if key is None else key
        head = [*head, ("Authorization", f"Bearer {key}")] if key else list(head)
        b = json.dumps(body).encode() if body is not None else b""
        try:
            async with httpcore.AsyncConnectionPool(max_keepalive_connections=0) as pool:
                r = await pool.request(
                    verb,
                    f"http://{self.daemons[name]['http']}{path}",
                    content=b,
                    headers=[("Host", "x"), ("Content-Length", str(len(b))), *head],
                    extensions={"timeout": SLOW},
                )
                return r.status, json.loads(r.content)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, ValueError):
            return 0, {}

    def strange(self):
        """Daemons that share memory or have started a process: there must be none."""
        got = []
        for n in self.up():
            pid = self.procs[n].pid
            try:
                with open(f"/proc/{pid}/maps", encoding="utf-8") as f:
                    got += [(n, x.strip()) for x in f if x.split()[1][1] == "w" and x.split()[1][3] == "s"]
                for t in os.listdir(f"/proc/{pid}/task"):
                    with open(f"/proc/{pid}/task/{t}/children", encoding="utf-8") as f:
                        got += [(n, "child", c) for c in f.read().split()]
            except FileNotFoundError:  # it ended, or this kernel does not tell
                continue
        return got

    def up(self, zone=None):
        return [
            n for n, d in self.daemons.items() if (zone is None or d["zone"] == zone) and n in self.procs and self.procs[n].poll() is None
        ]

    async def put(self, cfg, at):
        """Put a configuration over the one in force; -> (status, answer)."""
        code, got = await self.ask(at, "GET", "/v1/config")
        v = ".".join(map(str, got.get("version", (0, 0))))
        return await self.ask(at, "PUT", "/v1/config", cfg, [("If-Match", v)])

    async def until(self, what, secs):
        """Wait for a condition; -> seconds it took, or None."""
        t0 = time.monotonic()
        while time.monotonic() - t0 < secs:
            if await what():
                return time.monotonic() - t0
            await anyio.sleep(0.05)
        return None

    async def in_force(self, version):
        """Is this version held by every live daemon?"""
        got = []

        async def one(n):
            got.append((await self.ask(n, "GET", "/v1/status"))[1].get("config", [0, 0]))

        async with anyio.create_task_group() as tg:
            for n in self.up():
                tg.start_soon(one, n)
        return all(tuple(v) >= tuple(version) for v in got)
