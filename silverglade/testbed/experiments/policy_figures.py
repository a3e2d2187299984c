"""What became of the requests of a day of `policy_day.py`, and how it is printed."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from statistics import mean, stdev


@dataclass(slots=True)
class Figures:
    """What became of the requests of one day."""

    ended: Counter = field(default_factory=Counter)  # (kind, region, outcome) -> how many
    seconds: dict = field(default_factory=lambda: defaultdict(Counter))  # second -> outcomes
    owed: float = 0.0
    earned: float = 0.0
    arrivals: Counter = field(default_factory=Counter)  # replica -> requests
    deadlines: int = 0  # tries that ran into their deadline
    connections: int = 0
    read: int = 0  # prompt tokens that replicas read
    least: int = 0  # what would have been read if no shared part had been read twice

    def busiest(self, service):
        """The replica with most requests, over the mean."""
        counts = [n for replica, n in self.arrivals.items() if replica.startswith(service)]
        return max(counts) / mean(counts) if counts else 0.0

    def table(self):
        by_kind = defaultdict(Counter)
        for (kind, region, outcome), n in self.ended.items():
            by_kind[f"{kind} {region}"][outcome] += n
        windows = [c["in-aim"] / n for s, c in sorted(self.seconds.items()) if (n := sum(c.values())) > 9]
        return dict(
            worth=round(self.earned / max(1e-9, self.owed), 4),
            worst=round(mean(sorted(windows)[:2]), 4) if windows else 0.0,
            to_deadline=self.deadlines,
            connections=self.connections,
            read_again=max(0, self.read - self.least),
            busiest={s: round(self.busiest(s), 3) for s in sorted({r.rsplit("-", 1)[0] for r in self.arrivals})},
            kinds={k: dict(sorted(c.items())) for k, c in sorted(by_kind.items())},
        )


COLUMNS = ("worth", "spread", "worst", "late", "failed", "to deadline", "read again", "new conns")
HEAD = f"{'day':28}" + "".join(f"{c:>12}" for c in COLUMNS) + "  busiest over mean"


def line(day, rows):
    """One day's row of the table: means over its seeds."""
    outcomes = [sum((Counter(k) for k in r["kinds"].values()), Counter()) for r in rows]
    worth = [r["worth"] for r in rows]
    failed = mean(sum(n for o, n in c.items() if o not in ("in-aim", "late")) for c in outcomes)
    figures = (
        f"{mean(worth):.4f}",
        f"{stdev(worth) if len(worth) > 1 else 0:.4f}",
        f"{mean(r['worst'] for r in rows):.3f}",
        f"{mean(c['late'] for c in outcomes):.0f}",
        f"{failed:.0f}",
        f"{mean(r['to_deadline'] for r in rows):.0f}",
        f"{mean(r['read_again'] for r in rows):.0f}",
        f"{mean(r['connections'] for r in rows):.0f}",
    )
    busiest = (f"{s} {mean(r['busiest'][s] for r in rows):.2f}" for s in rows[0]["busiest"])
    return f"{day:28}" + "".join(f"{x:>12}" for x in figures) + "  " + " ".join(busiest)
