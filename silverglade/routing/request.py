"""What the forwarding part holds of one request (design 15.3)."""

from collections import Counter

from ..runtime.effects import milliseconds, to_milliseconds


class Request:
    """One try of a client, from its head to its end.

    rid: its name in this daemon; f: its facts, as the face read them; due: until when it is worked on, own_due: its own
    deadline, also beyond the daemon's end; tried: the replicas that were asked; sent: tries that count towards the route's
    most, neither unsent nor turned away by another life; arrivals: what reached any replica, also one that turned it
    away, which is what the retry budget counts; unreached: region -> how many of its replicas took no connection for it;
    at: when the last replica got it; begun: was a stream's head passed on; last: its last event; live: number of a try
    under way -> its replica; why: what ended the last try; weight: its work in tokens; prompt: what there is to
    read, of a long one; question: to the ledgers of its replicas; reading: where it is noted as read, until its first token.
    """

    __slots__ = tuple(
        "rid f route service born due own_due tried n sent arrivals unreached at begun last live why weight prompt question reading".split()
    )

    def __init__(self, rid, f, now):
        self.rid, self.f, self.born = rid, f, now
        self.route = self.service = self.at = None
        self.due, self.own_due, self.tried, self.n = now, now, set(), 0
        self.sent = self.arrivals = 0
        self.unreached = Counter()
        self.begun, self.last = False, f["last_event"]
        self.live, self.why, self.weight = {}, "", 0.0
        self.prompt = self.question = self.reading = None

    @property
    def again(self):
        """May it run more than once?"""
        return self.route["kind"] == "pure" or self.route["kind"] == "streaming" and self.route["resumable"]


def work_of(facts):
    """Work in tokens: reading a prompt costs less a token than making an answer (design 15.5)."""
    tokens_in, tokens_out = facts["tokens"] or (0, 0)
    return tokens_in / 8 + tokens_out or 1.0


def patience(q):
    """How long a replica may say nothing to anybody before others go first, and what may be repeated leaves it (15.3)."""
    return milliseconds(max(250, 0.8 * q.route["aim_ms"] + (q.f["tokens"] or (0, 0))[0] / 20))


def pause(q):
    """The same once events come."""
    return milliseconds(max(250, 0.6 * q.route["gap_ms"])) if q.route["gap_ms"] else None


def described(q, replica, service, *, left, near, edges, opt):
    """One try as the shell is told of it (`Try` in daemon/forwarding.py). left: of its deadline; near: in the own region."""
    watched = "silence" not in opt["without"]
    return dict(
        replica=replica.id,
        addr=replica.addr,
        service=q.service,
        expect=True,
        urgency=None if "urgency" in opt["without"] else min(9, 4 + q.route["rank"]),
        deadline_ms=to_milliseconds(left),
        last_event=q.last,
        resume=q.begun,
        connect=opt["connect_near"] if near else opt["connect_wait"],
        patience=patience(q) if watched else None,
        pause=pause(q) if watched else None,
        cap=max(1, service["conns"] // max(1, edges)),
        stream=q.route["kind"] == "streaming",
    )
