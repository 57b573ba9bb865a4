"""What may still be refunded for grants that are no longer outstanding."""

ROUNDING_TOLERANCE = 1e-6
"""Tokens, or share of tokens, below which a difference is rounding."""


class RefundAllowances:
    """What may still be refunded for each grant that is no longer outstanding.

    All rights shrink by one common factor, which is kept apart so that shrinking
    takes constant time.
    """

    __slots__ = ("_bases_by_id", "_factor", "_prune_at", "total")

    _PRUNE_LENGTH = 64

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Drop all rights."""
        self._bases_by_id: dict[str, float] = {}
        self._factor = 1.0
        self._prune_at = self._PRUNE_LENGTH
        self.total = 0.0

    def add(self, grant_id: str, tokens: float) -> None:
        """Let up to `tokens` of a grant be refunded."""
        if (
            len(self._bases_by_id) >= self._prune_at
            or self._factor < ROUNDING_TOLERANCE
        ):
            self._prune()
        self._bases_by_id[grant_id] = tokens / self._factor
        self.total += tokens

    def take(self, grant_id: str, tokens: float) -> float:
        """Return how much of a refund is allowed, and use up that right."""
        if tokens <= 0 or grant_id not in self._bases_by_id:
            return 0.0
        base = self._bases_by_id.pop(grant_id)
        taken = min(tokens, base * self._factor)
        self.total = max(0.0, self.total - taken)
        if taken == tokens:
            self._bases_by_id[grant_id] = base - taken / self._factor
        return taken

    def drop(self, grant_id: str) -> None:
        """Drop the right of a grant whose last request has ended."""
        base = self._bases_by_id.pop(grant_id, 0.0)
        self.total = max(0.0, self.total - base * self._factor)

    def shrink_to(self, room: float) -> None:
        """Shrink all rights in proportion until their sum fits into the room."""
        if room <= 0.0:
            self.clear()
        elif self.total > room:
            self._factor *= room / self.total
            self.total = room

    def _prune(self) -> None:
        rights = {key: base * self._factor for key, base in self._bases_by_id.items()}
        self._bases_by_id = {key: right for key, right in rights.items() if right >= 1}
        self._factor = 1.0
        self._prune_at = 2 * len(self._bases_by_id) + self._PRUNE_LENGTH
        self.total = sum(self._bases_by_id.values())
