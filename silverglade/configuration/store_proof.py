"""What a component knows of the age of this daemon's store (design 5.7)."""

from __future__ import annotations

from datetime import timedelta


class StoreProof:
    """The last proof that this daemon's store is the newest.

    A pause of the process drops the proof: what the store says may have been changed since, and nothing that a client was sent since
    may be judged by it. A daemon that has started and not had any proof yet is not in doubt: it may be all that is left after a power
    failure everywhere, and its store is one that a core handed out since it started.

    :ivar proved_at: the last time at which the store was proved to be the newest; None without a proof.
    :ivar is_dropped: whether a proof was dropped, and none has taken its place.
    """

    __slots__ = ("is_dropped", "proved_at")

    def __init__(self) -> None:
        self.proved_at: timedelta | None = None
        self.is_dropped = False

    def renew(self, proved_at: timedelta | None) -> None:
        """Take over a new proof, or drop the present one if `proved_at` is None."""
        self.is_dropped = proved_at is None and (self.is_dropped or self.proved_at is not None)
        self.proved_at = proved_at

    def is_younger_than(self, age: timedelta, now: timedelta) -> bool:
        """Return whether there is a proof that is at most this old."""
        return self.proved_at is not None and now - self.proved_at <= age
