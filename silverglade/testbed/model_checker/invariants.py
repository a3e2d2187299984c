"""The oracle of the model: what operators were told, and what must never be told after it.

It judges histories only: calls, answers, what cores tell daemons, which views were learnt and opened. It knows nothing
of how the control part works.
"""

from typing import NamedTuple

SAY_NOTHING = ("unknown", "elsewhere", "stale")


class Breach(NamedTuple):
    """An invariant that does not hold; `what` says by which facts."""

    rule: str
    what: str


class History(NamedTuple):
    """What matters of the past for what may be said from now on. Part of the state that is hashed."""

    acknowledged: tuple = ()  # (number, change, version, time), by number
    revealed: int = 0  # the highest number that any answer has shown to be in force
    refused: tuple = ()  # changes that were refused, (change, number in force by the answer)
    floors: tuple = ()  # (attempt, what had been revealed when it was sent)
    answering: tuple = ()  # (epoch, core that answered)
    views: tuple = ()  # (epoch, primary, backups)
    shown: tuple = ()  # (core, life, version told to daemons)


def put(rows, *row):
    return tuple(sorted({*rows, row}))


def found(rows, *start):
    """The row that begins so, or None."""
    return next((r for r in rows if r[: len(start)] == start), None)


def sent(history, attempt):
    """An operator sends a call."""
    if found(history.floors, attempt):
        return history
    return history._replace(floors=put(history.floors, attempt, history.revealed))


def number_of(text):
    """The number of a configuration's text; 0 before the first."""
    return int(text.split("/")[0]) if text else 0


def number_in_force(call, answer):
    """The number that an answer shows to be in force, or None where it shows none."""
    match answer:
        case ("ok", _, source):
            return number_of(source)
        case ("ok", _):
            return call.number
        case ("refuse", 501, said):
            return int(said.rsplit(" ", 1)[1])
    return None


def answered(history, call, attempt, answer, core, epoch, now):
    """An answer leaves a core; it may reach its operator at once -> (history, breach or None)."""
    if answer[0] in SAY_NOTHING:
        return history, None
    was = found(history.answering, epoch)
    if was and was[1] != core:
        return history, Breach("two-primaries", f"{was[1]} and {core} answered in epoch {epoch}")
    history = history._replace(answering=put(history.answering, epoch, core))
    number = number_in_force(call, answer)
    floor = found(history.floors, attempt)[1]
    if call.change and answer[0] == "ok":
        return acknowledged(history, call, answer[1], now)
    if call.change and answer[0] == "refuse":
        if any(c == call.change for _, c, *_ in history.acknowledged):
            return history, Breach("refused-after-acknowledged", f"{call.change}: {answer}")
        history = history._replace(refused=put(history.refused, call.change, number or 0))
    if number is not None and number < floor:
        return history, Breach("read-old", f"{answer} from {core}, {floor} was told before it was asked")
    if number and not call.change and not any(answer[2] == s for s in call.texts):
        return history, Breach("read-foreign", answer[2])
    for change, *_ in history.refused:
        if not call.change and change in answer[2]:
            return history, Breach("refused-in-force", f"{change} was refused; {answer[2]} is read")
    return history._replace(revealed=max(history.revealed, number or 0)), None


def acknowledged(history, call, version, now):
    for number, change, *_ in history.acknowledged:
        if change != call.change and number == call.number:
            return history, Breach("both-won", f"{change} and {call.change} on one base")
        if change != call.change and (number > call.number) != (found(history.acknowledged, number)[2] > version):
            return history, Breach("out-of-turn", f"{change} and {call.change}")
    if found(history.refused, call.change):
        return history, Breach("acknowledged-after-refused", call.change)
    if not found(history.acknowledged, call.number):
        history = history._replace(acknowledged=put(history.acknowledged, call.number, call.change, version, now))
    return history._replace(revealed=max(history.revealed, call.number)), None


def learnt(history, epoch, members):
    """A core takes a view for chosen."""
    was = found(history.views, epoch)
    if was and was[1:] != members:
        return history, Breach("two-views", f"epoch {epoch}: {was[1:]} and {members}")
    return history._replace(views=put(history.views, epoch, *members)), None


def opened(history, core, epoch, text):
    """A primary opens a view; `text` is what a read would then show, or None."""
    if history.acknowledged and text is not None:
        number, change, *_ = history.acknowledged[-1]
        if number_of(text) < number:
            return history, Breach("acknowledged-lost", f"{core} opens epoch {epoch} with {text!r}; {change} was acknowledged as {number}")
    return history, None


class Told(NamedTuple):
    """What a core tells a daemon: the version it shows, the number of the configuration, and when that was proved."""

    version: tuple
    number: int
    proved: object  # a time, or None


def told(history, core, life, news):
    """What a core would tell a daemon now."""
    was = found(history.shown, core, life)
    if was and news.version < was[2]:
        return history, Breach("shown-went-back", f"{core}: {was[2]}, then {news.version}")
    if news.proved is not None:
        for number, change, version, at in history.acknowledged:
            if at < news.proved and (news.version < version or news.number < number):
                return history, Breach(
                    "shown-old-with-proof", f"{core} tells {news.version}, number {news.number}; {number} was acknowledged before its proof"
                )
    if was and was[2] == news.version:
        return history, None
    rows = tuple(r for r in history.shown if r[0] != core)
    return history._replace(shown=put(rows, core, life, news.version)), None
