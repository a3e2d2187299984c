"""The model of a replica (design 15): batches, prompts read in chunks, a prefix cache, faults on demand. Pure and seeded.

Given a request, a disconnect or the time, it returns what it says as classes of `replica_answers`. Time is given by the
caller, who calls `tick` no later than at `next_wakeup()`.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from ...runtime.effects import ZERO, to_milliseconds
from .prefix_cache import PrefixCache
from .replica_answers import Answer, Body, Crashed, Cut, Ended, Garbage, Head, Refused, RunBegan, StreamEvent, Surplus
from .request_format import (
    ANSWER_FAULTS,
    DEFAULT_URGENCY,
    MS,
    SEC,
    AnswerFault,
    ReplicaRequest,
    ReplicaSpec,
    answer_tokens,
    event_count,
    plain_answer,
    seal,
)

REPORT_AGE = 100 * MS  # how old a report is
REPORTS_KEPT = SEC
OVERDUE_BODY = b"overdue"
FAILED_BODY = b"failed"
WORK_RANGE = (0.5, 1.6)  # of the mean time of a plain service's request
SPOILING_FAULTS = (AnswerFault.FAIL, AnswerFault.GARBAGE, AnswerFault.LOST)  # nothing of the proper answer is said
Answers = tuple[Answer, ...]


class Report(NamedTuple):
    """What a replica reports of itself: requests waiting and running, tokens of memory in use, and tokens of memory."""

    waiting: int
    running: int
    used_tokens: int
    cache_tokens: int


@dataclass(slots=True, eq=False)
class Job:
    """A request in the replica.

    :ivar key: the caller's name of it.
    :ivar request: as it arrived.
    :ivar number: of arrival, from 1.
    :ivar deadline: when its time is over; None without a deadline.
    :ivar answer_tokens: tokens of its whole answer.
    :ivar fault: of its answer; None for a proper one.
    :ivar run: id of its run once that began.
    :ivar unread: tokens of its prompt still to be read.
    :ivar made: tokens of its answer made so far.
    :ivar pinned_parts: ids of the parts of its prompt that it keeps in memory.
    :ivar ends_at: when a plain service is done with it.
    """

    key: int
    request: ReplicaRequest
    number: int
    deadline: timedelta | None
    answer_tokens: int
    fault: AnswerFault | None
    run: str | None = None
    unread: int = 0
    made: int = 0
    pinned_parts: tuple[str, ...] = ()
    ends_at: timedelta | None = None

    @property
    def urgency(self) -> int:
        """Its urgency, or that of requests that name none; a lower number goes first."""
        return DEFAULT_URGENCY if self.request.urgency is None else self.request.urgency

    def rank(self) -> tuple[int, int]:
        """Return its rank in the queue; the lowest goes first."""
        return (self.urgency, self.number)

    def own_tokens(self) -> int:
        """Return its memory beyond the named parts of its prompt."""
        return max(0, self.request.tokens[0] - sum(tokens for _, tokens in self.request.parts)) + self.made

    def overdue(self, now: timedelta) -> bool:
        """Return whether its deadline has passed."""
        return self.deadline is not None and now > self.deadline


class ReplicaEngine:
    """One replica from its start to its end.

    :ivar up: False once it crashed.
    :ivar paused: it takes what comes and says nothing until it is resumed.
    :ivar always_healthy: its health check says that it is well whatever it does.
    :ivar fault_rates: probability of each fault of an answer.
    :ivar turned_cold_at: when its present slow start began, if it was warm and running until then: nothing announces that; else None.
    :ivar draining_since: when it was told to drain; None before.
    :ivar ends_at: when it ends, where that was announced.
    :ivar prefilled_tokens: tokens of prompts read since its start.
    :ivar preemptions: how often a running request was put back into the queue.
    """

    def __init__(self, *, replica_id: str, spec: ReplicaSpec, seed: int, warm: bool = True, now: timedelta = ZERO) -> None:
        """Start a replica.

        :param replica_id: its id.
        :param spec: what kind of replica it is.
        :param seed: of its random decisions, together with its id.
        :param warm: False: it begins with slow start.
        :param now: the time of the caller's clock.
        """
        self.replica_id, self.spec, self.rng = replica_id, spec, random.Random(f"{replica_id}/{seed}")
        self.up, self.paused, self.always_healthy = True, False, False
        self.fault_rates: dict[str, float] = {}
        self.slow_start_until = ZERO if warm else now + spec.cold
        self.turned_cold_at: timedelta | None = None
        self.draining_since: timedelta | None = None
        self.ends_at: timedelta | None = None
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.prefix_cache = PrefixCache()
        self.requests, self.prefilled_tokens, self.preemptions = 0, 0, 0
        self._step_ends_at: timedelta | None = None
        self._prefill: list[tuple[Job, int]] = []  # which prompts the present step reads, and how many tokens of each
        self._slow_start_arrivals: deque[timedelta] = deque()
        self._reports: deque[tuple[timedelta, Report]] = deque()
        self._answers: list[Answer] = []
        self._postponed: list[Callable[[timedelta], Answers]] = []  # what came while it was paused

    # what it says of itself
    def slow_start_left(self, now: timedelta) -> timedelta:
        """Return how long its slow start still lasts."""
        return max(ZERO, self.slow_start_until - now)

    def health(self, now: timedelta) -> tuple[bool, int]:
        """Return whether it is well, and how many milliseconds its slow start still lasts."""
        well = self.draining_since is None and len(self.waiting) < self.spec.queue and not self.fault_rates.get(AnswerFault.FAIL)
        return well or self.always_healthy, to_milliseconds(self.slow_start_left(now))

    def report(self, now: timedelta) -> Report:
        """Return its state as it stood `REPORT_AGE` ago."""
        self._note_report(now)
        return next((report for at, report in reversed(self._reports) if now - at >= REPORT_AGE), Report(0, 0, 0, self.spec.cache_tokens))

    def _note_report(self, now: timedelta) -> None:
        if self._reports and now - self._reports[-1][0] < REPORT_AGE / 4:
            return
        self._reports.append((now, Report(len(self.waiting), len(self.running), self._pinned_tokens(), self.spec.cache_tokens)))
        while now - self._reports[0][0] > REPORTS_KEPT:
            self._reports.popleft()

    def _pinned_tokens(self) -> int:
        return self.prefix_cache.pinned_tokens() + sum(map(Job.own_tokens, self.running))

    # what happens to it
    def drain(self, now: timedelta, left: timedelta | None = None) -> None:
        """Begin to drain.

        :param now: the time.
        :param left: after which it ends whatever still runs; None: it takes its own time.
        """
        self.draining_since = self.draining_since or now
        if left is not None:
            self.ends_at = now + left

    def crash(self) -> Answers:
        """End at once; all its connections are cut."""
        self.up = False
        self._answers += [Cut(job.key) for job in (*self.running, *self.waiting)]
        self._answers.append(Crashed())
        self.running, self.waiting, self.prefix_cache, self._step_ends_at = [], [], PrefixCache(), None
        return self._take_answers()

    def pause(self) -> None:
        """Take what comes and say nothing until it is resumed."""
        self.paused = True

    def resume(self, now: timedelta) -> Answers:
        """Go on after a pause with all that came meanwhile."""
        self.paused = False
        postponed, self._postponed = self._postponed, []
        if self._step_ends_at is not None:
            self._step_ends_at = max(self._step_ends_at, now)
        answers = [answer for handle in postponed for answer in handle(now)]
        return (*answers, *self.tick(now))

    def begin_slow_start(self, now: timedelta) -> None:
        """Begin slow start again, at any moment."""
        if self.paused:
            self.turned_cold_at = None  # its silence announced that something happened to it
        elif not self.slow_start_left(now):
            self.turned_cold_at = now
        self.slow_start_until = now + self.spec.cold

    def disconnect(self, now: timedelta, key: int) -> Answers:
        """Drop a request whose connection was closed."""
        if self.paused:
            self._postponed.append(lambda later: self.disconnect(later, key))
            return ()
        self.waiting = [job for job in self.waiting if job.key != key]
        for job in [job for job in self.running if job.key == key and (self.spec.drops or job.run is None)]:
            self._stop(job)
        return self.tick(now)

    def submit(self, now: timedelta, key: int, request: ReplicaRequest) -> Answers:
        """Take a request in, or refuse it."""
        if not self.up:
            return (Cut(key),)
        if self.paused:
            self._postponed.append(lambda later: self.submit(later, key, request))
            return ()
        self.requests += 1
        if not request.attempt:
            return (Refused(key, 400, None),)
        if request.expect and request.expect != self.replica_id:
            return (Refused(key, 421, None),)
        if self._overwhelmed(now):
            return self.crash()
        return self._admit(now, self._new_job(now, key, request))

    def _overwhelmed(self, now: timedelta) -> bool:
        """Count an arrival during slow start; return whether there are more than the replica survives."""
        if not self.slow_start_left(now):
            return False
        self._slow_start_arrivals.append(now)
        while now - self._slow_start_arrivals[0] >= SEC:
            self._slow_start_arrivals.popleft()
        return len(self._slow_start_arrivals) > self.spec.falls * self.spec.cold_per_s + 1

    def _new_job(self, now: timedelta, key: int, request: ReplicaRequest) -> Job:
        return Job(
            key=key,
            request=request,
            number=self.requests,
            deadline=None if request.left is None else now + request.left,
            answer_tokens=answer_tokens(request.body, request.tokens[1]),
            fault=next((fault for fault in ANSWER_FAULTS if self.rng.random() < self.fault_rates.get(fault, 0.0)), None),
        )

    def _admit(self, now: timedelta, job: Job) -> Answers:
        too_large = job.request.tokens[0] + job.answer_tokens > self.spec.cache_tokens
        if too_large or (job.request.left is not None and job.request.left <= ZERO):
            return (Refused(job.key, 503, None),)
        if len(self.waiting) >= self.spec.queue:
            last = max(self.waiting, key=Job.rank)
            if last.urgency <= job.urgency:
                return (Refused(job.key, 503, self._retry_after_s()),)
            self.waiting.remove(last)
            self._answers.append(Refused(last.key, 503, self._retry_after_s()))
        self.waiting.append(job)
        return self.tick(now)

    def _retry_after_s(self) -> float:
        return round(0.1 + 0.5 * len(self.waiting) / max(1, self.spec.queue), 2)

    # time
    def next_wakeup(self) -> timedelta | None:
        """Return when it next has something to do; None if nothing is pending."""
        if not self.up or self.paused:
            return None
        times = [*(job.deadline for job in self.waiting), self._step_ends_at, self.ends_at, *(job.ends_at for job in self.running)]
        return min((time for time in times if time is not None), default=None)

    def tick(self, now: timedelta) -> Answers:
        """Do all that is due by now."""
        if not self.up or self.paused:
            return self._take_answers()
        if self.ends_at is not None and now >= self.ends_at:
            return self.crash()
        for job in [job for job in self.waiting if job.deadline is not None and now >= job.deadline]:
            self.waiting.remove(job)
            self._answers.append(Refused(job.key, 503, None))
        if self.spec.work:
            self._run_plain(now)
        else:
            self._run_batch(now)
        self._note_report(now)
        return self._take_answers()

    def _take_answers(self) -> Answers:
        answers, self._answers = tuple(self._answers), []
        return answers

    def _slowness(self, now: timedelta) -> float:
        return self.spec.speed * (self.spec.cold_x if self.slow_start_left(now) else 1.0)

    def _next_waiting(self) -> Job:
        return min(self.waiting, key=Job.rank)

    # a plain service: each request takes its time
    def _run_plain(self, now: timedelta) -> None:
        for job in [job for job in self.running if job.ends_at is not None and now >= job.ends_at]:
            self.running.remove(job)
            self._answer_plain(job, job.overdue(now))
        while self.waiting and len(self.running) < self.spec.capacity:
            job = self._next_waiting()
            self.waiting.remove(job)
            self.running.append(job)
            job.ends_at = now + self._slowness(now) * self.spec.work * self.rng.uniform(*WORK_RANGE)
            self._begin_run(job)

    # a model: all running requests advance by one token a step
    def _run_batch(self, now: timedelta) -> None:
        while self._step_ends_at is not None and now >= self._step_ends_at:
            step_end, self._step_ends_at = self._step_ends_at, None
            self._end_step(step_end)
            self._begin_step(step_end)
        if self._step_ends_at is None:
            self._begin_step(now)

    def _begin_step(self, now: timedelta) -> None:
        """Start the waiting requests that there is capacity for, and begin the next step of all that run."""
        while self.waiting and len(self.running) < self.spec.capacity:
            job = self._next_waiting()
            if self.running and self._pinned_tokens() + job.request.tokens[0] + job.made + len(self.running) >= self.spec.cache_tokens:
                break
            self.waiting.remove(job)
            self._start(job)
        if not self.running:
            return
        budget, self._prefill = self.spec.chunk, []
        for job in self.running:
            if job.unread and budget:
                tokens = min(budget, job.unread)
                budget -= tokens
                self._prefill.append((job, tokens))
        duration = self.spec.step + self.spec.per_slot * len(self.running)
        duration += (self.spec.chunk - budget) / self.spec.read * MS
        self._step_ends_at = now + duration * self._slowness(now)

    def _start(self, job: Job) -> None:
        hit = self.prefix_cache.acquire(job.request.parts)
        job.pinned_parts = tuple(part_id for part_id, _ in job.request.parts)
        job.unread = max(1, job.request.tokens[0] - hit + job.made)
        self.prefilled_tokens += job.unread
        self.running.append(job)
        self._free_memory()

    def _stop(self, job: Job) -> None:
        self.running.remove(job)
        self.prefix_cache.release(job.pinned_parts)
        job.pinned_parts = ()

    def _free_memory(self) -> None:
        """Evict cached parts while memory is short, then put the newest of the least urgent requests back into the queue."""
        limit = self.spec.cache_tokens
        if self.prefix_cache.evict(self._pinned_tokens() + self.prefix_cache.unused_tokens(), limit):
            return
        while len(self.running) > 1 and self._pinned_tokens() > limit:
            job = max(self.running, key=Job.rank)
            self._stop(job)
            job.unread = 0
            self.preemptions += 1
            self.waiting.append(job)

    def _end_step(self, now: timedelta) -> None:
        """Count what was read, and make one token of each request whose prompt is read."""
        for job in self._decoding_jobs():
            if job.overdue(now):
                self._stop(job)
                self._answer_overdue(job)
            else:
                self._make_token(job)
        self._free_memory()

    def _decoding_jobs(self) -> list[Job]:
        """Count what the step read; return the jobs that it made a token of: the first comes with the last of the prompt."""
        prefill, self._prefill = self._prefill, []
        reading = {id(job) for job in self.running if job.unread}
        for job, tokens in prefill:
            if job not in self.running:
                continue
            job.unread -= tokens
            if not job.unread:
                reading.discard(id(job))
                self.prefix_cache.mark_complete(job.pinned_parts)
        return [job for job in self.running if id(job) not in reading]

    def _make_token(self, job: Job) -> None:
        job.made += 1
        if job.run is None:
            self._begin_run(job)
        complete = job.made >= job.answer_tokens
        if job.made % self.spec.stride == 0 or complete:
            self._say_event(job)
        if complete and job in self.running:
            self._stop(job)
            self._end_stream(job)

    # answers
    def _begin_run(self, job: Job) -> None:
        job.run = f"{self.replica_id}.{job.number}"
        self._answers.append(RunBegan(job.key, job.run))

    def _success(self, job: Job) -> Head:
        """The head of a success, with the seal that it ought to have or, by a fault, without it."""
        assert job.run is not None
        return Head(job.key, 200, None if job.fault is AnswerFault.UNSEALED else seal(job.run, job.request.attempt))

    def _answer_overdue(self, job: Job) -> None:
        """Answer a request whose deadline passed: what never began is not run; what did is a failure of its own."""
        if job.run is None:
            self._answers.append(Refused(job.key, 503, None))
        elif job.made >= self.spec.stride:
            self._answers.append(Cut(job.key))
        else:
            self._answer_error(job, 504, OVERDUE_BODY)

    def _answer_error(self, job: Job, status: int, body: bytes) -> None:
        self._answers += [Head(job.key, status, None), Body(job.key, body), Ended(job.key)]

    def _say_event(self, job: Job) -> None:
        """Say an event that is full; a resumed stream leaves out those that its client has."""
        resumed_after = job.request.last
        number = -(-job.made // self.spec.stride)
        if number <= resumed_after:
            return
        if job.fault in SPOILING_FAULTS:
            self._stop(job)
            self._spoil(job)
            return
        if number in (resumed_after + 1, 1):
            self._answers.append(self._success(job))
        self._answers.append(StreamEvent(job.key, number, f"{job.run} {number}".encode()))
        if job.fault is AnswerFault.CUT and number > self._cut_after(job):
            self._stop(job)
            self._answers.append(Cut(job.key))

    def _cut_after(self, job: Job) -> int:
        """Return the number of the event in the middle of what is left of the stream."""
        events = event_count(job.request.body, job.request.tokens[1], self.spec.stride)
        return job.request.last + (events - job.request.last) // 2

    def _spoil(self, job: Job) -> None:
        match job.fault:
            case AnswerFault.FAIL:
                self._answer_error(job, 500, FAILED_BODY)
            case AnswerFault.GARBAGE:
                self._answers.append(Garbage(job.key))
            case AnswerFault.LOST:
                self._answers.append(Cut(job.key))

    def _end_stream(self, job: Job) -> None:
        if -(-job.answer_tokens // self.spec.stride) <= job.request.last:  # its client had all of it: nothing follows
            self._answers.append(self._success(job))
        self._end(job)

    def _answer_plain(self, job: Job, overdue: bool) -> None:
        if overdue:
            self._answer_error(job, 504, OVERDUE_BODY)
            return
        if job.fault in SPOILING_FAULTS:
            self._spoil(job)
            return
        assert job.run is not None
        body = plain_answer(job.run, job.request)
        self._answers.append(self._success(job))
        if job.fault is AnswerFault.CUT:
            self._answers += [Body(job.key, body[: len(body) // 2]), Cut(job.key)]
            return
        self._answers.append(Body(job.key, body))
        self._end(job)

    def _end(self, job: Job) -> None:
        self._answers.append(Ended(job.key))
        if job.fault in (AnswerFault.AGAIN, AnswerFault.LATE):
            self._answers.append(Surplus(job.key, job.fault is AnswerFault.LATE))
