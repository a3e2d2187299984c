"""Real daemons stopped under load (design 15.9); guards against the incident stream-cut-at-the-end-of-grace."""

import asyncio
import shutil

import anyio
import pytest

from ..support.stopped_processes import GRACE_S, TOP, Deployment, Try, broken_rules

WORK_S = (0.2, 0.2, 0.5, 1, 2, 4, 8, 15)
LEFT_S = (1, 3, 7, 15)
ROUTES = ("/long/", "/again/", "/short/", "/plain/", "/once/")


class Load:
    """Clients that keep using one daemon, whatever it answers, until its process has exited, and then use its successor."""

    def __init__(self, deployment, ip, tasks):
        self.deployment, self.ip, self.tasks, self.lives = deployment, ip, tasks, []

    def path(self):
        rng = self.deployment.rng
        return f"{rng.choice(ROUTES)}{rng.choice(WORK_S)}"

    async def ask(self, stream=None):
        return await self.deployment.ask(self.ip, self.path(), left_s=self.deployment.rng.choice(LEFT_S), stream=stream)

    async def keep_asking(self):
        stream = None
        while True:
            answer = await self.ask(stream)
            stream = answer and answer[1]
            await asyncio.sleep(0.02 if answer else 0.05)

    async def bursts(self, life, gap_s=0.2):
        while life.process.poll() is None:
            for _ in range(3):
                self.tasks.start_soon(self.ask)
            await asyncio.sleep(gap_s)


async def stop_once(load, stops, ready_after):
    """Send SIGTERM, then bursts of requests until the process has exited; record for how long the daemon still reported itself ready."""
    deployment = load.deployment
    life = deployment.stop(load.ip)
    stops[life.number] = life.told_at
    load.lives.append(life.number)
    load.tasks.start_soon(load.bursts, life)

    async def watch():
        began = asyncio.get_running_loop().time()
        while await deployment.is_ready(load.ip):
            ready_after[life.number] = asyncio.get_running_loop().time() - began
            await asyncio.sleep(0.05)

    load.tasks.start_soon(watch)
    # on a busy machine the exit of the interpreter may exceed the grace period; the log then has to show that the work had ended
    took_s = await deployment.end(life)
    stopped = sum(told in stops for told in load.lives)
    assert took_s < GRACE_S or deployment.log(load.ip).count("event=stop") == stopped, f"{load.ip} was killed before its work ended"


async def rolled(folder, *, net, seed, edges, slow=(), stops_each=2, hangups=True, program=TOP):
    """Stop and restart daemons, one 0.25 s after the other, with SIGHUP before each stop if `hangups`.

    Return the deployment, the time of each stop, and for how long each stopped daemon still reported itself ready.
    """
    deployment, stops, ready_after = Deployment(folder, net=net, edges=edges, seed=seed, program=program), {}, {}
    rng = deployment.rng

    async def roll(load, begin_s):
        await asyncio.sleep(begin_s)
        for _ in range(stops_each):
            if hangups:
                deployment.lives[load.ip].process.send_signal(1)
                await asyncio.sleep(rng.choice((0, 0.1)))
            await stop_once(load, stops, ready_after)
            deployment.start(load.ip)
            await deployment.until(lambda: deployment.is_ready(load.ip))
            await asyncio.sleep(rng.uniform(0.1, 2))

    async with deployment.running(), anyio.create_task_group() as tasks:
        for i in slow:
            tasks.start_soon(deployment.slow_down, deployment.edges[i])
        loads = [Load(deployment, ip, tasks) for ip in deployment.edges]
        for load in loads:
            for _ in range(8):
                tasks.start_soon(load.keep_asking)
        async with anyio.create_task_group() as rolls:
            for i, load in enumerate(loads):
                rolls.start_soon(roll, load, 4 + 0.25 * i)
        tasks.cancel_scope.cancel()  # what continues at a running process is not part of the test
    return deployment, stops, ready_after


def test_no_late_stream_is_accepted_and_broken_off_during_a_rolling_restart(tmp_path):
    """Guards against a stream that is accepted seconds after SIGTERM and broken off at the end of the grace period (LOST)."""
    deployment, stops, ready_after = asyncio.run(rolled(tmp_path, net=81, seed=1, edges=2, slow=(1,)))
    late = [seen for seen in deployment.tries.values() if seen.life in stops and seen.sent_at > stops[seen.life]]
    assert len(stops) == 4 and len(late) > 100 and any(seen.status == 503 for seen in late)
    assert deployment.breaches(stops) == []
    assert max(ready_after.values(), default=0) < 1


GUARDS = (
    ("silverglade/routing/graceful_shutdown.py", "if self.answer_at is None or deadline <= self.answer_at:", "if True:"),
    ("platform/words.py", "TTL_S = 1\n", "TTL_S = 2\n"),
)
"""Without them a daemon behaves as in the incident: it keeps listening for 6 s and accepts every request."""


@pytest.fixture
def program_without_guards(tmp_path):
    for part in ("silverglade", "platform"):
        shutil.copytree(TOP / part, tmp_path / "program" / part, ignore=shutil.ignore_patterns("__pycache__"))
    for path, guard, instead in GUARDS:
        file = tmp_path / "program" / path
        text = file.read_text()
        assert text.count(guard) == 1
        file.write_text(text.replace(guard, instead))
    return tmp_path / "program"


def test_without_the_guards_the_same_load_shows_the_incident(tmp_path, program_without_guards):
    """Guards against a check that cannot fail: without the guards, the daemon loses streams in this scenario."""
    deployment, stops, _ = asyncio.run(
        rolled(tmp_path, net=82, seed=1, edges=1, stops_each=1, hangups=False, program=program_without_guards)
    )
    late = [breach for breach in deployment.breaches(stops) if breach[0] == "LOST" and breach[4] > 3.5]
    assert late


def seen(sent_at, ended_at, *, status=200, whole=False, busy=(), path="/long/9", connection="close"):
    head_at = sent_at + 0.1 if status else 0.0
    return Try("a", path, "e", 1, 15.0, True, sent_at, status, {"connection": connection}, head_at, ended_at, whole, list(busy))


@pytest.mark.parametrize(
    "rules, one",
    [
        (["LOST"], seen(105.6, 107.02, busy=[(105.6, None)])),  # the first case recorded by the users
        (["LOST"], seen(104.0, 107.02, busy=[(104.0, None)])),  # the second one
        ([], seen(102.9, 107.02, busy=[(102.9, None)])),  # sent in time, still running in the last sixth of the grace period
        (["LOST"], seen(102.9, 106.5, busy=[(102.9, None)])),  # broken off before the last sixth
        (["LOST"], seen(99.0, 107.0, status=0, busy=[(99.1, 103.0)])),  # its replica had finished long before
        ([], seen(92.1, 107.1, busy=[(92.2, None)])),  # the client's deadline had passed
        ([], seen(103.0, 107.1, busy=[(103.0, None)], path="/short/9")),  # the deadline of its route had passed
        ([], seen(106.0, 106.1, status=0)),  # it arrived while the connection was being closed
        (["LOST"], seen(106.0, 106.3, status=0)),  # it was read by the daemon
        (["REFUSED"], seen(101.0, 101.2, status=503, whole=True, busy=[(101.1, None)])),
        (["NO-CLOSE"], seen(101.0, 101.2, status=503, whole=True, connection="")),
        ([], seen(101.0, 101.2, status=503, whole=True)),
    ],
)
def test_the_oracle_applies_the_rules_and_their_exceptions(rules, one):
    """Guards against an oracle that excuses a loss which users do not accept, or reports one which they accept."""
    assert list(broken_rules(one, 100.0)) == rules
