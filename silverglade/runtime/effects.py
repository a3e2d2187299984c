"""Parts: sans-IO generators (design 1.2).

A part is primed, then sent (now, event) and yields a tuple of effects. Events and
effects are tuples whose first word says what they are. `now` is a timedelta on a
monotonic clock. Effects that a hub settles itself:
  ("post", part, event)   to one part of the same daemon
  ("cast", event)         to every part of the same daemon
  ("due", time)           no pulse is wanted before that, unless another event comes (1.5)
and those that leave it: ("send", daemon, body), ("disk", token, ops), ("log", event, pairs),
("dispatch", ...), ("abort", did), ("result", ...), ("reply", ...), ("probe", ...).
"""

from datetime import timedelta

ZERO = timedelta(0)
IDLE = timedelta(days=1000000)  # a due time: until something happens


def start(gen):
    gen.send(None)
    return gen


def to_milliseconds(t):
    return int(t / timedelta(milliseconds=1))


def milliseconds(n):
    return timedelta(milliseconds=n)


def send(to, *body):
    return ("send", to, body)


def post(part, *ev):
    return ("post", part, ev)


def log(event, **kw):
    return ("log", event, tuple(kw.items()))
