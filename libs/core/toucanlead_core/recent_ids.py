"""Bounded set of ids."""

from attrs import define, field


@define
class RecentIds:
    """The ids that were added last, at most `limit` of them."""

    limit: int
    _idents: dict[str, None] = field(factory=dict)

    def __contains__(self, ident: str) -> bool:
        return ident in self._idents

    def add(self, *idents: str) -> None:
        """Add ids; the oldest above the limit are forgotten."""
        for ident in idents:
            self._idents.pop(ident, None)
            self._idents[ident] = None
        while len(self._idents) > self.limit:
            del self._idents[next(iter(self._idents))]
