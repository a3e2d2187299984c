"""What a core writes and sends of its store (design 5.4)."""

from ..part import ZERO, log, ms
from . import book as bk


class Writes:
    """A core's writes under way, and whether its disk takes them: slow, full or failing it does not.

    A core that leaves (SIGTERM) says the same of itself, so that it is replaced before it is gone.
    """

    def __init__(self, *, opt):
        self.opt, self.n, self.wait, self.able, self.leaving, self.probe = opt, 0, {}, True, False, ZERO

    @property
    def fit(self):
        return self.able and not self.leaving

    def put(self, todo, then, now):
        self.n += 1
        self.wait[self.n] = (now, then)
        return ("disk", ("control", self.n), tuple(todo))

    def look(self, now):
        """-> effects: a log line when a write has taken too long, a trial write of a disk that was unfit."""
        if self.able and any(now - t > self.opt["disk_stall"] for t, _ in self.wait.values()):
            self.able = False
            yield log("disk-stalled")
        if not self.able and not self.wait and now - self.probe > self.opt["disk_stall"]:
            self.probe = now
            yield self.put(keep(alive=ms(now)), None, now)

    def ended(self, n, ok, now):
        """-> what was to follow, and effects."""
        _, then = self.wait.pop(n, (now, None))
        if self.able == ok or ok and self.wait:
            return then, ()
        self.able = ok
        return then, (log("disk-fit" if ok else "disk-fault"),)


def keep(**kw):
    return [("put", "meta", k, v) for k, v in kw.items()]


def whole(store):
    return [("wipe", "book")] + [("put", "book", k, v) for k, v in store.items()]


def changed(items, gone, tab="book"):
    return [("put", tab, k, (v, x)) for k, v, x in items] + [("del", tab, k) for k in gone]


def rows(store, since=bk.START):
    """All that is newer than `since`, as it travels."""
    return tuple(sorted((k, v, x) for k, (v, x) in store.items() if v > since))


def take(store, items):
    """Changes into the store -> keys that go, on primary and backup alike."""
    store.update({k: (v, x) for k, v, x in items})
    gone = bk.pruned(store)
    for k in gone:
        del store[k]
    return gone


def show(book, items):
    """What was acknowledged into what may be told; the newer of each key stays -> what is to be written of it."""
    new = [(k, v, x) for k, v, x in items if v > book.get(k, (bk.START,))[0]]
    return changed(new, take(book, new), "shown") if new else []
