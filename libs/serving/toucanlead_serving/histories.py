"""Histories: the turns before a new one, and a cache of the turns that passed through here."""

from collections import OrderedDict

from attrs import define, field, frozen

from toucanlead_peer.serving_interfaces import Turn

CACHE_BYTES = 6_000_000  # about a thousand turns of 5 kB


@define
class TurnCache:
    """LRU cache of the turns that recently passed through this entry, limited in bytes."""

    limit_bytes: int = CACHE_BYTES
    size: int = 0
    _turns: OrderedDict[str, Turn] = field(factory=OrderedDict)

    def get(self, ident: str) -> Turn | None:
        """Return a turn and mark it as most recently used."""
        turn = self._turns.get(ident)
        if turn is not None:
            self._turns.move_to_end(ident)
        return turn

    def put(self, turn: Turn) -> None:
        """Add a turn, evicting the least recently used ones above the limit."""
        if turn.ident in self._turns:
            return
        self._turns[turn.ident] = turn
        self.size += turn.size
        while self.size > self.limit_bytes and len(self._turns) > 1:
            _, evicted = self._turns.popitem(last=False)
            self.size -= evicted.size


@frozen
class History:
    """The turns before a new one, newest first; empty for a turn that begins a chain."""

    turns: tuple[Turn, ...] = ()

    @property
    def text(self) -> bytes:
        """Return the inputs and outputs of the turns, oldest first."""
        return b''.join(part for turn in reversed(self.turns) for part in (turn.input, turn.output))

    def up_to(self, ident: str) -> tuple[Turn, ...]:
        """Return a turn and those before it, empty if it is not among them."""
        idents = [turn.ident for turn in self.turns]
        return self.turns[idents.index(ident) :] if ident in idents else ()


NO_HISTORY = History()
