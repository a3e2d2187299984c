"""The rules of the forwarding path, judged as things happen (design 15): what clients, replicas and operators saw.

Whoever drives it says what was sent, arrived, ran, came back; `faults` collects what was broken. Each rule has a
planted breach in tests/testbed/test_forwarding_rules.py. Times are timedeltas on one clock, bounds are parameters.
"""

from __future__ import annotations

from collections import defaultdict
from datetime import timedelta
from typing import Any, NamedTuple

from ...runtime.effects import ZERO
from ..fake_servers.request_format import event_count, plain_answer
from .configuration_history import Configuration, ConfigurationChange, ConfigurationHistory, Handling
from .forwarding_records import SEC, Bounds, DrainedZone, End, NumberInEffect, Outage, Received, ReplicaAnswer, Run, Sent, StreamPosition
from .request_rates import RetryRates, SlowStartRates

NOT_RUN_STATUSES = (408, 421, 429, 503)  # an answer with one of these promises that the request was not run
OTHER_PROCESS = 421  # a replica refuses what was meant for another process at its address
SHOWN_BODY = 60  # bytes of a body that are shown
DENIED_ONE_IN = 500  # requests may be answered by the daemon itself with an error of the client, and `DENIED_SLACK` more
DENIED_SLACK = 5
Breach = tuple[Any, ...]  # seconds, the rule, and what broke it


class Served(NamedTuple):
    """How many requests were sent, and how many of them were served."""

    served: int
    sent: int


class Rules:
    """Judges the forwarding path.

    :ivar faults: what was broken.
    :ivar configurations: what operators sent.
    :ivar sent: attempts by id.
    :ivar runs: by id.
    :ivar runs_of: ids of the runs of each attempt.
    :ivar got: what the client of each attempt has of its answer.
    :ivar cut_attempts: attempts whose replica broke off.
    :ivar stopped: when each process of a daemon was told to stop.
    :ivar drained_zones: with the times of it.
    """

    def __init__(self, *, bounds: Bounds | None = None) -> None:
        """Begin with nothing sent.

        :param bounds: of times and rates.
        """
        self.bounds = bounds or Bounds()
        self.faults: list[Breach] = []
        self.configurations = ConfigurationHistory()
        self.sent: dict[str, Sent] = {}
        self.runs: dict[str, Run] = {}
        self.runs_of: defaultdict[str, list[str]] = defaultdict(list)
        self.got: dict[str, Received] = {}
        self.cut_attempts: set[str] = set()
        self.stopped: dict[str, timedelta] = {}
        self.drained_zones: list[DrainedZone] = []
        self._reached: defaultdict[str, list[str]] = defaultdict(list)  # attempt -> replicas
        self._offered: defaultdict[str, list[str]] = defaultdict(list)  # attempt -> replicas that it reached and that were meant
        self._replica_answers: defaultdict[str, list[ReplicaAnswer]] = defaultdict(list)
        self._retry_rates = RetryRates(self.bounds)
        self._slow_start_rates = SlowStartRates(self.bounds)
        self._draining_since: dict[str, timedelta] = {}  # replica -> when listed so
        self._list_outages: list[Outage] = []
        self._in_effect: dict[str, NumberInEffect] = {}  # process of a daemon -> the number that it was seen to work under
        self._denied = 0

    def bad(self, now: timedelta, rule: str, *details: object) -> None:
        """Note that a rule was broken."""
        self.faults.append((round(now / SEC, 3), rule, *details))

    # clients
    def asked(self, sent: Sent) -> None:
        """Handle that a client sent an attempt."""
        self.sent[sent.attempt] = sent
        self.got[sent.attempt] = Received()
        self._retry_rates.attempts[sent.service].append(sent.at)

    def head(self, now: timedelta, attempt: str, status: int, seal: str | None, touch: bool = True) -> None:
        """Handle that the head of an answer reached its client.

        :param touch: whether its daemon was in touch.
        """
        got, sent = self.got.get(attempt), self.sent.get(attempt)
        if got is None or sent is None or got.status is not None:
            return self.bad(now, "MIXED", attempt, "an answer that nobody waits for", status)
        got.status, got.seal = status, seal
        if got.successful and seal not in self._success_seals(attempt):
            self.bad(now, "MIXED", attempt, "success without the replica's seal", status)
        if status in NOT_RUN_STATUSES and not sent.again and self.runs_of[attempt]:
            self.bad(now, "REFUSED", attempt, status, *self.runs_of[attempt])
        if status == 404:
            self._handled(now, sent, None, self._handling(sent, None), touch=touch)
        if status == 401:
            self._handled(now, sent, None, self.configurations.denying_key(sent.host, sent.path, sent.key), touch=touch)
        return None

    def _handling(self, sent: Sent, service: str | None) -> Handling:
        return self.configurations.handling(sent.host, sent.path, service, sent.key)

    def _runs(self, attempt: str) -> list[Run]:
        return [self.runs[run] for run in self.runs_of[attempt]]

    def _success_seals(self, attempt: str) -> list[str]:
        return [run.seal for run in self._runs(attempt) if run.seal and run.status == 200]

    def event(self, now: timedelta, attempt: str, number: int, data: bytes) -> None:
        """Handle that one event of a stream reached its client."""
        got, sent = self.got[attempt], self.sent[attempt]
        run_id = bytes(data).split()[0].decode(errors="replace") if data else ""
        run = self.runs.get(run_id)
        if bytes(data) != f"{run_id} {number}".encode() or run is None or run.attempt != attempt:
            return self.bad(now, "MIXED", attempt, "another's event", data)
        before = got.events[-1] if got.events else StreamPosition(sent.last, run_id)
        if number != before.number + 1:
            self.bad(now, "ORDER", attempt, "lacks or repeats a piece", before.number, number)
        if run_id != before.run and not (sent.again and run.last == before.number):
            self.bad(now, "ORDER", attempt, "joins runs", before.run, run_id)
        got.events.append(StreamPosition(number, run_id))
        return None

    def data(self, attempt: str, data: bytes) -> None:
        """Handle that bytes of a plain answer reached its client."""
        self.got[attempt].body += data

    def ended(self, now: timedelta, attempt: str, *, whole: bool, calm: bool = False, own: bool = False) -> None:
        """Handle that the client's answer ended.

        :param whole: it is complete; else its connection closed.
        :param calm: nothing unplanned troubled what it depends on.
        :param own: it is an answer of the daemon itself, not a replica's.
        """
        got, sent = self.got[attempt], self.sent[attempt]
        if got.ended is not None:
            return self.bad(now, "MIXED", attempt, "ended twice")  # no request waits there
        got.ended = End(now, whole)
        if not whole:
            if calm and self._lost(now, sent):
                self.bad(now, "LOST", attempt, sent.life, round((now - sent.at) / SEC, 3))
            return None
        if not got.successful:
            return self._ended_in_error(now, sent, got, own)
        if sent.stream and not any(run.plain for run in self._runs(attempt)):
            return self._stream_completed(now, sent, got)
        if got.body not in [run.body for run in self._runs(attempt) if run.seal == got.seal]:
            self.bad(now, "MIXED", attempt, "not the replica's whole body", got.body[:SHOWN_BODY])
        return None

    def _lost(self, now: timedelta, sent: Sent) -> bool:
        """Return whether an answer that broke off may not have."""
        if now >= sent.at + sent.due or sent.attempt in self.cut_attempts:
            return False
        was_read = bool(self._reached[sent.attempt]) or now > sent.at + self.bounds.lost
        return was_read and not self._outlived_grace(now, sent)

    def _outlived_grace(self, now: timedelta, sent: Sent) -> bool:
        """Was a replica still at work on it in the last sixth of the daemon's grace, for a request sent soon after the stop?"""
        stopped_at = self.stopped.get(sent.life)
        if stopped_at is None or not self.runs_of[sent.attempt]:
            return False
        return sent.at <= stopped_at + self.bounds.cut_streams_for and now >= stopped_at + self.bounds.grace * 5 / 6

    def _ended_in_error(self, now: timedelta, sent: Sent, got: Received, own: bool) -> None:
        assert got.status is not None
        if own and got.status < 500 and got.status not in NOT_RUN_STATUSES and self._always_has_route(sent):
            self._denied += 1
        if not own and ReplicaAnswer(got.status, got.body) not in self._replica_answers[sent.attempt]:
            self.bad(now, "MIXED", sent.attempt, "no failure of its replicas", got.status, got.body[:SHOWN_BODY])

    def _always_has_route(self, sent: Sent) -> bool:
        """Return whether every configuration that may be in force has a route for it, and wants no other key."""
        return all(change.admits(sent.host, sent.path, sent.key) for change in self.configurations.possible())

    def _stream_completed(self, now: timedelta, sent: Sent, got: Received) -> None:
        stride = max((run.stride for run in self._runs(sent.attempt)), default=1)
        last = max(event_count(sent.body, sent.tokens[1], stride), sent.last)
        if (got.events[-1].number if got.events else sent.last) < last:
            self.bad(now, "ORDER", sent.attempt, "complete before its last piece", len(got.events), last)

    # replicas
    def arrived(
        self,
        now: timedelta,
        attempt: str,
        *,
        rep: str,
        service: str,
        zone: str,
        region: str,
        sent: timedelta,
        touch: bool,
        status: int | None = None,
        cold_per_s: float = 0.0,
        left: timedelta | None = None,
    ) -> None:
        """Handle that a request reached a replica.

        :param rep: the replica.
        :param sent: when a daemon sent it.
        :param touch: whether that daemon was in touch.
        :param status: 421 when it was meant for another process at the replica's address.
        :param cold_per_s: requests a second that the replica bears; 0 while it is warm.
        :param left: the time that the replica was told the request has.
        """
        request = self.sent.get(attempt)
        if request is None:
            return self.bad(now, "UNASKED", attempt, rep)
        self._count_attempt(now, request, rep, service, meant=status != OTHER_PROCESS)
        remaining = request.due - (sent - request.at)
        if left is not None and touch and left > remaining + self.bounds.due:
            self.bad(now, "DUE", attempt, left / SEC, remaining / SEC)
        least = self.configurations.newest(request.at - self.bounds.apply) if touch else None
        homes = self.configurations.homes(request.host, request.path, request.key, least)
        if homes is not None and region not in homes:
            self.bad(now, "HOME", attempt, rep, region)
        if status == OTHER_PROCESS:
            return None
        if cold_per_s and (excess := self._slow_start_rates.arrived(now, rep, sent, cold_per_s)):
            self.bad(now, "FAILBACK", rep, *excess)
        if touch:
            self._check_draining(now, attempt, rep)
            self._check_drained_zones(now, attempt, rep, zone)
        return None

    def _count_attempt(self, now: timedelta, request: Sent, replica: str, service: str, *, meant: bool) -> None:
        """Count it against the retry budget and against the attempts of its route; the latter only if it was meant for the replica."""
        attempt = request.attempt
        if self._reached[attempt] and (excess := self._retry_rates.retried(now, service)):
            self.bad(now, "BUDGET", service, *excess)
        self._reached[attempt].append(replica)
        if meant:
            self._offered[attempt].append(replica)
        if len(self._offered[attempt]) > self.configurations.most_attempts(request.host, request.path):
            self.bad(now, "TRIES", attempt, *self._offered[attempt])

    def _check_draining(self, now: timedelta, attempt: str, replica: str) -> None:
        since = self._draining_since.get(replica)
        if since is not None and now > since + self.bounds.drain + self._list_outage(since, now):
            self.bad(now, "DRAIN", attempt, replica, round((now - since) / SEC, 2))

    def _check_drained_zones(self, now: timedelta, attempt: str, replica: str, zone: str) -> None:
        for drained in self.drained_zones:
            in_time = now <= drained.since + self.bounds.evacuate or (drained.until is not None and now >= drained.until)
            if drained.zone == zone and not in_time:
                self.bad(now, "EVAC", attempt, replica, zone, round((now - drained.since) / SEC, 2))

    def ran(
        self,
        now: timedelta,
        attempt: str,
        *,
        run: str,
        rep: str,
        service: str,
        seal: str | None,
        stride: int = 1,
        last: int = 0,
        method: str | None = None,
        path: str | None = None,
        body: bytes | None = None,
        touch: bool = True,
        status: int = 200,
        plain: bool = False,
        tenant: str | None = None,
        shown_key: str | None = None,
    ) -> None:
        """Handle that a replica began to work on an attempt.

        :param run: id of the run.
        :param rep: the replica.
        :param seal: with which it vouches for the run.
        :param stride: tokens in one event.
        :param last: number of the event behind which it begins.
        :param method: that the replica was given; with `path` and `body` it is compared with what the client sent.
        :param touch: whether the daemon was in touch.
        :param plain: whether its answer is no stream.
        :param tenant: that the replica was told of; None: of none.
        :param shown_key: the client's key, where the replica was shown it.
        """
        sent = self.sent.get(attempt)
        if sent is None:
            return self.bad(now, "UNASKED", attempt, rep, "of no client")
        given = (sent.method if method is None else method, sent.path if path is None else path, sent.body if body is None else body)
        if given != (sent.method, sent.path, sent.body):
            self.bad(now, "UNASKED", attempt, rep, "changed", given[:2])
        self.runs[run] = Run(attempt, seal, status, stride, last, plain, plain_answer(run, sent))
        self.runs_of[attempt].append(run)
        if not sent.again and len(self.runs_of[attempt]) > 1:
            self.bad(now, "TWICE", attempt, *self.runs_of[attempt])
        if not sent.again and self.got[attempt].status in NOT_RUN_STATUSES:
            self.bad(now, "REFUSED", attempt, self.got[attempt].status, run)
        self._check_key(now, sent, rep, tenant, shown_key)
        self._handled(now, sent, service, self._handling(sent, service), touch=touch)
        return None

    def _check_key(self, now: timedelta, sent: Sent, replica: str, tenant: str | None, shown_key: str | None) -> None:
        """Check what the replica was told of the client's key, and whether the key may still be of use."""
        configurations = self.configurations
        if shown_key is not None and not configurations.may_show_key():
            self.bad(now, "UNASKED", sent.attempt, replica, "was shown the key")
        tenants = configurations.tenants(sent.key)
        if tenants is not None and tenant not in tenants:
            self.bad(now, "UNASKED", sent.attempt, replica, "not the key's tenant", tenant)
        revoke = self.bounds.revoke
        if revoke is not None and configurations.key_taken_away(sent.host, sent.path, sent.key, sent.at - revoke):
            self.bad(now, "CONFIG", "its key was taken away", sent.attempt, replica, sent.life)

    def failed(self, attempt: str, run: str, status: int, body: bytes) -> None:
        """Handle that a run ended as a failure of the replica's own."""
        self.runs[run].status = status
        self._replica_answers[attempt].append(ReplicaAnswer(status, body))

    def refused(self, attempt: str, status: int, body: bytes = b"") -> None:
        """Handle that a replica said that it did not run it."""
        self._replica_answers[attempt].append(ReplicaAnswer(status, body))

    # operators
    def put(
        self, now: timedelta, configuration: Configuration, *, base: int, valid: bool = True, number: int | None = None
    ) -> ConfigurationChange:
        """Handle that an operator sends a configuration; see `ConfigurationHistory.asked`."""
        return self.configurations.asked(now, configuration, base=base, valid=valid, number=number)

    def told(self, now: timedelta, change: ConfigurationChange, ok: bool | None) -> None:
        """Handle an operator's outcome: True taken, False refused, None unknown."""
        broken = self.configurations.told(now, change, ok)
        if broken:
            self.bad(now, "CONFIG", broken, change.number)

    def read(self, now: timedelta, number: int | None, configuration: Configuration | None = None) -> None:
        """Handle the configuration as it is read back at the end.

        :param number: its number; None: it did not come.
        :param configuration: as it was read, where that is compared.
        """
        newest = self.configurations.newest(now)
        if number is None or (newest is not None and number < newest):
            return self.bad(now, "CONFIG", "acknowledged one forgotten", number, newest)
        changes = [change for change in self.configurations.changes if change.number == number]
        possible = self.configurations.possible()
        if all(change not in possible for change in changes):
            self.bad(now, "CONFIG", "invalid or refused one is in force", number)
        elif configuration is not None and all(change.configuration != configuration for change in changes):
            self.bad(now, "CONFIG", "not as it was sent", number)
        return None

    def drained(self, now: timedelta, zone: str, on: bool) -> None:
        """Handle that the draining of a zone was acknowledged (on), or its end was sent."""
        if on:
            self.drained_zones.append(DrainedZone(zone, now, None))
            return
        self.drained_zones = [row._replace(until=now) if row.zone == zone and row.until is None else row for row in self.drained_zones]

    def leaving(self, now: timedelta, rep: str) -> None:
        """Handle that the endpoint list shows a replica as draining, or as gone."""
        self._draining_since.setdefault(rep, now)

    def listing(self, now: timedelta, ok: bool) -> None:
        """Handle that the endpoint list does not answer from now on, or answers again."""
        if not ok:
            self._list_outages.append(Outage(now))
        elif self._list_outages and self._list_outages[-1].until is None:
            self._list_outages[-1].until = now

    def _list_outage(self, begin: timedelta, end: timedelta) -> timedelta:
        """Return how long the endpoint list did not answer in between."""
        return sum((outage.overlap(begin, end) for outage in self._list_outages), ZERO)

    def _handled(self, now: timedelta, sent: Sent, service: str | None, handling: Handling, *, touch: bool) -> None:
        """Check under which configurations a request may have been handled so; service None: refused for want of a route or a key."""
        numbers, ever = handling
        if not numbers:
            return self._handled_under_none(now, sent, service, ever)
        newest = self.configurations.newest(sent.at - self.bounds.apply)
        if touch and newest is not None and max(numbers) < newest:
            self.bad(now, "CONFIG", "as only an older one allows", sent.attempt, service, max(numbers), newest)
        seen = self._in_effect.get(sent.life)
        if seen is not None and max(numbers) < seen.number and sent.at > seen.since + self.bounds.revert:
            self.bad(now, "CONFIG", "went back", sent.life, sent.attempt, max(numbers), seen.number)
        if seen is None or min(numbers) > seen.number:
            self._in_effect[sent.life] = NumberInEffect(min(numbers), now)
        return None

    def _handled_under_none(self, now: timedelta, sent: Sent, service: str | None, ever: bool) -> None:
        if service is not None and not ever:
            return self.bad(now, "ROUTE", sent.attempt, service, sent.host, sent.path)
        changes = self.configurations.changes
        if changes and (service is not None or any(change.acknowledged for change in changes)):
            detail = "as only an invalid or refused one allows" if ever else "as none allows"
            self.bad(now, "CONFIG", detail, sent.attempt, service)
        return None

    # the end of a run
    def served(self, begin: timedelta, end: timedelta) -> Served:
        """Count what was sent in that time, and what of it was served."""
        sent = [request for request in self.sent.values() if begin <= request.at < end]
        return Served(sum(1 for request in sent if self.whole(request.attempt)), len(sent))

    def whole(self, attempt: str) -> bool:
        """Return whether the client has a complete answer that is a success."""
        got = self.got[attempt]
        return got.ended is not None and got.ended.complete and got.successful

    def recover(self, now: timedelta, *, before: tuple[timedelta, timedelta], back: timedelta) -> None:
        """Check that service came back after a loss.

        :param before: begin and end of a time before it.
        :param back: when everything had returned.
        """
        usual, after = self.served(*before), self.served(back + self.bounds.recovery, now)
        if usual.sent and after.sent and 4 * usual.served >= usual.sent and 4 * after.served < after.sent:
            self.bad(now, "RECOVER", after.served, after.sent)

    def close(self, now: timedelta) -> list[Breach]:
        """Check the last counts; return all that was broken."""
        if self._denied > DENIED_SLACK + len(self.sent) / DENIED_ONE_IN:
            self.bad(now, "DENIED", self._denied, len(self.sent))
        return self.faults

    def forgotten(self, now: timedelta, attempt: str) -> None:
        """Check an attempt whose deadline has passed, whose daemon lived all the while, and for which nothing is under way."""
        if self.got[attempt].ended is None:
            self.bad(now, "SILENT", attempt, self.sent[attempt].life)
