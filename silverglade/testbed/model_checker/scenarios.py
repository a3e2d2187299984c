"""Where explorations begin: cores with an open view, their operators' calls, and how much may go wrong.

Each is prepared by the ordinary schedule from empty disks: the first view forms, a configuration is acknowledged, all
cores lose power and start again, so that what follows is short to play. Then a few steps lead up to what is looked at.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from ...runtime.settings import tuning
from . import actions as act
from .records import BUDGETS
from .schedule import quiet, run

BEAT = timedelta(milliseconds=500)
SETTLE = 1.5  # seconds: so that seekers begin at different ticks, and one comes through
NEW_PLACE = ("zf", "x")  # of machines that come later
SITES = {
    3: {"a": ("za", "x"), "b": ("zb", "y"), "c": ("zc", "z")},
    5: {"a": ("za", "x"), "b": ("zb", "y"), "c": ("zc", "z"), "d": ("zd", "x"), "e": ("ze", "y")},
}
TOLERANCE = {3: (1, 1, 1), 5: (2, 1, 1)}


class OperatorCall(NamedTuple):
    """A call as operators make it. number: what a change would be; texts: what a read may show."""

    change: str
    op: tuple
    number: int = 0
    texts: tuple = ()


def change(name, *, base, number):
    text = f"{number}/{name}"
    config = {"zones": {"za": {"region": "x"}}, "tenants": {}, "number": number}
    return OperatorCall(name, ("table", base, number, config, text), number)


FIRST = change("first", base=0, number=1)
ONE, OTHER = change("one", base=1, number=2), change("other", base=1, number=2)
NEXT = change("next", base=2, number=3)
BEHIND = change("behind", base=0, number=1)
READ = OperatorCall("", ("read",), texts=tuple(c.op[4] for c in (FIRST, ONE, OTHER, NEXT)))


@dataclass(frozen=True)
class Scenario:
    """A beginning and its bounds. budgets: how often each kind of trouble may come; missing: never."""

    name: str
    cores: int
    about: str
    calls: tuple = (FIRST, ONE, READ)
    budgets: dict = field(default_factory=dict)
    leading_up: Callable | None = None  # (world, state) -> state
    deviations: int = 1  # that a run explores unless it is told otherwise
    restarts: bool = True  # may a core that is down start again?
    newcomers: tuple = ()  # new machines that may start at any time
    failing: tuple = ()  # cores that may fail; none named: all
    opt: dict = field(default_factory=lambda: tuning(settle=SETTLE))
    beat: timedelta = BEAT
    silence: int = 4  # ticks after which a silent core counts as lost

    @property
    def places(self):
        return {**SITES[self.cores], **{name: NEW_PLACE for name in self.newcomers}}

    @property
    def tolerance(self):
        return TOLERANCE[self.cores]

    @property
    def formers(self):
        return ("a", "b", "c")

    def limits(self):
        return tuple(self.budgets.get(b, 0) for b in BUDGETS)

    def prepared(self, world):
        """The state in which exploring begins."""
        state = world.empty()
        up = [name for name in world.names if name not in self.newcomers]
        state = after(world, state, *map(act.Start, up))
        state = run(world, state, until=lambda s: whole(world, s))
        state, _ = world.apply(state, act.Call(0, primary(world, state)))
        state = run(world, state, until=lambda s: acknowledged(world, s, 1) and quiet(world, s))
        state = run(world, state, ticks=3)
        state = after(world, state, *(act.Crash(name, 0) for name in up), *map(act.Start, up))
        state = run(world, state, until=lambda s: whole(world, s) and quiet(world, s))
        state = run(world, state, ticks=3)
        state = self.leading_up(world, state) if self.leading_up else state
        return state._replace(spent=(0,) * len(BUDGETS))


def primary(world, state):
    history = world.history[state.history]
    return history.views[-1][1]


def acknowledged(world, state, number):
    return any(n == number for n, *_ in world.history[state.history].acknowledged)


def whole(world, state):
    """Do all cores know the newest view, with as many backups as wanted, and is it proved to be in force?"""
    views = world.history[state.history].views
    nodes = [world.node[i] for n, i in zip(world.names, state.nodes) if n not in world.s.newcomers]
    if not views or len(views[-1]) - 2 != max(world.s.tolerance) or any(n.epoch != views[-1][0] for n in nodes):
        return False
    return views[-1][0] > (1 if len(nodes) > 3 else 0) and quiet(world, state) and state.tick > 2


def members(world, state):
    """-> (primary, its backups) of the newest view that any core said it knows."""
    _, primary_name, *backups = world.history[state.history].views[-1]
    return primary_name, backups


def after(world, state, *actions):
    """The state after these actions, of which none may break anything."""
    for action in actions:
        state, breach = world.apply(state, action)
        assert breach is None, breach
    return state


def flying(world, kind, to=""):
    """A condition: is a message of this kind in flight?"""
    return lambda state: bool(messages(world, state, kind, to))


def messages(world, state, kind, to=""):
    """Those of a kind in flight, to one core or all."""
    found = [world.message[i] for i in state.flight]
    return [m for m in found if m.kind == kind and to in ("", m.to)]


def a_change_in_flight(world, state):
    """The primary has taken a change and is writing it."""
    name, _ = members(world, state)
    state = after(world, state, act.Call(1, name))
    return after(world, state, act.Deliver(*messages(world, state, "op")[0]))


def a_change_for_the_backup(world, state):
    """The primary has synced a change and sent it to its backups."""
    return run(world, a_change_in_flight(world, state), until=flying(world, "repl"))


def a_change_that_one_backup_lacks(world, state):
    """A change is on its way to all backups; to the last of them it is late."""
    state = a_change_in_flight(world, state)
    last = members(world, state)[1][-1]
    state = run(world, state, until=flying(world, "repl", last))
    return after(world, state, act.Hold(*messages(world, state, "repl", last)[0]))


def a_late_change_of_a_mute_primary(world, state):
    """Nobody hears the primary any more, but it hears the others; a change of before is still on its way to the backup."""
    name, backups = members(world, state)
    state = a_change_that_one_backup_lacks(world, state)
    state = after(world, state, act.Cut(name, "", "out"))
    return run(world, state, until=flying(world, "snap"))


def two_seek(world, state):
    """Primary and backup have lost each other; each seeks the next view, and the primary is the first to ask for votes."""
    name, backups = members(world, state)
    state = after(world, state, *(act.Cut(name, b) for b in backups))
    return run(world, state, until=flying(world, "prep"))


def one_of_two_is_ahead(world, state):
    """As above, and the primary has just learnt that its view is chosen; the backup has not."""
    state = two_seek(world, state)
    return run(world, state, until=lambda s: world.history[s.history].views[-1][0] > 1)


def an_overtaken_primary(world, state):
    """The primary is cut off from all; the others have a view of their own, and a change was acknowledged in it."""
    name, _ = members(world, state)
    state = after(world, state, act.Cut(name, ""))
    state = run(world, state, until=lambda s: members(world, s)[0] != name and opened(world, s))
    state = after(world, state, act.Call(1, members(world, state)[0]))
    return run(world, state, until=lambda s: acknowledged(world, s, 2) and quiet(world, s))


def a_copy_that_comes_late(world, state):
    """All cores lost power and started; a second copy of the snapshot that opened the view has not come yet."""
    state = after(world, state, *(act.Crash(n, 0) for n in world.names), *(act.Start(n) for n in world.names))
    state = run(world, state, until=flying(world, "snap"))
    copies = messages(world, state, "snap")
    state = after(world, state, *(act.Deliver(*m, True) for m in copies))
    state = run(world, state, until=lambda s: opened(world, s) and quiet(world, s))
    return a_change_in_flight(world, state)


def opened(world, state):
    """Has the newest view been opened since it was learnt or its primary started?"""
    return bool(world.opened_by(state))


STARTING = {
    s.name: s
    for s in (
        Scenario(
            "a change",
            3,
            "the primary writes a change; another on the same base and a read follow; a core may fail or lose its disk",
            calls=(FIRST, ONE, OTHER, READ),
            budgets={"ticks": 12, "crashes": 1, "losses": 1, "cuts": 1, "holds": 1, "calls": 2},
            leading_up=a_change_in_flight,
        ),
        Scenario(
            "late change",
            3,
            "a change reaches the backup after that has begun to seek the next view; a core may lose its disk",
            calls=(FIRST, ONE),
            budgets={"ticks": 8, "losses": 1},
            leading_up=a_late_change_of_a_mute_primary,
        ),
        Scenario(
            "rivals",
            3,
            "primary and backup each seek the next view and share one witness, which may lose its disk",
            calls=(FIRST,),
            budgets={"ticks": 3, "losses": 1, "holds": 1, "repeats": 1},
            leading_up=two_seek,
        ),
        Scenario(
            "wiped witness",
            3,
            "the witness that two seekers share loses its disk after it has voted",
            calls=(FIRST,),
            budgets={"ticks": 3, "losses": 1, "holds": 1},
            leading_up=one_of_two_is_ahead,
            failing=("c",),
            deviations=2,
        ),
        Scenario(
            "power and disk",
            3,
            "one member loses power with writes under way, the other its disk, while a change comes to the backup",
            calls=(FIRST, ONE),
            budgets={"ticks": 8, "crashes": 1, "losses": 1},
            leading_up=a_change_for_the_backup,
            failing=("a", "b"),
            deviations=2,
        ),
        Scenario(
            "frozen",
            3,
            "a core stands still for any time while a change is written, and goes on with what it heard before",
            calls=(FIRST, ONE, OTHER, READ),
            budgets={"ticks": 7, "freezes": 1, "calls": 1},
            leading_up=a_change_in_flight,
            deviations=2,
        ),
        Scenario(
            "new machine",
            3,
            "a new machine joins at any time while a change is written; a core may lose its disk",
            calls=(FIRST, ONE),
            budgets={"ticks": 14, "losses": 1},
            leading_up=a_change_in_flight,
            newcomers=("d",),
        ),
        Scenario(
            "overtaken",
            3,
            "a cut-off primary is asked, while the others have gone on",
            calls=(FIRST, ONE, BEHIND, READ),
            budgets={"ticks": 3, "holds": 1, "calls": 2},
            leading_up=an_overtaken_primary,
            deviations=2,
        ),
        Scenario(
            "late copy",
            3,
            "a second copy of the opening snapshot comes at any time during or after a change; a core may lose its disk",
            calls=(FIRST, ONE),
            budgets={"ticks": 14, "losses": 1},
            leading_up=a_copy_that_comes_late,
            restarts=False,
        ),
        Scenario(
            "five at work",
            5,
            "as with three: a change under way, another on the same base, a read; two cores may lose their disks",
            calls=(FIRST, ONE, OTHER, READ),
            budgets={"ticks": 14, "crashes": 1, "losses": 2, "cuts": 1, "holds": 1, "calls": 2},
            leading_up=a_change_in_flight,
            restarts=False,
        ),
        Scenario(
            "two backups",
            5,
            "a change reaches one of two backups late; two cores may lose their disks",
            calls=(FIRST, ONE, OTHER, READ),
            budgets={"ticks": 12, "losses": 2},
            leading_up=a_change_that_one_backup_lacks,
            restarts=False,
            failing=("a", "b"),
            deviations=2,
        ),
    )
}
