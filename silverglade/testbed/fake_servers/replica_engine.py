"""The model of a replica (design 15): batches, prompts read in pieces, kept parts, troubles. Pure and seeded.

Sent a request, a hang-up or the time, it gives back what it says, as tuples:
  ("refuse", key, status, wait_s)   turned away: not run, and never will be
  ("run", key, run)                 work began: a stream with its first token
  ("head", key, status, seal)       seal: None when it is missing
  ("event", key, n, data)           one event of a stream, several tokens in it
  ("body", key, data)               a plain answer's bytes
  ("end", key)                      the answer is whole
  ("cut", key)                      the connection ends here, whatever was said
  ("garbage", key)                  bytes that are no answer, then the connection ends
  ("more", key, when)               behind a whole answer a second one is sent, at once or late
  ("fell",)                         the replica ended
`key` is the caller's word for one request on one connection.
"""

import random
from collections import OrderedDict, deque

from ...runtime.effects import ZERO, to_milliseconds
from .request_format import KINDS, MS, SEC, Job, answer, length, pieces, word

STALE = 100 * MS  # how old a report is


class Engine:
    def __init__(self, *, rid, spec, seed, warm=True, now=ZERO):
        self.rid, self.s, self.rng = rid, spec, random.Random(f"{rid}/{seed}")
        self.up, self.dark, self.liar, self.troubles = True, False, False, {}
        self.cold_till = ZERO if warm else now + spec.cold
        self.going = self.gone = None  # since when it drains; when it will be gone
        self.waiting, self.running, self.kept = [], [], OrderedDict()  # kept: part -> [tokens, users, read?]
        self.num, self.took, self.read, self.again = 0, 0, 0, 0  # counts for reports and figures
        self.turn, self.pace = None, None  # when this step ends; what it reads
        self.came, self.seen, self.out, self.mail = deque(), deque(), [], []

    # what it says of itself
    def cold(self, now):
        return max(ZERO, self.cold_till - now)

    def health(self, now):
        """-> (is it well?, ms that it stays cold). A liar says that it is well whatever it does."""
        well = self.going is None and len(self.waiting) < self.s.queue and not self.troubles.get("fail")
        return well or self.liar, to_milliseconds(self.cold(now))

    def report(self, now):
        """-> waiting, running, memory in use, memory, as they stood a while ago."""
        self.glance(now)
        return next((r for t, r in reversed(self.seen) if now - t >= STALE), (0, 0, 0, self.s.cache_tokens))

    def glance(self, now):
        if not self.seen or now - self.seen[-1][0] >= STALE / 4:
            self.seen.append((now, (len(self.waiting), len(self.running), self.pinned(), self.s.cache_tokens)))
            while now - self.seen[0][0] > SEC:
                self.seen.popleft()

    def pinned(self):
        return sum(t for t, users, _ in self.kept.values() if users) + sum(map(self.own, self.running))

    @staticmethod
    def own(j):
        """Memory of a request beyond the parts of its prompt that are named."""
        return max(0, j.a.tokens[0] - sum(t for _, t in j.a.parts)) + j.made

    # orders from outside
    def said(self):
        out, self.out = tuple(self.out), []
        return out

    def drain(self, now, left=None):
        """It is to leave: in its own time, or at short notice when `left` says how soon it is gone."""
        self.going = self.going or now
        if left is not None:
            self.gone = now + left

    def crash(self):
        self.up = False
        self.out += [("cut", j.key) for j in (*self.running, *self.waiting)] + [("fell",)]
        self.running, self.waiting, self.kept, self.turn = [], [], OrderedDict(), None
        return self.said()

    def freeze(self):
        """Dark: it takes what comes and says nothing, until it is awake again."""
        self.dark = True

    def wake(self, now):
        self.dark, mail, self.mail = False, self.mail, []
        self.turn = self.turn and max(self.turn, now)
        got = [x for fn, *a in mail for x in fn(now, *a)]
        return (*got, *self.tick(now))

    def chill(self, now):
        """Cold again, at any moment."""
        self.cold_till = now + self.s.cold

    def hangup(self, now, key):
        """The connection of a request closed: it is dropped."""
        if self.dark:
            self.mail.append((self.hangup, key))
            return ()
        self.waiting = [j for j in self.waiting if j.key != key]
        for j in [j for j in self.running if j.key == key and (self.s.drops or j.run is None)]:
            self.leave(j)
        return self.tick(now)

    def ask(self, now, key, a):
        if not self.up:
            return (("cut", key),)
        if self.dark:
            self.mail.append((self.ask, key, a))
            return ()
        self.num += 1
        if not a.attempt:
            return (("refuse", key, 400, None),)
        if a.expect and a.expect != self.rid:
            return (("refuse", key, 421, None),)
        if self.cold(now):
            self.came.append(now)
            while now - self.came[0] >= SEC:
                self.came.popleft()
            if len(self.came) > self.s.falls * self.s.cold_per_s + 1:
                return self.crash()
        out = length(a.body, a.tokens[1])
        trouble = next((k for k in KINDS if self.rng.random() < self.troubles.get(k, 0.0)), "")
        j = Job(key=key, a=a, n=self.num, now=now, out=out, trouble=trouble)
        if a.tokens[0] + out > self.s.cache_tokens or a.left is not None and a.left <= ZERO:
            return (("refuse", key, 503, None),)
        if len(self.waiting) >= self.s.queue:
            last = max(self.waiting, key=Job.rank)
            if last.urgency <= j.urgency:
                return (("refuse", key, 503, self.wait()),)
            self.waiting.remove(last)
            self.out.append(("refuse", last.key, 503, self.wait()))
        self.waiting.append(j)
        self.took += 1
        return self.tick(now)

    def wait(self):
        """When one who is turned away may come back, in seconds."""
        return round(0.1 + 0.5 * len(self.waiting) / max(1, self.s.queue), 2)

    # time
    def due(self):
        """When it next has something to do."""
        if not self.up or self.dark:
            return None
        ts = [j.till for j in self.waiting if j.till is not None] + [t for t in (self.turn, self.gone) if t is not None]
        ts += [j.end for j in self.running if j.end is not None]
        return min(ts, default=None)

    def tick(self, now):
        """All that is due by now."""
        if not self.up or self.dark:
            return self.said()
        if self.gone is not None and now >= self.gone:
            return self.crash()
        for j in [j for j in self.waiting if j.till is not None and now >= j.till]:
            self.waiting.remove(j)
            self.out.append(("refuse", j.key, 503, None))
        if self.s.work:
            self.plain(now)
        else:
            self.batch(now)
        self.glance(now)
        return self.said()

    def plain(self, now):
        for j in [j for j in self.running if now >= j.end]:
            self.running.remove(j)
            self.whole(j, j.till is not None and now > j.till)
        while self.waiting and len(self.running) < self.s.capacity:
            j = min(self.waiting, key=Job.rank)
            self.waiting.remove(j)
            self.running.append(j)
            j.end = now + self.slow(now) * self.s.work * self.rng.uniform(0.5, 1.6)
            self.begin(j)

    def slow(self, now):
        return self.s.speed * (self.s.cold_x if self.cold(now) else 1.0)

    def batch(self, now):
        while self.turn is not None and now >= self.turn:
            at, self.turn = self.turn, None
            self.step(at)
            self.start(at)
        if self.turn is None:
            self.start(now)

    def start(self, now):
        """Let in whom there is room for, and begin the next step of all who run."""
        while self.waiting and len(self.running) < self.s.capacity:
            j = min(self.waiting, key=Job.rank)
            if self.running and self.pinned() + j.a.tokens[0] + j.made + len(self.running) >= self.s.cache_tokens:
                break
            self.waiting.remove(j)
            self.enter(j)
        if not self.running:
            return
        room, self.pace = self.s.chunk, []
        for j in self.running:
            if j.unread and room:
                n = min(room, j.unread)
                room -= n
                self.pace.append((j, n))
        took = self.s.step + self.s.per_slot * len(self.running)
        took += (self.s.chunk - room) / self.s.read * MS
        self.turn = now + took * self.slow(now)

    def enter(self, j):
        """What is kept of its prompt, all before it being kept too, is not read again."""
        hit, kept = 0, True
        for p, t in j.a.parts:
            row = self.kept.setdefault(p, [t, 0, False])
            kept = kept and row[2]
            hit += t if kept else 0
            row[1] += 1
            self.kept.move_to_end(p)
        j.held = tuple(p for p, _ in j.a.parts)
        j.unread = max(1, j.a.tokens[0] - hit + j.made)
        self.read += j.unread
        self.running.append(j)
        self.squeeze()

    def leave(self, j):
        self.running.remove(j)
        for p in j.held:
            if p in self.kept:
                self.kept[p][1] -= 1
                if self.kept[p][1:] == [0, False]:
                    del self.kept[p]  # it was never read whole
        j.held = ()

    def squeeze(self):
        """Memory is short: parts unused longest give way, then the newest of the least urgent."""
        used = self.pinned() + sum(t for t, users, _ in self.kept.values() if not users)
        for p in [p for p, (_, users, _) in self.kept.items() if not users]:
            if used <= self.s.cache_tokens:
                return
            used -= self.kept.pop(p)[0]
        while len(self.running) > 1 and self.pinned() > self.s.cache_tokens:
            j = max(self.running, key=Job.rank)
            self.leave(j)
            j.unread = 0
            self.again += 1
            self.waiting.append(j)

    def step(self, now):
        """One token for each whose prompt is read; the pieces read meanwhile count."""
        read, self.pace = self.pace, []
        busy = {id(j) for j in self.running if j.unread}
        for j, n in read:
            if j in self.running:
                j.unread -= n
                if not j.unread:
                    busy.discard(id(j))  # its first token comes with the last of its prompt
                    for p in j.held:
                        self.kept[p][2] = True
        for j in [j for j in self.running if id(j) not in busy]:
            if j.till is not None and now > j.till:
                self.leave(j)
                self.overdue(j)
                continue
            j.made += 1
            if j.run is None:
                self.begin(j)
            if j.made % self.s.stride == 0 or j.made >= j.out:
                self.tell(j)
            if j.made >= j.out and j in self.running:
                self.leave(j)
                self.close(j)
        self.squeeze()

    # answers
    def begin(self, j):
        j.run = f"{self.rid}.{j.n}"
        self.out.append(("run", j.key, j.run))

    def seal(self, j):
        return None if j.trouble == "unsealed" else word("seal", j.run, j.a.attempt)

    def overdue(self, j):
        """Its deadline passed: what never began is not run; what did is a failure of its own."""
        if j.run is None:
            self.out.append(("refuse", j.key, 503, None))
        elif j.made >= self.s.stride:
            self.out.append(("cut", j.key))
        else:
            self.out += [("head", j.key, 504, None), ("body", j.key, b"overdue"), ("end", j.key)]

    def tell(self, j):
        """An event is full. One that goes on behind another run's events leaves those out."""
        n = -(-j.made // self.s.stride)
        first = n == j.a.last + 1 or n == 1
        if n <= j.a.last:
            return None
        if j.trouble in ("fail", "garbage", "lost"):
            self.leave(j)
            return self.spoil(j)
        if first:
            self.out.append(("head", j.key, 200, self.seal(j)))
        self.out.append(("event", j.key, n, f"{j.run} {n}".encode()))
        if j.trouble == "cut" and n > j.a.last + (pieces(j.a.body, j.a.tokens[1], self.s.stride) - j.a.last) // 2:
            self.leave(j)
            self.out.append(("cut", j.key))
        return None

    def spoil(self, j):
        self.out += {
            "fail": [("head", j.key, 500, None), ("body", j.key, b"failed"), ("end", j.key)],
            "garbage": [("garbage", j.key)],
            "lost": [("cut", j.key)],
        }[j.trouble]

    def close(self, j):
        if -(-j.out // self.s.stride) <= j.a.last:  # it was whole already: nothing follows
            self.out.append(("head", j.key, 200, self.seal(j)))
        self.end(j)

    def whole(self, j, late):
        if late:
            self.out += [("head", j.key, 504, None), ("body", j.key, b"overdue"), ("end", j.key)]
            return None
        if j.trouble in ("fail", "garbage", "lost"):
            return self.spoil(j)
        body = answer(j.run, j.a)
        self.out.append(("head", j.key, 200, self.seal(j)))
        if j.trouble == "cut":
            self.out += [("body", j.key, body[: len(body) // 2]), ("cut", j.key)]
            return None
        self.out.append(("body", j.key, body))
        return self.end(j)

    def end(self, j):
        self.out.append(("end", j.key))
        if j.trouble in ("again", "late"):
            self.out.append(("more", j.key, j.trouble))
